"""Follow the store through an instance that watches it for others."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from twisted.internet import task

from yuccarill.core.gateway import watchers
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters.small_server import Page as HttpPage
from yuccarill.daemon.gateway.store import peer_choice
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord
    from yuccarill.daemon.gateway.store.follower import PrefixFollower
    from yuccarill.platform.store import Store

log = logs.for_part('feed')

PATH = '/feed'
# Seconds that one poll of a watcher waits. A poll costs no call of the
# store, and bounds how long a dead connection goes unnoticed.
POLL_SECONDS = 1.5
ANSWER_SECONDS = 0.6
# Seconds since a watcher last heard the store, after which it is not
# believed: a configuration has to be in force after two or three.
MAX_AGE = 2.2
# Seconds for which a watcher that failed is left out.
OUT_SECONDS = 3.0
# Seconds that a reader gives watchers once the store is back: they hear of
# it within a probe's 0.6 s. Otherwise each reader reads everything itself,
# and stays at the store for as long as a watch waits.
RETURN_SECONDS = 0.7


class Feed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a watcher tells of one prefix."""

    page: store_module.Page
    # Where the next poll goes on.
    cursor: str
    # Seconds since the watcher last heard the store.
    age: float


class WatcherUnusable(Exception):
    """Report a watcher whose answer is of no use."""


class FeedServer:
    """Tell other instances what this one's followers know."""

    def __init__(
        self, followers_by_prefix: Mapping[str, PrefixFollower]
    ) -> None:
        self._followers_by_prefix = followers_by_prefix

    async def handle(self, request: SmallRequest) -> HttpPage:
        """Answer one poll."""
        query = urllib.parse.parse_qs(request.query)
        follower = self._followers_by_prefix.get(query.get('prefix', [''])[0])
        if follower is None or not follower.is_current:
            return HttpPage(status=404)
        cursor = query.get('after', [''])[0]
        page: store_module.Page | None = follower.copy()
        if cursor:
            page = await follower.changes(cursor, POLL_SECONDS)
        if page is None:
            return HttpPage(status=410)
        if not follower.is_in_touch:
            # Said at once: a reader that waited for the age to pass its
            # bound refused routes with 404 for more than the 2 s that it
            # has. Loss ends open polls, so a reader learns of it within
            # a check and a call, and asks the store itself.
            return HttpPage(status=503)
        feed = Feed(page=page, cursor=follower.cursor, age=follower.age())
        return HttpPage(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(feed),
        )


class FeedSource:
    """Read and watch a prefix at a watcher, or else at the store."""

    def __init__(
        self,
        state: GatewayState,
        store: Store,
        links: Connections,
        clock: Any,
    ) -> None:
        # The last answer came from the store itself.
        self.is_direct = True
        self._state = state
        self._store = store
        self._links = links
        self._clock = clock
        self._peers = peer_choice.PeerChoice(state, clock)
        # Where to go on, and in whose copy.
        self._cursor = ''
        self._cursor_of = ''

    async def page(
        self, prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store_module.Page:
        """Return the keys under a prefix, as the store does."""
        watcher = None if after or is_stale else self._watcher()
        if watcher is not None:
            self._cursor = ''
            found = await self._ask(watcher, prefix)
            if found is not None:
                return found
        try:
            page = await self._store.page(prefix, after, is_stale)
        except (store_module.StoreRefused, store_module.StoreUnclear):
            # Then it is not the watchers that failed.
            self._peers.clear()
            raise
        self.is_direct = True
        return page

    async def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> store_module.Page:
        """Wait for changes under a prefix, as the store does."""
        watcher = self._watcher()
        if watcher is not None:
            if watcher.instance != self._cursor_of:
                # Another one's copy: what differs has to be found out.
                raise store_module.HistoryGone
            found = await self._ask(watcher, prefix)
            if found is not None:
                return found
        self.is_direct = True
        self._cursor_of = ''
        return await self._store.watch(prefix, after, seconds)

    async def pause(self, seconds: float) -> None:
        """Wait before the store is tried again, longer than watchers do."""
        await self._store.pause(seconds)
        if not self._is_watcher():
            await task.deferLater(self._clock, RETURN_SECONDS)

    def _is_watcher(self) -> bool:
        names = watchers.watchers(self._state.cores_by_name())
        return self._state.settings.instance in names

    def _watcher(self) -> InstanceRecord | None:
        if self._is_watcher():
            return None
        names = watchers.watchers(self._state.cores_by_name())
        chosen = self._peers.choose(names)
        if chosen is not None:
            self._peers.keep(chosen.instance)
        return chosen

    async def _ask(
        self, watcher: InstanceRecord, prefix: str
    ) -> store_module.Page | None:
        fields = {'prefix': prefix}
        if self._cursor:
            fields['after'] = self._cursor
        request = http_exchange.OutgoingRequest(
            method='GET',
            target=f'{PATH}?{urllib.parse.urlencode(fields)}',
            headers=(('Host', watcher.peer_address),),
        )
        wait = POLL_SECONDS if self._cursor else 0.0
        deadline = Instant(self._clock.seconds() + wait + ANSWER_SECONDS)
        try:
            reply = await self._links.exchange(
                watcher.peer_address, request, deadline
            )
            feed = _feed(reply)
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeBroken,
            WatcherUnusable,
        ) as error:
            self._leave_out(watcher, str(error))
            return None
        self.is_direct = False
        self._cursor = feed.cursor
        self._cursor_of = watcher.instance
        return feed.page

    def _leave_out(self, watcher: InstanceRecord, cause: str) -> None:
        log.info('Watcher left out.', watcher=watcher.instance, cause=cause)
        self._peers.leave_out(watcher.instance, OUT_SECONDS)
        self._cursor_of = ''


def _feed(reply: http_exchange.Reply) -> Feed:
    if reply.head.status == 410:
        raise store_module.HistoryGone
    if reply.head.status != 200:
        raise WatcherUnusable(f'status {reply.head.status}')
    try:
        feed = msgspec.msgpack.decode(reply.body, type=Feed)
    except msgspec.MsgspecError as error:
        raise WatcherUnusable(str(error)) from error
    if feed.age > MAX_AGE:
        raise WatcherUnusable(f'it heard the store {feed.age:.1f} s ago')
    return feed
