"""Messages that forward a trainer's requests to its lease holder."""

from __future__ import annotations

from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.wire.messages.message import Message


class StepSubmit(Message, frozen=True, tag='step'):
    """Forward a trainer's step to the instance that processes it."""

    trainer: TrainerId
    request: bytes


class StepFetch(Message, frozen=True, tag='fetch'):
    """Ask for the bytes of a delivered step from an offset on."""

    trainer: TrainerId
    step: StepNumber
    offset: int = 0


class StepDelivery(Message, frozen=True, tag='delivery'):
    """Return a range of the encoded manifest and samples of a step."""

    body: bytes
    # Total size in bytes; 0 if the body is the whole delivery.
    size: int = 0


class StepAcknowledge(Message, frozen=True, tag='acknowledge'):
    """Close a step that its trainer has received."""

    trainer: TrainerId
    step: StepNumber


class StepDelete(Message, frozen=True, tag='step_delete'):
    """Close a step that its trainer cancels."""

    trainer: TrainerId
    step: StepNumber


class VersionAnnounce(Message, frozen=True, tag='version'):
    """Announce the newest weight version of a trainer."""

    trainer: TrainerId
    version: WeightVersion


TrainerRequest = (
    StepSubmit | StepFetch | StepAcknowledge | StepDelete | VersionAnnounce
)

StepMessage = TrainerRequest | StepDelivery
