"""Fetch copies of a lost holder's unfinished texts from other instances."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from twisted.internet import defer

from yuccarill.core import decoding
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

# Size and deadline of the first part of a copy. Both are small, because no
# item runs until a missing peer is detected.
FIRST_BYTES = 100_000
FETCH_SECONDS = 0.3
# Size and deadline of each further part. Large parts save round trips between
# regions; the deadline allows for other traffic on the link.
PART_BYTES = 800_000
PART_SECONDS = 1.5
MAX_PARTS = 20


class FetchedTexts(NamedTuple):
    """Hold copies of texts from other instances."""

    texts: list[PartialText]
    # Whether all parts of the copy were received.
    is_whole: bool = False


class TextFetcher:
    """Fetch texts from the instances to which a lost holder sent copies."""

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
        """Return the longest copy of each text, from peers and the store.

        The store is not read if the standby has a whole copy, which is newer;
        this saves megabytes on the link.
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
        """Return the copies of a service's texts from other instances.

        A whole copy of the last holder's standby, if its address is known,
        is returned without waiting for the other instances.
        """
        if standby == self._state.settings.peer_address:
            standby = ''
        addresses = self._addresses(service)
        fetching = {
            address: defer.Deferred.fromCoroutine(
                self._fetch_from(address, service)
            )
            for address in dict.fromkeys((standby, *addresses))
            if address
        }
        found: list[FetchedTexts] = []
        if standby:
            copy = await fetching.pop(standby)
            # A restarted standby has no texts.
            if copy.is_whole and copy.texts:
                for each in fetching.values():
                    each.addErrback(lambda f: f.trap(defer.CancelledError))
                    each.cancel()
                return self._merge_copies(service, [copy], is_whole=True)
            found.append(copy)
        found += await defer.gatherResults(list(fetching.values()))
        return self._merge_copies(service, found, is_whole=False)

    def _merge_copies(
        self,
        service: ServiceName,
        copies: list[FetchedTexts],
        is_whole: bool,
    ) -> FetchedTexts:
        found = text_copies.longest(*(copy.texts for copy in copies))
        if found:
            log.info(
                'Texts fetched from peers.',
                service=service,
                count=len(found),
                is_whole=is_whole,
            )
        return FetchedTexts(found, is_whole)

    def _addresses(self, service: ServiceName) -> list[str]:
        """Return the addresses to which a holder sends its texts.

        The lost holder itself can be among them.
        """
        own_name = self._state.settings.instance
        records_by_name = {
            record.instance: record
            for record in self._state.recent_instances()
            if record.instance != own_name
        }
        cores_by_name = {n: r.cores for n, r in records_by_name.items()}
        ordered = self._state.candidates(service, cores_by_name)
        return [
            records_by_name[name].peer_address
            for name in ordered[: texts.RECEIVERS]
        ]

    async def _fetch_from(
        self, address: str, service: ServiceName
    ) -> FetchedTexts:
        texts_by_item: dict[ItemId, PartialText] = {}
        first: int | None = 0
        try:
            for _ in range(MAX_PARTS):
                part = await self._fetch_part(address, service, first)
                texts_by_item.update({each.item: each for each in part.texts})
                first = part.following
                if first is None:
                    break
        except peer_call.PeerFailed as error:
            log.info('Fetching texts failed.', peer=address, cause=str(error))
        return FetchedTexts(list(texts_by_item.values()), first is None)

    async def _fetch_part(
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
            return decoding.from_msgpack(body, texts.KeptTexts)
        except msgspec.MsgspecError as error:
            raise peer_call.PeerFailed(str(error)) from error
