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


class Slack:
    """Count how many more engines may go, in each data centre and in all."""

    def __init__(
        self, records: Iterable[TargetRecord], serving_part: float
    ) -> None:
        tallies: dict[DataCentreId, _Tally] = {}
        for record in records:
            tally = tallies.get(record.data_centre)
            if tally is None:
                tally = tallies[record.data_centre] = _Tally()
            tally.total += 1
            if record.is_switching:
                tally.switching += 1
            elif record.is_serving:
                tally.serving += 1
        tallies[EVERYWHERE] = _sum(list(tallies.values()))
        self._slack_by_place = {
            place: tally.slack(serving_part)
            for place, tally in tallies.items()
        }

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
