"""Define how instances pass on versioned records."""

from __future__ import annotations

from yuccarill.core.dissemination.record import Record
from yuccarill.core.ids import Revision
from yuccarill.wire.messages.message import Message


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


RecordMessage = (
    RecordOffer
    | RecordExchange
    | RecordExchanged
    | ConfigurationFetch
    | ConfigurationDocument
)
