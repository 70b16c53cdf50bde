"""Messages that store finished samples on disks and read them."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.wire.messages.message import Message


class KeptSample(msgspec.Struct, frozen=True, array_like=True):
    """A finished sample, encoded as its trainer receives it."""

    id: SampleId
    oldest_version: WeightVersion
    encoded: bytes


class SamplesKeep(Message, frozen=True, tag='keep'):
    """Ask a disk instance to store samples; the reply follows the write."""

    trainer: TrainerId
    step: StepNumber
    samples: tuple[KeptSample, ...]


class SamplesList(Message, frozen=True, tag='list'):
    """Ask a disk instance which samples of a step it stores."""

    trainer: TrainerId
    step: StepNumber


class SamplesListed(Message, frozen=True, tag='listed'):
    """Return the ids of the samples that are stored."""

    ids: tuple[SampleId, ...]


class SamplesRead(Message, frozen=True, tag='read'):
    """Ask a disk instance for samples by id."""

    trainer: TrainerId
    step: StepNumber
    ids: tuple[SampleId, ...]


class SamplesFound(Message, frozen=True, tag='found'):
    """Return as many requested samples, in order, as fit one message."""

    samples: tuple[KeptSample, ...]


class SamplesDrop(Message, frozen=True, tag='drop'):
    """Ask a disk instance to delete the samples of a closed step."""

    trainer: TrainerId
    step: StepNumber


DiskRequest = SamplesKeep | SamplesList | SamplesRead | SamplesDrop

SampleMessage = DiskRequest | SamplesListed | SamplesFound
