"""Hand unfinished texts on to the instance that goes on with them."""

from __future__ import annotations

import math
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import urllib.parse
import uuid

import msgspec
from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.partial_text import PartialText
from yuccarill.core.jobs import text_copies
from yuccarill.core.jobs.text_copies import TextChange
from yuccarill.core.speeds.estimate import SpeedRecord
from yuccarill.daemon.adapters.small_server import Page
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
# Bytes of text that are handed on: some 180 runs of one instance, half
# done, are 0.9 MB. A link of 60 Mbit/s carries as much in 0.3 s.
MAX_BYTES = 2_000_000
# Instances that get them: the one that is next in the order of candidates,
# and the one after it in case that one leaves in the same moment.
RECEIVERS = 2
# Seconds that one of them may take.
ANSWER_SECONDS = 0.8
# Bytes of text in one part of a copy where its reader wants no other number.
PART_BYTES = 200_000
# Seconds for which they are kept: a duty that was not given back changes
# hands within its lease, and where the store is away some seconds later.
KEPT_SECONDS = 30.0
# Seconds between two messages to one peer that tell of engines' speeds.
SPEEDS_SECONDS = 2.0
# Texts kept of one service, as a board keeps them.
MAX_KEPT = 500


class NotTaken(Exception):
    """Report texts that a peer does not have."""


class HandedTexts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold texts of one service that an instance hands on."""

    service: ServiceName
    # Who sends them, and how many messages it has sent. Two holders, of
    # which one does not know yet that it was replaced, send other texts of
    # the same items: the events of one must not follow those of the other.
    source: str
    number: int
    # The most useful first.
    texts: tuple[TextChange, ...]
    # What is known of the service's engines, with some messages.
    speeds: tuple[SpeedRecord, ...] = ()


class KeptTexts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a part of the texts that are kept of one service."""

    texts: tuple[PartialText, ...]
    # Where the next part begins; none after the last one.
    following: int | None = None


class _KeptText(NamedTuple):
    """Keep a text, and by which message it came."""

    text: PartialText
    source: str
    number: int
    until: Instant


class _KeptSpeeds(NamedTuple):
    """Keep what a holder knew of its engines, and since when."""

    records: tuple[SpeedRecord, ...]
    at: Instant


class TextDepot:
    """Keep the texts that were handed to this instance."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        # Called before a service's texts are shown to who asks for them.
        self.on_show: Callable[[ServiceName], None] = lambda service: None
        self._texts_by_service: dict[ServiceName, dict[ItemId, _KeptText]] = {}
        self._speeds_by_service: dict[ServiceName, _KeptSpeeds] = {}

    async def handle(self, request: SmallRequest) -> Page:
        """Take texts that are handed on, or show those that are kept."""
        if request.method == 'GET':
            return self._show(request)
        return self._receive(request)

    def _show(self, request: SmallRequest) -> Page:
        query = urllib.parse.parse_qs(request.query)
        service = ServiceName(query.get('service', [''])[0])
        first = query.get('first', ['0'])[0]
        most = query.get('bytes', [str(PART_BYTES)])[0]
        if not first.isdecimal() or not most.isdecimal():
            return Page(status=400)
        self.on_show(service)
        part = self._part(service, int(first), int(most))
        body = msgspec.msgpack.encode(part)
        return Page(status=200, content_type='application/msgpack', body=body)

    def _part(self, service: ServiceName, first: int, most: int) -> KeptTexts:
        kept = [
            each.text
            for each in self._texts_by_service.get(service, {}).values()
        ]
        chosen = []
        left = most
        for text in kept[first:]:
            chosen.append(text)
            left -= sum(len(part) for part in text.parts)
            if left <= 0:
                break
        following = first + len(chosen)
        return KeptTexts(
            texts=tuple(chosen),
            following=following if following < len(kept) else None,
        )

    def _receive(self, request: SmallRequest) -> Page:
        try:
            handed = msgspec.msgpack.decode(request.body, type=HandedTexts)
        except msgspec.MsgspecError as error:
            log.warning('Texts not taken.', cause=str(error))
            return Page(status=400)
        self._clock.callLater(KEPT_SECONDS, self._drop_old)
        if handed.speeds:
            self._speeds_by_service[handed.service] = _KeptSpeeds(
                handed.speeds, Instant(self._clock.seconds())
            )
        are_taken = [self._keep(handed, each) for each in handed.texts]
        kept = self._texts_by_service.get(handed.service, {})
        while len(kept) > MAX_KEPT:
            del kept[next(iter(kept))]
        return Page(status=200 if all(are_taken) else 409)

    def _keep(self, message: HandedTexts, handed: TextChange) -> bool:
        """Tell whether a text is kept with all events before it."""
        kept = self._texts_by_service.setdefault(message.service, {})
        text = handed.text
        known = kept.get(text.item)
        is_same = known is not None and known.source == message.source
        if known is not None and is_same and known.number > message.number:
            # Overtaken by a later message.
            return False
        before = known.text if known is not None and is_same else None
        whole = text_copies.apply_change(before, handed)
        if whole is None:
            return False
        # Put last: the first ones are dropped where there are too many.
        kept.pop(text.item, None)
        kept[text.item] = _KeptText(
            whole,
            message.source,
            message.number,
            Instant(self._clock.seconds() + KEPT_SECONDS),
        )
        return True

    def take(self, service: ServiceName) -> list[PartialText]:
        """Return a service's texts, which are then no longer kept."""
        now = self._clock.seconds()
        kept = self._texts_by_service.pop(service, {})
        found = [each.text for each in kept.values() if now < each.until]
        if found:
            log.info('Texts taken over.', service=service, count=len(found))
        return found

    def take_speeds(self, service: ServiceName) -> list[SpeedRecord]:
        """Return what a service's holder before knew of its engines."""
        kept = self._speeds_by_service.pop(service, None)
        if kept is None:
            return []
        seconds = self._clock.seconds() - kept.at
        return [
            msgspec.structs.replace(record, age=record.age + seconds)
            for record in kept.records
        ]

    def kept(self, service: ServiceName) -> list[PartialText]:
        """Return a service's texts, which go on being kept."""
        now = self._clock.seconds()
        kept = self._texts_by_service.get(service, {})
        return [each.text for each in kept.values() if now < each.until]

    def put(self, service: ServiceName, texts: Iterable[PartialText]) -> None:
        """Keep texts that were made here, in place of older copies."""
        until = Instant(self._clock.seconds() + KEPT_SECONDS)
        kept = self._texts_by_service.setdefault(service, {})
        for text in texts:
            # Under a source of its own, so that no holder's events follow.
            kept[text.item] = _KeptText(text, '', 0, until)
        self._clock.callLater(KEPT_SECONDS, self._drop_old)

    def drop(self, service: ServiceName, items: Iterable[ItemId]) -> None:
        """Keep texts no longer whose results are listed."""
        kept = self._texts_by_service.get(service, {})
        for item in items:
            kept.pop(item, None)

    def _drop_old(self) -> None:
        now = self._clock.seconds()
        for kept in self._texts_by_service.values():
            for item, each in list(kept.items()):
                if now >= each.until:
                    del kept[item]


class TextSender:
    """Send texts to those that may go on with them."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._peers = peer_call.PeerCalls(links, clock)
        self._source = uuid.uuid4().hex
        self._number = 0
        self._clock = clock
        # What this instance knows of a service's engines.
        self.speeds_of: Callable[[ServiceName], Iterable[SpeedRecord]]
        self.speeds_of = lambda service: ()
        self._speeds_at: dict[tuple[str, ServiceName], float] = {}

    async def hand_on(
        self, service: ServiceName, texts: Iterable[PartialText]
    ) -> None:
        """Send texts to the likely next holders of a service's duty."""
        handed = [TextChange(text=text) for text in texts]
        if not handed:
            return
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(
                    self._hand_on(peer, service, handed)
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
        handed: Iterable[TextChange],
    ) -> tuple[TextChange, ...]:
        """Send as many texts as may go at once, and return them.

        Raises NotTaken.
        """
        chosen = text_copies.limit_size(handed, MAX_BYTES)
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
            raise NotTaken(str(error)) from error
        return chosen

    def _speeds(
        self, peer: str, service: ServiceName
    ) -> tuple[SpeedRecord, ...]:
        """Return what a peer is told of the engines now, from time to time."""
        now = self._clock.seconds()
        told_at = self._speeds_at.get((peer, service), -math.inf)
        if now < told_at + SPEEDS_SECONDS:
            return ()
        self._speeds_at[peer, service] = now
        return tuple(self.speeds_of(service))

    async def _hand_on(
        self,
        peer: InstanceRecord,
        service: ServiceName,
        handed: list[TextChange],
    ) -> None:
        count, cause = 0, ''
        try:
            count = len(await self.send(peer, service, handed))
        except NotTaken as error:
            # The texts are generated anew, at the cost of engines' time.
            cause = str(error)
        log.info(
            'Texts handed on.',
            service=service,
            peer=peer.instance,
            count=count,
            of=len(handed),
            cause=cause,
        )
