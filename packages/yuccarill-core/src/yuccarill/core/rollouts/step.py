"""Define the request for a trainer's step."""

from __future__ import annotations

from typing import Annotated

import msgspec
import xxhash

from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion

# Limits far above real steps. Without them one request could exhaust an
# instance's memory or overflow an encoded integer.
MAX_NUMBER = 2**53
MAX_GROUPS = 65_536
MAX_SAMPLES = 4_096
MAX_TOKENS = 131_072
MAX_STEP_SAMPLES = 65_536


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request several samples of one prompt."""

    prompt: str
    samples: Annotated[int, msgspec.Meta(ge=1, le=MAX_SAMPLES)]
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] = 16


class StepRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request the samples of a step."""

    step: Annotated[StepNumber, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    newest_version: Annotated[WeightVersion, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    groups: Annotated[
        tuple[Group, ...], msgspec.Meta(min_length=1, max_length=MAX_GROUPS)
    ]
    # Groups that may be left out if the trainer's policy allows it.
    spare_groups: Annotated[int, msgspec.Meta(ge=0, le=MAX_GROUPS)] = 0

    def __post_init__(self) -> None:
        if self.size > MAX_STEP_SAMPLES:
            raise ValueError(
                f'more than {MAX_STEP_SAMPLES} samples; submit several steps'
            )

    @property
    def size(self) -> int:
        """Return the number of samples in the step."""
        return sum(group.samples for group in self.groups)

    @property
    def digest(self) -> str:
        """Return a digest that detects a changed request for the step."""
        # The newest version is left out, since a restarted trainer resubmits
        # the same groups with a newer version.
        return xxhash.xxh3_128_hexdigest(msgspec.json.encode(self.groups))
