"""Index of engines by their next possible action in a rollout."""

from __future__ import annotations

import bisect
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeVar

from yuccarill.core.weights.capacity import Counts
from yuccarill.core.weights.orders import NO_VERSION
from yuccarill.core.weights.record import WeightState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.weights.record import TargetRecord


class _EngineStatus(NamedTuple):
    is_serving: bool = False
    is_switching: bool = False
    may_expire: bool = False
    may_progress: bool = False
    is_awaiting_stage: bool = False
    wants_stage: bool = False
    # Order among the engines that may switch, None for all others.
    rank: int | None = None


_NO_STATUS = _EngineStatus()
_Item = TypeVar('_Item', int, tuple[int, int])


class EngineIndex:
    """Maintain counts and sorted lists of engines incrementally.

    Engines are identified by their position in the given records.
    """

    def __init__(self, records: Iterable[TargetRecord]) -> None:
        self.records = list(records)
        self.counts = Counts()
        self.progressing = 0
        # Reachable engines that have not staged the newest version.
        self.awaiting_stage = 0
        self.expiring: set[int] = set()
        self.stageable: list[int] = []
        self.ready_by_data_centre: dict[
            DataCentreId, list[tuple[int, int]]
        ] = {}
        self._newest = NO_VERSION
        self._switchable = NO_VERSION
        self._statuses = [_NO_STATUS] * len(self.records)
        self._positions_by_id = {
            record.target: position
            for position, record in enumerate(self.records)
        }
        self._changed_targets: set[TargetId] = set(self._positions_by_id)
        for record in self.records:
            record.changed_targets = self._changed_targets
            self.counts.add(record.data_centre)
            self.ready_by_data_centre.setdefault(record.data_centre, [])

    def refresh(
        self, newest: WeightVersion, switchable: WeightVersion
    ) -> None:
        """Apply the changes since the last refresh."""
        if (newest, switchable) != (self._newest, self._switchable):
            self._newest = newest
            self._switchable = switchable
            self._changed_targets.update(self._positions_by_id)
        for target in self._changed_targets:
            self._update_engine(self._positions_by_id[target])
        self._changed_targets.clear()

    def _update_engine(self, position: int) -> None:
        record = self.records[position]
        old = self._statuses[position]
        new = self._status_of(record)
        if new == old:
            return
        self._statuses[position] = new
        self.counts.change(
            record.data_centre,
            new.is_serving - old.is_serving,
            new.is_switching - old.is_switching,
        )
        self.progressing += new.may_progress - old.may_progress
        self.awaiting_stage += new.is_awaiting_stage - old.is_awaiting_stage
        if new.may_expire:
            self.expiring.add(position)
        else:
            self.expiring.discard(position)
        if old.wants_stage:
            _remove(self.stageable, position)
        if new.wants_stage:
            bisect.insort(self.stageable, position)
        ready = self.ready_by_data_centre[record.data_centre]
        if old.rank is not None:
            _remove(ready, (old.rank, position))
        if new.rank is not None:
            bisect.insort(ready, (new.rank, position))

    def _status_of(self, record: TargetRecord) -> _EngineStatus:
        is_switching = record.is_switching
        is_behind = record.best_version < self._newest
        return _EngineStatus(
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
            # A staged version up to switchable is switched to first; the
            # newest version replaces a higher one.
            return record.staged_version > self._switchable
        return record.state is WeightState.SERVING

    def _may_switch(self, record: TargetRecord) -> bool:
        return (
            record.state is WeightState.STAGED
            and not record.is_busy
            and record.staged_version <= self._switchable
        )


def _remove(items: list[_Item], item: _Item) -> None:
    del items[bisect.bisect_left(items, item)]


def _rank(record: TargetRecord) -> int:
    # An engine that failed once is retried first, since a retry at the end
    # would prolong the rollout by a whole switch. One that failed more often
    # may keep failing and comes last.
    return -1 if record.failures == 1 else record.failures
