"""Decide how many engines may be out of service for a switch."""

from __future__ import annotations

import collections
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


class Slack:
    """Count how many more engines may go, in each data centre and in all."""

    def __init__(
        self, records: Iterable[TargetRecord], serving_part: float
    ) -> None:
        total: collections.Counter[DataCentreId] = collections.Counter()
        serving: collections.Counter[DataCentreId] = collections.Counter()
        switching: collections.Counter[DataCentreId] = collections.Counter()
        for record in records:
            for place in (record.data_centre, EVERYWHERE):
                total[place] += 1
                serving[place] += record.is_serving
                switching[place] += record.is_switching
        self._slack_by_place: dict[DataCentreId, int] = {}
        for place, count in total.items():
            slack = serving[place] - floor(count, serving_part)
            # Engines lost to other faults may use up the floor's slack for
            # hours. Waiting for them would leave all others on an old
            # version; one at a time costs the least capacity.
            if slack <= 0 and not switching[place]:
                slack = 1
            self._slack_by_place[place] = slack

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
