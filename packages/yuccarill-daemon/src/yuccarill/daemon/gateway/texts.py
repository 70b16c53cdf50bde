"""Hand unfinished texts on to the instance that goes on with them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.gateway import candidates
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.left_text import LeftText
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon import logs

if TYPE_CHECKING:
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
# Seconds for which they are kept: a duty that was not given back changes
# hands within its lease, and where the store is away some seconds later.
KEPT_SECONDS = 30.0
# Texts kept of one service, as a board keeps them.
MAX_KEPT = 500


class HandedTexts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the texts of one service that an instance hands on."""

    service: ServiceName
    # The most useful first.
    texts: tuple[LeftText, ...]


class TextDepot:
    """Keep the texts that were handed to this instance."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._texts_by_service: dict[
            ServiceName, dict[ItemId, tuple[Instant, LeftText]]
        ] = {}

    async def receive(self, request: SmallRequest) -> Page:
        """Take texts from an instance that leaves."""
        try:
            handed = msgspec.msgpack.decode(request.body, type=HandedTexts)
        except msgspec.MsgspecError as error:
            log.warning('Texts not taken.', cause=str(error))
            return Page(status=400)
        kept = self._texts_by_service.setdefault(handed.service, {})
        self._clock.callLater(KEPT_SECONDS, self._drop_old)
        kept_until = Instant(self._clock.seconds() + KEPT_SECONDS)
        for text in handed.texts:
            known = kept.pop(text.item, None)
            # Texts may come twice, and the later ones are longer.
            if known is not None and len(known[1].parts) > len(text.parts):
                text = known[1]
            kept[text.item] = (kept_until, text)
        while len(kept) > MAX_KEPT:
            del kept[next(iter(kept))]
        log.info(
            'Texts taken.', service=handed.service, count=len(handed.texts)
        )
        return Page(status=200)

    def take(self, service: ServiceName) -> list[LeftText]:
        """Return a service's texts, which are then no longer kept."""
        now = self._clock.seconds()
        kept = self._texts_by_service.pop(service, {})
        return [text for until, text in kept.values() if now < until]

    def _drop_old(self) -> None:
        now = self._clock.seconds()
        for kept in self._texts_by_service.values():
            for item, (until, _) in list(kept.items()):
                if now >= until:
                    del kept[item]


class TextSender:
    """Send texts to those that may go on with them."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._links = links
        self._clock = clock

    async def hand_on(
        self, service: ServiceName, texts: Iterable[LeftText]
    ) -> None:
        """Send texts to the likely next holders of a service's duty."""
        chosen = _bounded(texts)
        if not chosen:
            return
        body = msgspec.msgpack.encode(
            HandedTexts(service=service, texts=chosen)
        )
        await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(
                    self._send(peer, service, len(chosen), body)
                )
                for peer in self._receivers(service)
            ]
        )

    def _receivers(self, service: ServiceName) -> list[InstanceRecord]:
        me = self._state.settings.instance
        records_by_name = {
            record.instance: record
            for record in self._state.serving_instances()
            if record.instance != me
        }
        ordered = candidates.ordered(self._state.cores_by_name(), service)
        found = [
            records_by_name[name]
            for name in ordered
            if name in records_by_name
        ]
        return found[:RECEIVERS]

    async def _send(
        self,
        peer: InstanceRecord,
        service: ServiceName,
        count: int,
        body: bytes,
    ) -> None:
        request = http_exchange.OutgoingRequest(
            method='POST',
            target=PATH,
            headers=(('Host', peer.peer_address),),
            body=body,
        )
        deadline = Instant(self._clock.seconds() + ANSWER_SECONDS)
        try:
            reply = await self._links.exchange(
                peer.peer_address, request, deadline
            )
            outcome = f'status {reply.head.status}'
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeBroken,
        ) as error:
            # The texts are generated anew, at the cost of engines' time.
            outcome = str(error)
        log.info(
            'Texts handed on.',
            service=service,
            peer=peer.instance,
            count=count,
            bytes=len(body),
            outcome=outcome,
        )


def _bounded(texts: Iterable[LeftText]) -> tuple[LeftText, ...]:
    chosen = []
    left = MAX_BYTES
    for text in texts:
        left -= sum(len(part) for part in text.parts)
        if left < 0:
            break
        chosen.append(text)
    return tuple(chosen)
