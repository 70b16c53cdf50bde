"""Define how finished samples reach the disks and come back."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import SampleId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.wire.messages.message import Message


class KeptSample(msgspec.Struct, frozen=True, array_like=True):
    """Hold a finished sample as its trainer will receive it."""

    id: SampleId
    oldest_version: WeightVersion
    encoded: bytes


class SamplesKeep(Message, frozen=True, tag='keep'):
    """Ask a disk instance to keep samples; done means on its disk."""

    trainer: TrainerId
    step: StepNumber
    samples: tuple[KeptSample, ...]


class SamplesList(Message, frozen=True, tag='list'):
    """Ask a disk instance which samples of a step it keeps."""

    trainer: TrainerId
    step: StepNumber


class SamplesListed(Message, frozen=True, tag='listed'):
    """Return the names of the samples that are kept."""

    ids: tuple[SampleId, ...]


class SamplesRead(Message, frozen=True, tag='read'):
    """Ask a disk instance for samples."""

    trainer: TrainerId
    step: StepNumber
    ids: tuple[SampleId, ...]


class SamplesFound(Message, frozen=True, tag='found'):
    """Return the first of the samples asked for that fit one message."""

    samples: tuple[KeptSample, ...]


class SamplesDrop(Message, frozen=True, tag='drop'):
    """Ask a disk instance to forget a closed step's samples."""

    trainer: TrainerId
    step: StepNumber


DiskRequest = SamplesKeep | SamplesList | SamplesRead | SamplesDrop

SampleMessage = DiskRequest | SamplesListed | SamplesFound
