"""What the store keeps of a step: a claim, then its manifest, then a mark."""

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

# The store takes values up to a megabyte; a manifest stays below it.
MAX_MANIFEST_BYTES = 900_000


class Record(msgspec.Struct, frozen=True, tag_field='kind', tag=str.lower):
    """Be what stands under a step's key."""


class Claim(Record, frozen=True, kw_only=True):
    """Name the holder that may decide a step, and the newest version."""

    holder: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    newest_version: WeightVersion
    request_digest: str


class Manifest(Record, frozen=True, kw_only=True):
    """Name the samples that a step delivers; it never changes."""

    trainer: TrainerId
    step: StepNumber
    # The trainer's newest version that the samples were judged against.
    newest_version: WeightVersion
    sample_ids: tuple[SampleId, ...]
    # Of the samples' encoded bytes, in the order of their ids.
    digest: str
    holder: InstanceId
    incarnation: Incarnation
    epoch: Epoch
    # Disk instances that keep the samples; none: the holder's memory only.
    stored_on: tuple[InstanceId, ...] = ()
    revision: Revision
    decided_at: WallTime


class Closed(Record, frozen=True, kw_only=True):
    """Mark a step that its trainer has acknowledged or given up."""


StepRecord = Claim | Manifest | Closed

_decoder = msgspec.json.Decoder(StepRecord)


def step_key(trainer: TrainerId, step: StepNumber) -> str:
    """Return the key under which a step's record stands."""
    return f'trainers/{trainer}/steps/{step}'


def progress_key(trainer: TrainerId) -> str:
    """Return the key under which a trainer's progress stands."""
    return f'trainers/{trainer}/progress'


def encode(record: StepRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> StepRecord:
    """Decode a record."""
    return _decoder.decode(value)


def manifest_fits(trainer: TrainerId, size: int) -> bool:
    """Tell whether the manifest of so many samples fits the store."""
    longest = len(trainer) + len('"/4294967295/65535/65535/0123456789ab.999",')
    return size * longest < MAX_MANIFEST_BYTES
