"""Messages that replicate versioned records between instances."""

from __future__ import annotations

from yuccarill.core.dissemination.record import Record
from yuccarill.core.ids import Revision
from yuccarill.wire.messages.message import Message


class RecordOffer(Message, frozen=True, tag='records'):
    """Send records; the receiver keeps those that are newer."""

    records: tuple[Record, ...]


class RecordExchange(Message, frozen=True, tag='exchange'):
    """Send the versions of all records for comparison by a peer."""

    versions_by_key: dict[str, int]


class RecordExchanged(Message, frozen=True, tag='exchanged'):
    """Return records the requester lacks and keys of records to send."""

    records: tuple[Record, ...]
    wanted: tuple[str, ...] = ()


class ConfigurationFetch(Message, frozen=True, tag='configuration-fetch'):
    """Ask for a whole configuration newer than a revision."""

    above: Revision


class ConfigurationDocument(Message, frozen=True, tag='configuration'):
    """Return the change that made a revision, and its inventory."""

    change: bytes
    inventory: bytes


RecordMessage = (
    RecordOffer
    | RecordExchange
    | RecordExchanged
    | ConfigurationFetch
    | ConfigurationDocument
)
