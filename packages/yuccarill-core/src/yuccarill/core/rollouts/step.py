"""A trainer's step as it asks for it and as it is delivered."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Revision
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for several samples of one prompt."""

    prompt: str
    samples: int
    max_tokens: int = 16


class StepRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a step's samples."""

    step: StepNumber
    newest_version: WeightVersion
    groups: tuple[Group, ...]


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """Name the samples that a step delivers."""

    trainer: TrainerId
    step: StepNumber
    newest_version: WeightVersion
    sample_ids: tuple[SampleId, ...]
    digest: str
    revision: Revision
    decided_at: WallTime


def manifest_key(trainer: TrainerId, step: StepNumber) -> str:
    """Return the key under which a step's manifest stands."""
    return f'trainers/{trainer}/steps/{step}'
