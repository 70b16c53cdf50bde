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
# Seconds for which one is left out that refused at once, or has read nothing
# yet: it is starting. After a loss of all instances each reader that gave up
# its watchers for longer read everything at the store.
STARTING_SECONDS = 0.3
# Seconds within which an answer counts as given at once.
AT_ONCE = 0.1
# Seconds after its start in which an instance does not watch the store: it
# may not know the others yet, and would take itself for a watcher. A fleet
# that starts then makes no watch but those of its watchers.
START_WAIT = 0.8
# Seconds before a reader asks its watchers again while the store is away from
# them and from itself. It costs no call, and their answer is how the fleet
# learns of the return: an instance on its own hardly probes.
RETURN_SECONDS = 0.5


class Feed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what a watcher tells of one prefix."""

    page: store_module.Page
    # Where the next poll goes on.
    cursor: str
    # Seconds since the watcher last heard the store.
    age: float


class WatcherUnusable(Exception):
    """Report a watcher whose answer is of no use."""


class WatcherStarting(WatcherUnusable):
    """Report a watcher that has read nothing yet."""


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
        page: store_module.Page | None
        if cursor:
            page = await follower.changes(cursor, POLL_SECONDS)
        else:
            page = follower.copy()
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
        # Seconds that the last answer's word of the store was old.
        self.answer_age = 0.0
        self._state = state
        self._store = store
        self._links = links
        self._clock = clock
        self._peers = peer_choice.PeerChoice(state, clock)
        # Where to go on, and in whose copy.
        self._cursor = ''
        self._cursor_of = ''
        # The copy of another watcher, which the next read returns.
        self._copy: store_module.Page | None = None
        self._started_at = clock.seconds()
        self._has_read = False

    async def page(
        self, prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store_module.Page:
        """Return the keys under a prefix, as the store does."""
        # A look for what a watch missed is meant for the store itself; the
        # first read of all may be answered by anyone.
        is_check = is_stale and self._has_read
        self._has_read = True
        if not after and not is_check:
            copied, self._copy = self._copy, None
            copied = copied or await self._copied(prefix)
            if copied is not None:
                return copied
        page = await self._read(prefix, after, is_stale)
        self.is_direct = True
        return page

    async def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> store_module.Page:
        """Wait for changes under a prefix, as the store does."""
        watcher = self._watcher()
        if watcher is not None and watcher.instance == self._cursor_of:
            found = await self._ask(watcher, prefix)
            if found is not None:
                return found
        self._copy = await self._copied(prefix)
        if self._copy is not None:
            # Another one's copy: what differs has to be found out.
            raise store_module.HistoryGone
        was_direct, self.is_direct = self.is_direct, True
        self._cursor_of = ''
        if self._is_starting():
            await task.deferLater(self._clock, STARTING_SECONDS)
            return await self._look(prefix, after)
        if not was_direct:
            # Watchers that lost the store mostly lost it with everybody. A
            # watch would tell no sooner, at ten times the price: sixty
            # instances made 682 of them on a day with one outage of 7 s.
            return await self._look(prefix, after)
        page = await self._store.watch(prefix, after, seconds)
        self.answer_age = 0.0
        return page

    async def _look(self, prefix: str, after: Revision) -> store_module.Page:
        """Return the keys as changes since a revision."""
        page = await self._read(prefix, None, is_stale=True)
        # What was removed is not told: a watch from the same revision on
        # will, or another one's copy.
        return msgspec.structs.replace(page, revision=after)

    async def _read(
        self, prefix: str, after: str | None, is_stale: bool
    ) -> store_module.Page:
        try:
            page = await self._store.page(prefix, after, is_stale)
        except (store_module.StoreRefused, store_module.StoreUnclear):
            # Then it is not the watchers that failed.
            self._peers.clear()
            raise
        self.answer_age = 0.0
        return page

    async def _copied(self, prefix: str) -> store_module.Page | None:
        """Return the copy of the first watcher that gives one."""
        while (watcher := self._watcher()) is not None:
            self._cursor = ''
            found = await self._ask(watcher, prefix)
            if found is not None:
                return found
        return None

    def _is_starting(self) -> bool:
        return bool(self._clock.seconds() < self._started_at + START_WAIT)

    async def pause(self, seconds: float) -> None:
        """Wait before the store is tried again, longer than watchers do."""
        if self._is_watcher():
            await self._store.pause(seconds)
        else:
            await task.deferLater(self._clock, RETURN_SECONDS)

    def _is_watcher(self) -> bool:
        return self._state.settings.instance in self._names()

    def _watcher(self) -> InstanceRecord | None:
        if self._is_watcher():
            return None
        chosen = self._peers.choose(self._names(), is_near=True)
        if chosen is not None:
            self._peers.keep(chosen.instance)
        return chosen

    def _names(self) -> tuple[str, ...]:
        return watchers.watchers(
            self._state.cores_by_name(), self._state.centres_by_name()
        )

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
        asked_at = self._clock.seconds()
        deadline = Instant(asked_at + wait + ANSWER_SECONDS)
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
            took = self._clock.seconds() - asked_at
            self._leave_out(watcher, error, took)
            return None
        self.is_direct = False
        self.answer_age = feed.age
        if not self._cursor_of:
            # It may have lost the store with this instance.
            self._store.expect_return()
        self._cursor = feed.cursor
        self._cursor_of = watcher.instance
        return feed.page

    def _leave_out(
        self, watcher: InstanceRecord, error: Exception, took: float
    ) -> None:
        is_starting = isinstance(error, WatcherStarting) or (
            isinstance(error, http_exchange.NotConnected) and took < AT_ONCE
        )
        seconds = STARTING_SECONDS if is_starting else OUT_SECONDS
        log.info(
            'Watcher left out.',
            watcher=watcher.instance,
            cause=str(error),
            seconds=seconds,
        )
        self._peers.leave_out(watcher.instance, seconds)
        self._cursor_of = ''


def _feed(reply: http_exchange.Reply) -> Feed:
    if reply.head.status == 410:
        raise store_module.HistoryGone
    if reply.head.status == 404:
        raise WatcherStarting('it has read nothing yet')
    if reply.head.status != 200:
        raise WatcherUnusable(f'status {reply.head.status}')
    try:
        feed = msgspec.msgpack.decode(reply.body, type=Feed)
    except msgspec.MsgspecError as error:
        raise WatcherUnusable(str(error)) from error
    if feed.age > MAX_AGE:
        raise WatcherUnusable(f'it heard the store {feed.age:.1f} s ago')
    return feed
