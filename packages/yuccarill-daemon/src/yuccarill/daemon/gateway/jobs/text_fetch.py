"""Fetch the copies of a lost holder's texts from those that keep them."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from twisted.internet import defer

from yuccarill.core.jobs import text_copies
from yuccarill.daemon.gateway.jobs import texts
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import ItemId
    from yuccarill.core.jobs.partial_text import PartialText
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('texts')

# Bytes of the first part of a copy, and seconds that a new holder waits for
# it: it shows whether its keeper is there, and nothing runs meanwhile.
FIRST_BYTES = 100_000
FETCH_SECONDS = 0.3
# Bytes of each further part, and seconds for it. Ways between regions take a
# tenth of a second for each question, and the link may carry other answers.
PART_BYTES = 800_000
PART_SECONDS = 1.5
# Parts of one copy at most.
MAX_PARTS = 20


class FetchedTexts(NamedTuple):
    """Hold texts that other instances kept."""

    texts: list[PartialText]
    # The holder's standby gave all that it had.
    is_whole: bool = False


class TextFetcher:
    """Ask those that a lost holder sent its texts to."""

    def __init__(
        self, state: GatewayState, links: Connections, clock: Any
    ) -> None:
        self._state = state
        self._peers = peer_call.PeerCalls(links, clock)

    async def newest(
        self,
        service: ServiceName,
        standby: str,
        read: Callable[[], Coroutine[Any, Any, list[PartialText]]],
    ) -> list[PartialText]:
        """Return each text by its newest copy, here or in the store.

        The store's are read unless the standby gives its own, which are
        newer: both are megabytes for one link.
        """
        if standby:
            fetched = await self.fetch(service, standby)
            if fetched.is_whole:
                return fetched.texts
            return text_copies.longest(fetched.texts, await read())
        reading = defer.Deferred.fromCoroutine(read())
        fetched = await self.fetch(service)
        return text_copies.longest(fetched.texts, await reading)

    async def fetch(
        self, service: ServiceName, standby: str = ''
    ) -> FetchedTexts:
        """Return what is kept of a service's texts.

        An instance that crashed and is back holds its duty again, and has
        nothing of what it ran. Where the address of the last holder's
        standby is known and it gives its copy, no other is waited for.
        """
        if standby == self._state.settings.peer_address:
            standby = ''
        addresses = self._addresses(service)
        fetching = {
            address: defer.Deferred.fromCoroutine(
                self._fetch(address, service)
            )
            for address in dict.fromkeys((standby, *addresses))
            if address
        }
        found: list[FetchedTexts] = []
        if standby:
            copy = await fetching.pop(standby)
            # A standby that has started again has no texts.
            if copy.is_whole and copy.texts:
                for each in fetching.values():
                    each.addErrback(lambda f: f.trap(defer.CancelledError))
                    each.cancel()
                return self._found(service, [copy], is_whole=True)
            found.append(copy)
        found += await defer.gatherResults(list(fetching.values()))
        return self._found(service, found, is_whole=False)

    def _found(
        self,
        service: ServiceName,
        copies: list[FetchedTexts],
        is_whole: bool,
    ) -> FetchedTexts:
        found = text_copies.longest(*(copy.texts for copy in copies))
        if found:
            log.info(
                'Texts fetched.',
                service=service,
                count=len(found),
                is_whole=is_whole,
            )
        return FetchedTexts(found, is_whole)

    def _addresses(self, service: ServiceName) -> list[str]:
        """Return where a holder sends its texts, or would.

        Among them may be the holder itself, which answers nothing.
        """
        me = self._state.settings.instance
        records_by_name = {
            record.instance: record
            for record in self._state.remembered_instances()
            if record.instance != me
        }
        cores_by_name = {n: r.cores for n, r in records_by_name.items()}
        ordered = self._state.candidates(service, cores_by_name)
        return [
            records_by_name[name].peer_address
            for name in ordered[: texts.RECEIVERS]
        ]

    async def _fetch(self, address: str, service: ServiceName) -> FetchedTexts:
        texts_by_item: dict[ItemId, PartialText] = {}
        first: int | None = 0
        try:
            for _ in range(MAX_PARTS):
                part = await self._part(address, service, first)
                texts_by_item.update({each.item: each for each in part.texts})
                first = part.following
                if first is None:
                    break
        except peer_call.PeerFailed as error:
            log.info('Texts not fetched.', peer=address, cause=str(error))
        return FetchedTexts(list(texts_by_item.values()), first is None)

    async def _part(
        self, address: str, service: ServiceName, first: int | None
    ) -> texts.KeptTexts:
        fields = {
            'service': service,
            'first': first,
            'bytes': PART_BYTES if first else FIRST_BYTES,
        }
        body = await self._peers.call_at(
            address,
            'GET',
            f'{texts.PATH}?{urllib.parse.urlencode(fields)}',
            PART_SECONDS if first else FETCH_SECONDS,
        )
        try:
            return msgspec.msgpack.decode(body, type=texts.KeptTexts)
        except msgspec.MsgspecError as error:
            raise peer_call.PeerFailed(str(error)) from error
