"""Define the stored records of a step: claim, manifest, closed mark."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion

# Stays below the store's limit of one megabyte per value.
MAX_MANIFEST_BYTES = 900_000


class Record(msgspec.Struct, frozen=True, tag_field='kind', tag=str.lower):
    """Define the base of the records under a step's key."""


class Claim(Record, frozen=True, kw_only=True):
    """Name the holder that may decide on a step, and the newest version."""

    holder: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    newest_version: WeightVersion
    request_digest: str


class Manifest(Record, frozen=True, kw_only=True):
    """Name the samples that a step delivers; immutable once stored."""

    trainer: TrainerId
    step: StepNumber
    # The trainer's newest version, against which staleness was checked.
    newest_version: WeightVersion
    sample_ids: tuple[SampleId, ...]
    # Digest of the encoded samples, in the order of their ids.
    digest: str
    holder: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    # Disk instances with the samples; empty if only the holder has them.
    stored_on: tuple[InstanceId, ...] = ()
    revision: Revision
    decided_at: WallTime


class Closed(Record, frozen=True, kw_only=True):
    """Mark a step that its trainer has acknowledged or deleted."""


StepRecord = Claim | Manifest | Closed

_decoder = msgspec.json.Decoder(StepRecord)


def step_key(trainer: TrainerId, step: StepNumber) -> str:
    """Return the store key of a step's record."""
    return f'trainers/{trainer}/steps/{step}'


def progress_key(trainer: TrainerId) -> str:
    """Return the store key of a trainer's progress."""
    return f'trainers/{trainer}/progress'


def encode(record: StepRecord) -> bytes:
    return msgspec.json.encode(record)


def decode(value: bytes) -> StepRecord:
    return _decoder.decode(value)


def manifest_fits(trainer: TrainerId, size: int) -> bool:
    """Return whether a manifest with `size` samples fits the store."""
    longest = len(trainer) + len('"/4294967295/65535/65535/0123456789ab.999",')
    return size * longest < MAX_MANIFEST_BYTES
