"""Follow the store through a watcher, an instance that serves its copy."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from twisted.internet import task

from yuccarill.core import decoding
from yuccarill.core.gateway import watchers
from yuccarill.core.ids import Instant
from yuccarill.core.ids import Revision
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters.small_server import SmallResponse as HttpPage
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
# Long-poll timeout at a watcher; bounds how long a dead connection goes
# unnoticed. A poll costs no store call.
POLL_SECONDS = 1.5
ANSWER_SECONDS = 0.6
# Maximum seconds since a watcher's last contact with the store: instances must
# apply a new configuration within 2 to 3 s.
MAX_AGE_SECONDS = 2.2
# Seconds for which a failed watcher is excluded.
EXCLUDED_SECONDS = 3.0
# Seconds for which a starting watcher is excluded, and before a starting
# instance retries. A longer exclusion makes each reader read every key at the
# store after a restart of all instances.
STARTING_RETRY_SECONDS = 0.3
# A connection refused within this many seconds marks a starting watcher.
FAST_REFUSAL_SECONDS = 0.1
# Seconds after its start in which an instance does not watch the store: before
# it knows the other instances, each one would select itself as a watcher.
START_WAIT_SECONDS = 0.8
# Seconds between a reader's polls of its watchers during a store outage. Polls
# cost no store call, and readers learn of the recovery from them.
OUTAGE_POLL_SECONDS = 0.5


class Feed(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a watcher's answer to a poll of one prefix."""

    page: store_module.Page
    # Start position of the next poll.
    cursor: str
    # Seconds since the watcher's last contact with the store.
    age: float


class WatcherUnusable(Exception):
    """The watcher's answer cannot be used."""


class WatcherStarting(WatcherUnusable):
    """The watcher has not read the prefix yet."""


class FeedServer:
    """Serve the copies of this instance's followers to other instances."""

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
            page = await follower.await_changes(cursor, POLL_SECONDS)
        else:
            page = follower.copy()
        if page is None:
            return HttpPage(status=410)
        if not follower.is_store_reached:
            # Rejects polls before the copy exceeds MAX_AGE_SECONDS: readers
            # would otherwise learn of new routes too late and answer 404.
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
        connections: Connections,
        clock: Any,
    ) -> None:
        # Whether the last answer came from the store itself.
        self.is_direct = True
        # Age in seconds of the data in the last answer.
        self.answer_age = 0.0
        self._state = state
        self._store = store
        self._connections = connections
        self._clock = clock
        self._peers = peer_choice.PeerChoice(state, clock)
        # Start position of the next poll, and the watcher that issued it.
        self._cursor = ''
        self._cursor_owner = ''
        # A copy from a newly chosen watcher, returned by the next read.
        self._pending_copy: store_module.Page | None = None
        self._started_at = clock.seconds()
        self._has_read = False

    async def page(
        self, prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store_module.Page:
        """Return the keys under a prefix; raise as `Store.page` does."""
        # A check for missed changes has to reach the store itself; a watcher
        # can answer the first read.
        is_check = is_stale and self._has_read
        self._has_read = True
        if not after and not is_check:
            copy, self._pending_copy = self._pending_copy, None
            copy = copy or await self._fetch_copy(prefix)
            if copy is not None:
                return copy
        page = await self._read(prefix, after, is_stale)
        self.is_direct = True
        return page

    async def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> store_module.Page:
        """Wait for changes under a prefix; raise as `Store.watch` does."""
        watcher = self._choose_watcher()
        if watcher is not None and watcher.instance == self._cursor_owner:
            polled = await self._poll(watcher, prefix)
            if polled is not None:
                return polled
        self._pending_copy = await self._fetch_copy(prefix)
        if self._pending_copy is not None:
            # The new watcher's copy has to be compared with all known keys.
            raise store_module.HistoryGone
        was_direct, self.is_direct = self.is_direct, True
        self._cursor_owner = ''
        if self._is_starting():
            await task.deferLater(self._clock, STARTING_RETRY_SECONDS)
            return await self._read_as_changes(prefix, after)
        if not was_direct:
            # An outage usually affects all instances. A stale read detects
            # it as early as a watch does, at a tenth of the cost.
            return await self._read_as_changes(prefix, after)
        page = await self._store.watch(prefix, after, seconds)
        self.answer_age = 0.0
        return page

    async def _read_as_changes(
        self, prefix: str, after: Revision
    ) -> store_module.Page:
        """Return a stale read in the form of changes since a revision."""
        page = await self._read(prefix, None, is_stale=True)
        # A read does not show removals. The revision is kept, so that the next
        # watch, or a watcher's copy, reports them.
        return msgspec.structs.replace(page, revision=after)

    async def _read(
        self, prefix: str, after: str | None, is_stale: bool
    ) -> store_module.Page:
        try:
            page = await self._store.page(prefix, after, is_stale)
        except (store_module.StoreRefused, store_module.StoreOutcomeUnknown):
            # End the exclusion of watchers: the store itself may be down.
            self._peers.clear()
            raise
        self.answer_age = 0.0
        return page

    async def _fetch_copy(self, prefix: str) -> store_module.Page | None:
        """Return the copy of the first watcher that answers."""
        while (watcher := self._choose_watcher()) is not None:
            self._cursor = ''
            polled = await self._poll(watcher, prefix)
            if polled is not None:
                return polled
        return None

    def _is_starting(self) -> bool:
        return bool(
            self._clock.seconds() < self._started_at + START_WAIT_SECONDS
        )

    async def pause(self, seconds: float) -> None:
        """Wait before a retry; readers wait a fixed time."""
        if self._is_watcher():
            await self._store.pause(seconds)
        else:
            await task.deferLater(self._clock, OUTAGE_POLL_SECONDS)

    def _is_watcher(self) -> bool:
        return self._state.settings.instance in self._watcher_names()

    def _choose_watcher(self) -> InstanceRecord | None:
        if self._is_watcher():
            return None
        chosen = self._peers.choose(self._watcher_names(), is_near=True)
        if chosen is not None:
            self._peers.prefer(chosen.instance)
        return chosen

    def _watcher_names(self) -> tuple[str, ...]:
        return watchers.watchers(
            self._state.cores_by_name(), self._state.data_centres_by_name()
        )

    async def _poll(
        self, watcher: InstanceRecord, prefix: str
    ) -> store_module.Page | None:
        parameters = {'prefix': prefix}
        if self._cursor:
            parameters['after'] = self._cursor
        request = http_exchange.OutgoingRequest(
            method='GET',
            target=f'{PATH}?{urllib.parse.urlencode(parameters)}',
            headers=(('Host', watcher.peer_address),),
        )
        poll_seconds = POLL_SECONDS if self._cursor else 0.0
        started_at = self._clock.seconds()
        deadline = Instant(started_at + poll_seconds + ANSWER_SECONDS)
        try:
            reply = await self._connections.exchange(
                watcher.peer_address, request, deadline
            )
            feed = _decode_feed(reply)
        except (
            http_exchange.NotConnected,
            http_exchange.ExchangeFailed,
            WatcherUnusable,
        ) as error:
            elapsed = self._clock.seconds() - started_at
            self._exclude(watcher, error, elapsed)
            return None
        self.is_direct = False
        self.answer_age = feed.age
        if not self._cursor_owner:
            # The watcher may have just regained the store; probe it here too.
            self._store.probe_now()
        self._cursor = feed.cursor
        self._cursor_owner = watcher.instance
        return feed.page

    def _exclude(
        self, watcher: InstanceRecord, error: Exception, elapsed: float
    ) -> None:
        is_starting = isinstance(error, WatcherStarting) or (
            isinstance(error, http_exchange.NotConnected)
            and elapsed < FAST_REFUSAL_SECONDS
        )
        seconds = STARTING_RETRY_SECONDS if is_starting else EXCLUDED_SECONDS
        log.info(
            'Watcher excluded after a failed poll.',
            watcher=watcher.instance,
            cause=str(error),
            seconds=seconds,
        )
        self._peers.exclude(watcher.instance, seconds)
        self._cursor_owner = ''


def _decode_feed(reply: http_exchange.Reply) -> Feed:
    if reply.head.status == 410:
        raise store_module.HistoryGone
    if reply.head.status == 404:
        raise WatcherStarting('the watcher has not read the prefix yet')
    if reply.head.status != 200:
        raise WatcherUnusable(
            f'the watcher answered with status {reply.head.status}'
        )
    try:
        feed = decoding.from_msgpack(reply.body, Feed)
    except msgspec.MsgspecError as error:
        raise WatcherUnusable(str(error)) from error
    if feed.age > MAX_AGE_SECONDS:
        raise WatcherUnusable(f'the copy is {feed.age:.1f} s old')
    return feed
