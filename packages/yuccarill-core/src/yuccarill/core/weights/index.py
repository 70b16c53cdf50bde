"""Keep engines sorted by what a turn of a switch may do with them."""

from __future__ import annotations

import bisect
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeVar

from yuccarill.core.weights.capacity import Tallies
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.record import WeightState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.weights.record import TargetRecord


class _Facts(NamedTuple):
    is_serving: bool = False
    is_switching: bool = False
    may_expire: bool = False
    may_progress: bool = False
    is_awaited: bool = False
    wants_stage: bool = False
    # None unless the engine may switch.
    rank: int | None = None


_NOTHING = _Facts()
_Item = TypeVar('_Item', int, tuple[int, int])


class EngineIndex:
    """Count and sort engines anew only once their records change.

    Engines are named by their place in the order they were given in.
    """

    def __init__(self, records: Iterable[TargetRecord]) -> None:
        self.records = list(records)
        self.tallies = Tallies()
        self.progressing = 0
        # Reachable engines that have not staged the newest version.
        self.awaited = 0
        self.expiring: set[int] = set()
        self.stageable: list[int] = []
        self.ready_by_data_centre: dict[
            DataCentreId, list[tuple[int, int]]
        ] = {}
        self._newest = NO_VERSION
        self._opened = NO_VERSION
        self._facts = [_NOTHING] * len(self.records)
        self._places_by_id = {
            record.target: place for place, record in enumerate(self.records)
        }
        self._touched: set[TargetId] = set(self._places_by_id)
        for record in self.records:
            record.touched = self._touched
            self.tallies.add(record.data_centre)
            self.ready_by_data_centre.setdefault(record.data_centre, [])

    def refresh(self, newest: WeightVersion, opened: WeightVersion) -> None:
        """Take in what changed since the last time."""
        if (newest, opened) != (self._newest, self._opened):
            self._newest = newest
            self._opened = opened
            self._touched.update(self._places_by_id)
        for target in self._touched:
            self._replace(self._places_by_id[target])
        self._touched.clear()

    def _replace(self, place: int) -> None:
        record = self.records[place]
        old = self._facts[place]
        new = self._read(record)
        if new == old:
            return
        self._facts[place] = new
        self.tallies.change(
            record.data_centre,
            new.is_serving - old.is_serving,
            new.is_switching - old.is_switching,
        )
        self.progressing += new.may_progress - old.may_progress
        self.awaited += new.is_awaited - old.is_awaited
        if new.may_expire:
            self.expiring.add(place)
        else:
            self.expiring.discard(place)
        if old.wants_stage:
            _remove(self.stageable, place)
        if new.wants_stage:
            bisect.insort(self.stageable, place)
        ready = self.ready_by_data_centre[record.data_centre]
        if old.rank is not None:
            _remove(ready, (old.rank, place))
        if new.rank is not None:
            bisect.insort(ready, (new.rank, place))

    def _read(self, record: TargetRecord) -> _Facts:
        is_switching = record.is_switching
        is_behind = record.best_version < self._newest
        return _Facts(
            not is_switching and record.is_serving,
            is_switching,
            record.may_expire,
            record.may_progress(self._newest),
            is_behind and record.state is not WeightState.LOST,
            is_behind and self._wants_stage(record),
            _rank(record) if self._may_switch(record) else None,
        )

    def _wants_stage(self, record: TargetRecord) -> bool:
        if record.is_busy or record.order is not None:
            return False
        if record.state is WeightState.STAGED:
            # What may be switched now is switched first; what may not yet
            # is out of date.
            return record.staged_version > self._opened
        return record.state is WeightState.SERVING

    def _may_switch(self, record: TargetRecord) -> bool:
        return (
            record.state is WeightState.STAGED
            and not record.is_busy
            and record.staged_version <= self._opened
        )


def _remove(items: list[_Item], item: _Item) -> None:
    del items[bisect.bisect_left(items, item)]


def _rank(record: TargetRecord) -> int:
    # A second try that waits for all others would end the switch later by
    # a whole swap. One that fails again may fail for ever and only cost
    # capacity.
    return -1 if record.failures == 1 else record.failures
