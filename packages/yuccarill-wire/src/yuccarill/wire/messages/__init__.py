"""Messages between instances."""

from __future__ import annotations

from yuccarill.wire.messages.calls import CallAnswer
from yuccarill.wire.messages.calls import CallRefusal
from yuccarill.wire.messages.calls import CallRequest
from yuccarill.wire.messages.calls import OutcomeQuery
from yuccarill.wire.messages.calls import OutcomeReply
from yuccarill.wire.messages.envelope import Body
from yuccarill.wire.messages.envelope import Envelope
from yuccarill.wire.messages.leases import LeaseAsk
from yuccarill.wire.messages.leases import LeaseInvite
from yuccarill.wire.messages.leases import LeaseSession
from yuccarill.wire.messages.membership import IndirectProbe
from yuccarill.wire.messages.membership import IndirectResult
from yuccarill.wire.messages.membership import Probe
from yuccarill.wire.messages.membership import ProbeReply
from yuccarill.wire.messages.membership import ViewReply
from yuccarill.wire.messages.membership import ViewRequest
from yuccarill.wire.messages.message import Message
from yuccarill.wire.messages.records import ConfigurationDocument
from yuccarill.wire.messages.records import ConfigurationFetch
from yuccarill.wire.messages.records import RecordExchange
from yuccarill.wire.messages.records import RecordExchanged
from yuccarill.wire.messages.records import RecordOffer
from yuccarill.wire.messages.samples import DiskRequest
from yuccarill.wire.messages.samples import KeptSample
from yuccarill.wire.messages.samples import SamplesDrop
from yuccarill.wire.messages.samples import SamplesFound
from yuccarill.wire.messages.samples import SamplesKeep
from yuccarill.wire.messages.samples import SamplesList
from yuccarill.wire.messages.samples import SamplesListed
from yuccarill.wire.messages.samples import SamplesRead
from yuccarill.wire.messages.steps import StepAcknowledge
from yuccarill.wire.messages.steps import StepDelete
from yuccarill.wire.messages.steps import StepDelivery
from yuccarill.wire.messages.steps import StepFetch
from yuccarill.wire.messages.steps import StepSubmit
from yuccarill.wire.messages.steps import TrainerRequest
from yuccarill.wire.messages.steps import VersionAnnounce
from yuccarill.wire.messages.streams import Done
from yuccarill.wire.messages.streams import Heartbeat
from yuccarill.wire.messages.streams import Hello
from yuccarill.wire.messages.streams import Refusal
from yuccarill.wire.messages.weights import WeightOrders
from yuccarill.wire.messages.weights import WeightOrdersTaken
from yuccarill.wire.messages.weights import WeightQuery
from yuccarill.wire.messages.weights import WeightReports

__all__ = (
    'Body',
    'CallAnswer',
    'CallRefusal',
    'CallRequest',
    'ConfigurationDocument',
    'ConfigurationFetch',
    'DiskRequest',
    'Done',
    'Envelope',
    'Heartbeat',
    'Hello',
    'IndirectProbe',
    'IndirectResult',
    'KeptSample',
    'LeaseAsk',
    'LeaseInvite',
    'LeaseSession',
    'Message',
    'OutcomeQuery',
    'OutcomeReply',
    'Probe',
    'ProbeReply',
    'RecordExchange',
    'RecordExchanged',
    'RecordOffer',
    'Refusal',
    'SamplesDrop',
    'SamplesFound',
    'SamplesKeep',
    'SamplesList',
    'SamplesListed',
    'SamplesRead',
    'StepAcknowledge',
    'StepDelete',
    'StepDelivery',
    'StepFetch',
    'StepSubmit',
    'TrainerRequest',
    'VersionAnnounce',
    'ViewReply',
    'ViewRequest',
    'WeightOrders',
    'WeightOrdersTaken',
    'WeightQuery',
    'WeightReports',
)
