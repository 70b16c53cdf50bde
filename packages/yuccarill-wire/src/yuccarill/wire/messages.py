"""Typed messages between instances."""

from __future__ import annotations

import msgspec

from yuccarill.core.dissemination.record import Record
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import SessionId
from yuccarill.core.ids import ShardNumber
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.membership.member import Member
from yuccarill.core.weights.orders import Order
from yuccarill.core.weights.orders import Report


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Be one message of the instances' protocol."""


class Hello(Message, frozen=True, tag='hello'):
    """Open a stream and say who speaks."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    # Who is meant to answer under the dialled address.
    addressee: InstanceId


class Heartbeat(Message, frozen=True, tag='heartbeat'):
    """Ask whether the stream still carries, or confirm it."""


class Done(Message, frozen=True, tag='done'):
    """Confirm a request that has nothing to return."""


class Refusal(Message, frozen=True, tag='refusal'):
    """Return an error by its result code."""

    code: int
    text: str
    retry_after: float | None = None


class RecordOffer(Message, frozen=True, tag='records'):
    """Pass on records to take where they are newer."""

    records: tuple[Record, ...]


class RecordExchange(Message, frozen=True, tag='exchange'):
    """Compare the versions of all records with a peer's."""

    versions_by_key: dict[str, int]


class RecordExchanged(Message, frozen=True, tag='exchanged'):
    """Return what the asking side lacks and name what this one does."""

    records: tuple[Record, ...]
    wanted: tuple[str, ...] = ()


class ConfigurationFetch(Message, frozen=True, tag='configuration-fetch'):
    """Ask for a configuration above a revision, whole."""

    above: Revision


class ConfigurationDocument(Message, frozen=True, tag='configuration'):
    """Return the change that made a revision, and its inventory."""

    change: bytes
    inventory: bytes


class Probe(Message, frozen=True, tag='probe'):
    """Ask whether an instance is alive and tell it news of members."""

    sender: InstanceId
    # Equal views have equal digests.
    digest: int
    records: tuple[Member, ...] = ()


class ProbeReply(Message, frozen=True, tag='probed'):
    """Confirm a probe and the news it carried."""

    digest: int
    records: tuple[Member, ...] = ()


class IndirectProbe(Message, frozen=True, tag='indirect'):
    """Ask an instance to probe another."""

    target: Member


class IndirectResult(Message, frozen=True, tag='result'):
    """Tell whether another instance was reached."""

    was_reached: bool


class ViewRequest(Message, frozen=True, tag='view-request'):
    """Ask for all statements about members."""


class ViewReply(Message, frozen=True, tag='view'):
    """Return all statements about members."""

    records: tuple[Member, ...]


class CallRequest(Message, frozen=True, tag='call'):
    """Pass a non-repeatable call to its ticket's home."""

    ticket: str
    request_id: RequestId
    service: ServiceName
    path: str
    query: str
    content_type: str
    body: bytes
    # Seconds left to the caller's deadline when the message was sent.
    time_left: float
    caller: CallerId | None = None


class CallAnswer(Message, frozen=True, tag='answer'):
    """Return a whole answer of a target."""

    status: int
    content_type: str
    body: bytes


class CallRefusal(Message, frozen=True, tag='call_refusal'):
    """Return the home's own verdict on a call that has no answer."""

    code: int
    text: str
    retry_after: float | None = None


class OutcomeQuery(Message, frozen=True, tag='outcome_query'):
    """Ask a ticket's home what became of a request."""

    ticket: str
    request_id: RequestId


class OutcomeReply(Message, frozen=True, tag='outcome'):
    """Tell what became of a request, and its answer if it is kept."""

    outcome: str
    answer: CallAnswer | None = None


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


class LeaseAsk(Message, frozen=True, tag='lease_ask'):
    """Ask a holder for shards that are placed on the one who asks."""

    instance: InstanceId
    session: SessionId
    shards: tuple[ShardNumber, ...]


class LeaseInvite(Message, frozen=True, tag='lease_invite'):
    """Ask an instance for the session to hand shards over to."""


class LeaseSession(Message, frozen=True, tag='lease_session'):
    """Name a session that may be given shards, if there is one."""

    session: SessionId | None


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

TrainerRequest = (
    StepSubmit | StepFetch | StepAcknowledge | StepDelete | VersionAnnounce
)


class WeightOrders(Message, frozen=True, tag='weight-orders'):
    """Give the holder of engines the orders that a model's holder chose."""

    model: ModelName
    # The sender's epoch for the model.
    epoch: Epoch
    orders: tuple[Order, ...]


class WeightOrdersTaken(Message, frozen=True, tag='weight-orders-taken'):
    """Confirm orders but for those on engines that are not held here."""

    refused: tuple[int, ...] = ()


class WeightQuery(Message, frozen=True, tag='weight-query'):
    """Ask for what is known of a model's engines held by the receiver."""

    model: ModelName
    epoch: Epoch


class WeightReports(Message, frozen=True, tag='weight-reports'):
    """Tell a model's holder what is known of its engines."""

    model: ModelName
    reports: tuple[Report, ...]


Body = (
    Hello
    | Heartbeat
    | Done
    | Refusal
    | RecordOffer
    | RecordExchange
    | RecordExchanged
    | ConfigurationFetch
    | ConfigurationDocument
    | Probe
    | ProbeReply
    | IndirectProbe
    | IndirectResult
    | ViewRequest
    | ViewReply
    | CallRequest
    | CallAnswer
    | CallRefusal
    | OutcomeQuery
    | OutcomeReply
    | StepSubmit
    | StepFetch
    | StepDelivery
    | StepAcknowledge
    | StepDelete
    | VersionAnnounce
    | WeightOrders
    | WeightOrdersTaken
    | WeightQuery
    | WeightReports
    | LeaseAsk
    | LeaseInvite
    | LeaseSession
    | SamplesKeep
    | SamplesList
    | SamplesListed
    | SamplesRead
    | SamplesFound
    | SamplesDrop
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message, numbered where a reply is due."""

    # Number of the request on its stream; replies repeat it.
    number: int
    is_reply: bool
    body: Body
