"""Samples and the weight versions that produced them."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import WeightVersion


class Span(msgspec.Struct, frozen=True):
    """Hold consecutive tokens made by one weight version."""

    weight_version: WeightVersion
    tokens: tuple[int, ...]


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one finished sample."""

    id: SampleId
    group: GroupNumber
    spans: tuple[Span, ...]
    score: float | None = None

    @property
    def oldest_version(self) -> WeightVersion:
        return min(span.weight_version for span in self.spans)


def append(
    spans: tuple[Span, ...], version: WeightVersion, tokens: tuple[int, ...]
) -> tuple[Span, ...]:
    """Add tokens, joining them to the last span of the same version."""
    if spans and spans[-1].weight_version == version:
        joined = Span(version, spans[-1].tokens + tokens)
        return spans[:-1] + (joined,)
    return spans + (Span(version, tokens),)


def is_fresh(sample: Sample, newest: WeightVersion, bound: int) -> bool:
    """Tell whether no part of a sample is older than the bound."""
    return newest - sample.oldest_version <= bound
