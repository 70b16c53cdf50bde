"""Estimate the remaining length of texts."""

from __future__ import annotations

import bisect
import collections
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import ModelName
    from yuccarill.core.jobs.job import Item

# Length ratios kept per model: a few steps, so that the estimate follows a
# trainer whose texts grow longer.
MAX_RATIOS = 256
# Fraction of its current length that is added to a text which is longer than
# all samples.
EXTRA_FRACTION = 0.25


class TextLengths:
    """Learn the ratio of the length of texts to the client's hint.

    Hints are inaccurate, so a text beyond its hint is not assumed to be almost
    complete: its expected length is the mean of all samples that got as far.
    """

    def __init__(self) -> None:
        self._ratios_by_kind: dict[
            tuple[ModelName | None, bool], _LengthRatios
        ]
        self._ratios_by_kind = {}
        # Ratios of all models, by whether the item has a hint.
        self._pooled_ratios_by_hint: dict[bool, _LengthRatios] = {}

    def learn(self, model: ModelName | None, item: Item, events: int) -> None:
        """Add the length of a finished text, in events."""
        kind = (model, item.hinted_tokens is not None)
        samples = self._ratios_by_kind.setdefault(kind, _LengthRatios())
        samples.add(events / _hinted_length(item))
        pooled = self._pooled_ratios_by_hint.setdefault(
            kind[1], _LengthRatios()
        )
        pooled.add(events / _hinted_length(item))

    def has_samples(self, item: Item) -> bool:
        """Return whether samples of any model exist for this kind of item."""
        return (item.hinted_tokens is not None) in self._pooled_ratios_by_hint

    def expected(
        self, model: ModelName | None, item: Item, events: int
    ) -> float:
        """Return the expected number of events still to come.

        Estimates of different models are comparable, since a model without
        samples uses those of all models.
        """
        is_hinted = item.hinted_tokens is not None
        if (model, is_hinted) in self._ratios_by_kind:
            return self.remaining(model, item, events)
        return self._remaining(
            self._pooled_ratios_by_hint.get(is_hinted), item, events
        )

    def remaining(
        self, model: ModelName | None, item: Item, events: int
    ) -> float:
        """Return the remaining events of a text that has `events` so far.

        Without samples the hint is the estimate, to order texts of one model.
        """
        kind = (model, item.hinted_tokens is not None)
        return self._remaining(self._ratios_by_kind.get(kind), item, events)

    def _remaining(
        self, samples: _LengthRatios | None, item: Item, events: int
    ) -> float:
        hinted = _hinted_length(item)
        if samples is None:
            return max(0.0, hinted - events)
        mean = samples.mean_above(events / hinted)
        if mean is None:
            return events * EXTRA_FRACTION
        return mean * hinted - events


class _LengthRatios:
    """Keep the latest ratios of length to hint, with suffix sums."""

    def __init__(self) -> None:
        self._latest: collections.deque[float] = collections.deque(
            maxlen=MAX_RATIOS
        )
        self._sorted: list[float] = []
        # Sum of the sorted ratios from each position to the end.
        self._suffix_sums: list[float] = []

    def add(self, ratio: float) -> None:
        self._latest.append(ratio)
        self._suffix_sums.clear()

    def mean_above(self, ratio: float) -> float | None:
        """Return the mean of the ratios above `ratio`, None if none is."""
        if not self._suffix_sums:
            self._sort()
        first = bisect.bisect_right(self._sorted, ratio)
        count = len(self._sorted) - first
        return self._suffix_sums[first] / count if count else None

    def _sort(self) -> None:
        self._sorted = sorted(self._latest)
        descending = itertools.accumulate(reversed(self._sorted))
        self._suffix_sums = [*reversed(list(descending)), 0.0]


def _hinted_length(item: Item) -> float:
    return float(max(1, item.hinted_tokens or 1))
