"""Decide how many engines may be out of service to switch versions."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from yuccarill.core.ids import DataCentreId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from yuccarill.core.weights.record import TargetRecord

_ROUNDING = 1e-9
# Key of the counts over all data centres.
ALL_DATA_CENTRES = DataCentreId('')


def min_serving(engines: int, serving_part: float) -> int:
    """Return how many engines must keep serving."""
    # One engine may always leave service; otherwise none could ever switch.
    wanted = math.ceil(engines * serving_part - _ROUNDING)
    return max(0, min(wanted, engines - 1))


@dataclasses.dataclass
class _Count:
    total: int = 0
    serving: int = 0
    switching: int = 0

    def slack(self, serving_part: float) -> int:
        slack = self.serving - min_serving(self.total, serving_part)
        # Failed engines may use up the slack for hours. One engine at a time
        # switches even then, so that the others don't stay on an old version.
        if slack <= 0 and not self.switching:
            return 1
        return slack


def _sum(counts: list[_Count]) -> _Count:
    return _Count(
        sum(entry.total for entry in counts),
        sum(entry.serving for entry in counts),
        sum(entry.switching for entry in counts),
    )


class Counts:
    """Count all, serving and switching engines by data centre."""

    def __init__(self) -> None:
        self._counts_by_scope: dict[DataCentreId, _Count] = {}

    @classmethod
    def count(cls, records: Iterable[TargetRecord]) -> Counts:
        """Return the counts of the engines of some records."""
        counts = cls()
        for record in records:
            counts.add(record.data_centre)
            is_switching = record.is_switching
            is_serving = not is_switching and record.is_serving
            counts.change(record.data_centre, is_serving, is_switching)
        return counts

    def add(self, data_centre: DataCentreId) -> None:
        """Add an engine that is out of service."""
        self._counts_by_scope.setdefault(data_centre, _Count()).total += 1

    def change(
        self, data_centre: DataCentreId, serving: int, switching: int
    ) -> None:
        """Change the numbers of serving and switching engines."""
        entry = self._counts_by_scope[data_centre]
        entry.serving += serving
        entry.switching += switching

    def slack_by_scope(self, serving_part: float) -> dict[DataCentreId, int]:
        """Return how many engines may switch, per data centre and in all."""
        counts = dict(self._counts_by_scope)
        counts[ALL_DATA_CENTRES] = _sum(list(counts.values()))
        return {
            scope: entry.slack(serving_part) for scope, entry in counts.items()
        }


class Slack:
    """Number of engines that may leave service, per data centre and in all."""

    def __init__(
        self, records: Iterable[TargetRecord] | Counts, serving_part: float
    ) -> None:
        if not isinstance(records, Counts):
            records = Counts.count(records)
        self._slack_by_scope = records.slack_by_scope(serving_part)

    def remaining(self, data_centre: DataCentreId) -> int:
        """Return how many more engines of a data centre may leave service."""
        return min(
            self._slack_by_scope[data_centre],
            self._slack_by_scope[ALL_DATA_CENTRES],
        )

    def reserve(self, data_centre: DataCentreId) -> None:
        """Reserve the slack for one engine of a data centre."""
        self._slack_by_scope[data_centre] -= 1
        self._slack_by_scope[ALL_DATA_CENTRES] -= 1
