"""Define how a trainer's requests reach the step's holder."""

from __future__ import annotations

from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.wire.messages.message import Message


class StepSubmit(Message, frozen=True, tag='step'):
    """Pass a trainer's step to the instance that works on it."""

    trainer: TrainerId
    request: bytes


class StepFetch(Message, frozen=True, tag='fetch'):
    """Ask for a part of a delivered step's bytes, from an offset on."""

    trainer: TrainerId
    step: StepNumber
    offset: int = 0


class StepDelivery(Message, frozen=True, tag='delivery'):
    """Return a part of a step's manifest and samples, encoded once."""

    body: bytes
    # Bytes of the whole; 0 where the part is all of it.
    size: int = 0


class StepAcknowledge(Message, frozen=True, tag='acknowledge'):
    """Close a step that its trainer has taken."""

    trainer: TrainerId
    step: StepNumber


class StepDelete(Message, frozen=True, tag='step_delete'):
    """Close a step that its trainer gives up."""

    trainer: TrainerId
    step: StepNumber


class VersionAnnounce(Message, frozen=True, tag='version'):
    """Tell a trainer's newest weight version."""

    trainer: TrainerId
    version: WeightVersion


TrainerRequest = (
    StepSubmit | StepFetch | StepAcknowledge | StepDelete | VersionAnnounce
)

StepMessage = TrainerRequest | StepDelivery
