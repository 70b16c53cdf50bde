"""Decide how many engines may be out of service for a switch."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from yuccarill.core.ids import DataCentreId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.weights.record import TargetRecord

_ROUNDING = 1e-9
# Stands for all data centres together.
EVERYWHERE = DataCentreId('')


def floor(engines: int, serving_part: float) -> int:
    """Return how many engines must serve.

    At most all but one: a floor of all would never let a version in.
    """
    wanted = math.ceil(engines * serving_part - _ROUNDING)
    return max(0, min(wanted, engines - 1))


@dataclasses.dataclass
class _Tally:
    total: int = 0
    serving: int = 0
    switching: int = 0

    def slack(self, serving_part: float) -> int:
        slack = self.serving - floor(self.total, serving_part)
        # Engines lost to other faults may use up the floor's slack for
        # hours. Waiting for them would leave all others on an old
        # version; one at a time costs the least capacity.
        if slack <= 0 and not self.switching:
            return 1
        return slack


def _sum(tallies: list[_Tally]) -> _Tally:
    return _Tally(
        sum(tally.total for tally in tallies),
        sum(tally.serving for tally in tallies),
        sum(tally.switching for tally in tallies),
    )


class Tallies:
    """Count engines, those that serve and those that switch, by place."""

    def __init__(self) -> None:
        self._tallies_by_place: dict[DataCentreId, _Tally] = {}

    @classmethod
    def count(cls, records: Iterable[TargetRecord]) -> Tallies:
        """Count all of some engines."""
        tallies = cls()
        for record in records:
            tallies.add(record.data_centre)
            is_switching = record.is_switching
            is_serving = not is_switching and record.is_serving
            tallies.change(record.data_centre, is_serving, is_switching)
        return tallies

    def add(self, data_centre: DataCentreId) -> None:
        """Count one more engine, out of service."""
        self._tallies_by_place.setdefault(data_centre, _Tally()).total += 1

    def change(
        self, data_centre: DataCentreId, serving: int, switching: int
    ) -> None:
        """Count so many more, or fewer, as serving and as switching."""
        tally = self._tallies_by_place[data_centre]
        tally.serving += serving
        tally.switching += switching

    def slack_by_place(self, serving_part: float) -> dict[DataCentreId, int]:
        """Return how many may go in each data centre and in all."""
        tallies = dict(self._tallies_by_place)
        tallies[EVERYWHERE] = _sum(list(tallies.values()))
        return {
            place: tally.slack(serving_part)
            for place, tally in tallies.items()
        }


class Slack:
    """Count how many more engines may go, in each data centre and in all."""

    def __init__(
        self, records: Iterable[TargetRecord] | Tallies, serving_part: float
    ) -> None:
        if not isinstance(records, Tallies):
            records = Tallies.count(records)
        self._slack_by_place = records.slack_by_place(serving_part)

    def of(self, data_centre: DataCentreId) -> int:
        """Return how many more may go in a data centre."""
        return min(
            self._slack_by_place[data_centre],
            self._slack_by_place[EVERYWHERE],
        )

    def use(self, data_centre: DataCentreId) -> None:
        """Count one more as gone."""
        self._slack_by_place[data_centre] -= 1
        self._slack_by_place[EVERYWHERE] -= 1
