"""A trainer's step as it asks for it."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash

from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion

# Far past any step in use; without bounds one request could ask an instance
# for more samples than its memory holds, or for a number no codec takes.
MAX_NUMBER = 2**53
MAX_GROUPS = 65_536
MAX_SAMPLES = 4_096
MAX_TOKENS = 131_072
MAX_STEP_SAMPLES = 65_536


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for several samples of one prompt."""

    prompt: str
    samples: Annotated[int, msgspec.Meta(ge=1, le=MAX_SAMPLES)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = 16


class StepRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a step's samples."""

    step: Annotated[StepNumber, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    newest_version: Annotated[WeightVersion, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    groups: Annotated[
        tuple[Group, ...], msgspec.Meta(min_length=1, max_length=MAX_GROUPS)
    ]
    # Groups that may be left out, where the trainer's policy allows it.
    spare_groups: Annotated[int, msgspec.Meta(ge=0, le=MAX_GROUPS)] = 0

    def __post_init__(self) -> None:
        if self.size > MAX_STEP_SAMPLES:
            raise ValueError(
                f'over {MAX_STEP_SAMPLES} samples; ask for several steps'
            )

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
