"""Estimate how much of a text is still to come."""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import ModelName
    from yuccarill.core.jobs.job import Item

# Finished texts of one model that are remembered: those of the last few
# steps, so that a trainer whose texts grow longer is followed.
REMEMBERED = 256
# Part of what is there by which a text goes on that is longer than all
# texts that are remembered.
BEYOND_PART = 0.25


class TextLengths:
    """Learn how long texts get against what their clients expected.

    A hint is right at the median and often far off: of 468 texts, one in
    twenty had less than 0.44 and one in twenty more than 2.2 times the
    hinted length. So a text that has passed its hint is not taken as nearly
    done: what is left of it is the mean of those that got as far.
    """

    def __init__(self) -> None:
        self._samples_by_kind: dict[tuple[ModelName | None, bool], _Samples]
        self._samples_by_kind = {}
        # Those of all models, by whether there was a hint.
        self._pooled_by_hint: dict[bool, _Samples] = {}

    def learn(self, model: ModelName | None, item: Item, events: int) -> None:
        """Take the length of a finished text."""
        kind = (model, item.hinted_tokens is not None)
        samples = self._samples_by_kind.setdefault(kind, _Samples())
        samples.add(events / _unit(item))
        pooled = self._pooled_by_hint.setdefault(kind[1], _Samples())
        pooled.add(events / _unit(item))

    def is_scaled(self, item: Item) -> bool:
        """Tell whether texts like this one have ended, of any model."""
        return (item.hinted_tokens is not None) in self._pooled_by_hint

    def expected(
        self, model: ModelName | None, item: Item, events: int
    ) -> float:
        """Return the same as `remaining`, comparable between models.

        A model none of whose texts has ended is taken for one like the
        others.
        """
        is_hinted = item.hinted_tokens is not None
        if (model, is_hinted) in self._samples_by_kind:
            return self.remaining(model, item, events)
        return self._remaining(
            self._pooled_by_hint.get(is_hinted), item, events
        )

    def remaining(
        self, model: ModelName | None, item: Item, events: int
    ) -> float:
        """Return how many events a text that has some will still get.

        Before the first text has ended there is no scale, and the hint
        itself only puts texts in their order.
        """
        kind = (model, item.hinted_tokens is not None)
        return self._remaining(self._samples_by_kind.get(kind), item, events)

    def _remaining(
        self, samples: _Samples | None, item: Item, events: int
    ) -> float:
        unit = _unit(item)
        if samples is None:
            return max(0.0, unit - events)
        mean = samples.mean_above(events / unit)
        if mean is None:
            return events * BEYOND_PART
        return mean * unit - events


class _Samples:
    """Keep the latest ratios of length to hint, and sum up their ends."""

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque(
            maxlen=REMEMBERED
        )
        self._sorted: list[float] = []
        # The sum of the ratios from each position on.
        self._sums: list[float] = []

    def add(self, ratio: float) -> None:
        self._latest.append(ratio)
        self._sums.clear()

    def mean_above(self, ratio: float) -> float | None:
        """Return the mean of the ratios above one, none if there are none."""
        if not self._sums:
            self._sort()
        first = bisect.bisect_right(self._sorted, ratio)
        count = len(self._sorted) - first
        return self._sums[first] / count if count else None

    def _sort(self) -> None:
        self._sorted = sorted(self._latest)
        descending = itertools.accumulate(reversed(self._sorted))
        self._sums = [*reversed(list(descending)), 0.0]


def _unit(item: Item) -> float:
    return float(max(1, item.hinted_tokens or 1))
