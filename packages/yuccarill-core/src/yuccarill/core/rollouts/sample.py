"""Samples and the weight versions that produced them."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion


class Place(msgspec.Struct, frozen=True, order=True):
    """Name a sample's place in its step, whichever attempt fills it."""

    group: GroupNumber
    member: int


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


class Finished(msgspec.Struct, frozen=True):
    """Hold a scored sample as the bytes that its trainer will receive."""

    id: SampleId
    oldest_version: WeightVersion
    encoded: bytes


def finish(sample: Sample) -> Finished:
    """Encode a scored sample once and for all."""
    encoded = msgspec.json.encode(sample)
    return Finished(sample.id, sample.oldest_version, encoded)


def sample_id(
    trainer: TrainerId,
    step: StepNumber,
    place: Place,
    incarnation: Incarnation,
    attempt: int,
) -> SampleId:
    """Name one attempt at a sample.

    The incarnation keeps two holders' attempts apart, whose bytes differ.
    """
    where = f'{trainer}/{step}/{place.group}/{place.member}'
    return SampleId(f'{where}/{incarnation}.{attempt}')


def place_of(sample: SampleId) -> Place:
    """Return the place that a sample was made for."""
    _, _, group, member, _ = sample.rsplit('/', 4)
    return Place(GroupNumber(int(group)), int(member))


def append(
    spans: tuple[Span, ...], version: WeightVersion, tokens: tuple[int, ...]
) -> tuple[Span, ...]:
    """Add tokens, joining them to the last span of the same version."""
    if spans and spans[-1].weight_version == version:
        joined = Span(version, spans[-1].tokens + tokens)
        return spans[:-1] + (joined,)
    return spans + (Span(version, tokens),)


def is_fresh(oldest: WeightVersion, newest: WeightVersion, bound: int) -> bool:
    """Tell whether a sample's oldest version is within the bound."""
    return newest - oldest <= bound
