"""A trainer's step as it asks for it."""

from __future__ import annotations

import msgspec
import xxhash

from yuccarill.core.ids import StepNumber
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
    # Groups that may be left out, where the trainer's policy allows it.
    spare_groups: int = 0

    @property
    def size(self) -> int:
        """Return how many samples the step has."""
        return sum(group.samples for group in self.groups)

    @property
    def digest(self) -> str:
        """Return a digest that tells another request of the same number."""
        # The newest version is left out: a trainer that restarts submits
        # the same groups again with the version that it has by then.
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self.groups))
