"""Hand over unfinished texts to the instance that continues them."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import urllib.parse
import uuid

import msgspec
from twisted.internet import defer

from yuccarill.core import decoding
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.partial_text import PartialText
from yuccarill.core.jobs import text_copies
from yuccarill.core.jobs.text_copies import TextChange
from yuccarill.core.speeds.estimate import SpeedRecord
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.jobs.job import ItemId
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('texts')

PATH = '/texts'
# Maximum text in one message; a slow link has to carry it before the deadline.
# 180 half-finished runs of one instance are 0.9 MB, which a link of 60 Mbit/s
# carries in 0.3 s.
MAX_BYTES = 2_000_000
# Instances that receive copies: the next candidate, and the one after it in
# case both this instance and the next candidate leave.
RECEIVERS = 2
# Deadline for the reply of one receiver.
ANSWER_SECONDS = 0.8
# Default size of one part of a fetched copy.
PART_BYTES = 200_000
# Retention time of copies; longer than a duty's lease plus a short outage of
# the store.
RETENTION_SECONDS = 30.0
# Interval at which engine speeds are sent to one peer.
SPEEDS_SECONDS = 2.0
# Maximum texts per service, the same limit as in a job queue.
MAX_TEXTS = 500


class SendFailed(Exception):
    """Signal texts that a peer did not acknowledge."""


class HandedTexts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold texts of one service that an instance hands over."""

    service: ServiceName
    # Sender and its sequence number. A replaced holder can still send texts of
    # the same items; events of two senders must not be joined into one text.
    source: str
    number: int
    # Ordered by usefulness, most useful first.
    texts: tuple[TextChange, ...]
    # Speeds of the service's engines; empty in most messages.
    speeds: tuple[SpeedRecord, ...] = ()


class KeptTexts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one part of the stored texts of a service."""

    texts: tuple[PartialText, ...]
    # Position of the next part; None after the last one.
    following: int | None = None


class _TextCopy(NamedTuple):
    """Hold a text, the message it came from, and its expiry."""

    text: PartialText
    source: str
    number: int
    until: Instant


class _StoredSpeeds(NamedTuple):
    """Hold the engine speeds from a holder, and when they arrived."""

    records: tuple[SpeedRecord, ...]
    at: Instant


class TextCopyStore:
    """Store the texts that other instances hand over to this one."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        # Called before a service's texts are returned to a peer.
        self.on_read: Callable[[ServiceName], None] = lambda service: None
        self._texts_by_service: dict[ServiceName, dict[ItemId, _TextCopy]] = {}
        self._speeds_by_service: dict[ServiceName, _StoredSpeeds] = {}

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Receive texts from a peer, or return the stored ones."""
        if request.method == 'GET':
            return self._send_part(request)
        return self._receive(request)

    def _send_part(self, request: SmallRequest) -> SmallResponse:
        query = urllib.parse.parse_qs(request.query)
        service = ServiceName(query.get('service', [''])[0])
        first = decoding.parse_decimal(query.get('first', ['0'])[0])
        max_bytes = decoding.parse_decimal(
            query.get('bytes', [str(PART_BYTES)])[0]
        )
        if first is None or max_bytes is None:
            return SmallResponse(status=400)
        self.on_read(service)
        part = self._part(service, first, max_bytes)
        body = msgspec.msgpack.encode(part)
        return SmallResponse(
            status=200, content_type='application/msgpack', body=body
        )

    def _part(
        self, service: ServiceName, first: int, max_bytes: int
    ) -> KeptTexts:
        stored = [
            each.text
            for each in self._texts_by_service.get(service, {}).values()
        ]
        chosen = []
        left = max_bytes
        for text in stored[first:]:
            chosen.append(text)
            left -= sum(len(part) for part in text.parts)
            if left <= 0:
                break
        following = first + len(chosen)
        return KeptTexts(
            texts=tuple(chosen),
            following=following if following < len(stored) else None,
        )

    def _receive(self, request: SmallRequest) -> SmallResponse:
        try:
            message = decoding.from_msgpack(request.body, HandedTexts)
        except msgspec.MsgspecError as error:
            log.warning('Received invalid texts.', cause=str(error))
            return SmallResponse(status=400)
        self._clock.callLater(RETENTION_SECONDS, self._drop_expired)
        if message.speeds:
            self._speeds_by_service[message.service] = _StoredSpeeds(
                message.speeds, Instant(self._clock.seconds())
            )
        are_stored = [self._store(message, each) for each in message.texts]
        stored = self._texts_by_service.get(message.service, {})
        while len(stored) > MAX_TEXTS:
            del stored[next(iter(stored))]
        return SmallResponse(status=200 if all(are_stored) else 409)

    def _store(self, message: HandedTexts, change: TextChange) -> bool:
        """Store a text; return False if earlier events are missing."""
        stored = self._texts_by_service.setdefault(message.service, {})
        text = change.text
        known = stored.get(text.item)
        is_same = known is not None and known.source == message.source
        if known is not None and is_same and known.number > message.number:
            # A later message arrived first.
            return False
        before = known.text if known is not None and is_same else None
        whole = text_copies.apply_change(before, change)
        if whole is None:
            return False
        # Moves the text to the end: eviction starts at the front.
        stored.pop(text.item, None)
        stored[text.item] = _TextCopy(
            whole,
            message.source,
            message.number,
            Instant(self._clock.seconds() + RETENTION_SECONDS),
        )
        return True

    def remove_texts(self, service: ServiceName) -> list[PartialText]:
        """Remove and return a service's texts."""
        now = self._clock.seconds()
        stored = self._texts_by_service.pop(service, {})
        found = [each.text for each in stored.values() if now < each.until]
        if found:
            log.info('Texts taken over.', service=service, count=len(found))
        return found

    def take_speeds(self, service: ServiceName) -> list[SpeedRecord]:
        """Remove and return the engine speeds from the previous holder."""
        stored = self._speeds_by_service.pop(service, None)
        if stored is None:
            return []
        seconds = self._clock.seconds() - stored.at
        return [
            msgspec.structs.replace(record, age=record.age + seconds)
            for record in stored.records
        ]

    def texts(self, service: ServiceName) -> list[PartialText]:
        """Return a service's texts without removing them."""
        now = self._clock.seconds()
        stored = self._texts_by_service.get(service, {})
        return [each.text for each in stored.values() if now < each.until]

    def store_texts(
        self, service: ServiceName, texts: Iterable[PartialText]
    ) -> None:
        """Store texts generated here, replacing older copies."""
        until = Instant(self._clock.seconds() + RETENTION_SECONDS)
        stored = self._texts_by_service.setdefault(service, {})
        for text in texts:
            # The empty source prevents a holder's events from being appended.
            stored[text.item] = _TextCopy(text, '', 0, until)
        self._clock.callLater(RETENTION_SECONDS, self._drop_expired)

    def remove_items(
        self, service: ServiceName, items: Iterable[ItemId]
    ) -> None:
        """Remove the texts of items whose results are listed."""
        stored = self._texts_by_service.get(service, {})
        for item in items:
            stored.pop(item, None)

    def _drop_expired(self) -> None:
        now = self._clock.seconds()
        for stored in self._texts_by_service.values():
            for item, each in list(stored.items()):
                if now >= each.until:
                    del stored[item]


class TextSender:
    """Send texts to the instances that can continue them."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._peers = peer_call.PeerCalls(links, clock)
        self._source = uuid.uuid4().hex
        self._number = 0
        self._clock = clock
        # Returns the known speeds of a service's engines.
        self.speeds_of: Callable[[ServiceName], Iterable[SpeedRecord]]
        self.speeds_of = lambda service: ()
        self._speeds_at: dict[tuple[str, ServiceName], float] = {}

    async def hand_over(
        self, service: ServiceName, texts: Iterable[PartialText]
    ) -> None:
        """Send texts to the likely next holders of a service's duty."""
        changes = [TextChange(text=text) for text in texts]
        if not changes:
            return
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(
                    self._hand_over_to(peer, service, changes)
                )
                for peer in self.receivers(service)
            ]
        )

    def receivers(self, service: ServiceName) -> list[InstanceRecord]:
        """Return the likely next holders of a service's duty."""
        me = self._state.settings.instance
        records_by_name = {
            record.instance: record
            for record in self._state.serving_instances()
            if record.instance != me
        }
        ordered = self._state.candidates(service)
        found = [
            records_by_name[name]
            for name in ordered
            if name in records_by_name
        ]
        return found[:RECEIVERS]

    async def send(
        self,
        peer: InstanceRecord,
        service: ServiceName,
        changes: Iterable[TextChange],
    ) -> tuple[TextChange, ...]:
        """Send as many texts as fit one message, and return them.

        Raises SendFailed.
        """
        chosen = text_copies.limit_size(changes, MAX_BYTES)
        self._number += 1
        message = HandedTexts(
            service=service,
            source=self._source,
            number=self._number,
            texts=chosen,
            speeds=self._speeds(peer.instance, service),
        )
        try:
            await self._peers.call(
                peer,
                'POST',
                PATH,
                ANSWER_SECONDS,
                msgspec.msgpack.encode(message),
            )
        except peer_call.PeerFailed as error:
            raise SendFailed(str(error)) from error
        return chosen

    def _speeds(
        self, peer: str, service: ServiceName
    ) -> tuple[SpeedRecord, ...]:
        """Return the engine speeds if they are due for a peer, or nothing."""
        now = self._clock.seconds()
        sent_at = self._speeds_at.get((peer, service), -math.inf)
        if now < sent_at + SPEEDS_SECONDS:
            return ()
        self._speeds_at[peer, service] = now
        return tuple(self.speeds_of(service))

    async def _hand_over_to(
        self,
        peer: InstanceRecord,
        service: ServiceName,
        changes: list[TextChange],
    ) -> None:
        count, cause = 0, ''
        try:
            count = len(await self.send(peer, service, changes))
        except SendFailed as error:
            # The next holder then generates the texts from the start.
            cause = str(error)
        log.info(
            'Text handover ended.',
            service=service,
            peer=peer.instance,
            count=count,
            of=len(changes),
            cause=cause,
        )
