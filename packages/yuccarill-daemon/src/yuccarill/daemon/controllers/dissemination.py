"""Disseminate versioned records from watchers to all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.dissemination import disseminator
from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    import random
    from typing import Any

    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.adapters.key_value import Entry
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.controllers.membership import MembershipController
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('dissemination')

RETRY_SECONDS = 0.5
# Interval between version exchanges; a lost record is recovered within three
# of them, even if the first partners do not answer.
EXCHANGE_MIN_SECONDS = 0.5
EXCHANGE_MAX_SECONDS = 1.0
SEND_SECONDS = 0.5
PARTNERS_PER_ROUND = 3


def from_entry(key: str, entry: Entry) -> Record | None:
    """Return a platform key's value as a record of the same version."""
    if entry.is_absent:
        return None
    return Record(key, entry.version, entry.value)


class DisseminationController:
    """Publish and forward records and notify their subscribers."""

    def __init__(
        self,
        me: Instance,
        membership: MembershipController,
        peers: Peers,
        key_value: KeyValueAdapter,
        generator: random.Random,
        clock: Any,
    ) -> None:
        self._peers = peers
        self._key_value = key_value
        self._generator = generator
        self._clock = clock
        self._callbacks_by_key: dict[str, list[Callable[[Record], None]]] = {}
        self._waiting_for_watch: list[defer.Deferred[None]] = []
        self._disseminator = disseminator.Disseminator(
            me, membership.live, generator
        )

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance watches keys for its data centre."""
        return self._disseminator.position.is_watcher

    def partners(self) -> list[Instance]:
        """Return the exchange partners in random order."""
        return self._disseminator.exchange_order()

    def sources(self) -> list[Instance]:
        """Return the peers to fetch a whole document from, best first."""
        return self._disseminator.fetch_order()

    def publish(self, record: Record) -> None:
        """Disseminate a record created by this instance."""
        self._forward(record, self._disseminator.publish(record))

    def subscribe(self, key: str, callback: Callable[[Record], None]) -> None:
        """Call back with a key's newest known record and each newer one."""
        self._callbacks_by_key.setdefault(key, []).append(callback)
        known = self._disseminator.records.get(key)
        if known is not None:
            callback(known)

    def newest(self, key: str) -> Record | None:
        """Return the newest known record of a key."""
        return self._disseminator.records.get(key)

    async def watch(
        self,
        key: str,
        to_record: Callable[[str, Entry], Record | None] = from_entry,
    ) -> None:
        """Watch a platform key whenever this instance is a watcher."""
        version = 0
        while True:
            await self._wait_until_watcher()
            try:
                entry = await self._key_value.watch(key, version)
            except errors.StoreUnavailable as error:
                log.warning('Key watch failed.', key=key, cause=error.message)
                await self._sleep(RETRY_SECONDS)
                continue
            version = entry.version
            try:
                record = to_record(key, entry)
            except ValueError as error:
                # A malformed value must not end the watch.
                log.error('Value is malformed.', key=key, cause=str(error))
                continue
            if record is not None:
                self.receive(record)

    async def follow(self) -> None:
        """Exchange versions with partners periodically."""
        while True:
            await self.exchange()
            self._start_watches()
            await self._sleep(
                self._generator.uniform(
                    EXCHANGE_MIN_SECONDS, EXCHANGE_MAX_SECONDS
                )
            )

    async def exchange(self) -> bool:
        """Exchange with one partner; return whether any answered."""
        for partner in self.partners()[:PARTNERS_PER_ROUND]:
            try:
                await self.exchange_with(partner)
                return True
            except errors.YuccarillError:
                # Asking the next partner only in the next round would exceed
                # the promised propagation time.
                continue
        return False

    async def exchange_with(self, partner: Instance) -> None:
        """Exchange newer records with a partner in both directions.

        Raises NotRun or PeerUnavailable.
        """
        records = self._disseminator.records
        reply = await self._peers.request(
            partner,
            messages.RecordExchange(versions_by_key=records.versions_by_key()),
            SEND_SECONDS,
        )
        for record in reply.records:
            self.receive(record)
        wanted = tuple(records.select(reply.wanted))
        if wanted:
            offer = messages.RecordOffer(records=wanted)
            await self._peers.request(partner, offer, SEND_SECONDS)

    def handle(
        self, body: messages.RecordOffer | messages.RecordExchange
    ) -> messages.Body:
        """Answer a peer's offer or exchange request."""
        match body:
            case messages.RecordOffer(records=records):
                for record in records:
                    self.receive(record)
                return messages.Done()
            case messages.RecordExchange(versions_by_key=versions_by_key):
                found = self._disseminator.records.compare(versions_by_key)
                return messages.RecordExchanged(
                    records=found.newer_here, wanted=found.newer_there
                )

    def receive(self, record: Record) -> None:
        """Store and forward a record if it is newer."""
        self._forward(record, self._disseminator.receive(record))

    def _forward(
        self, record: Record, receivers: list[Instance] | None
    ) -> None:
        if receivers is None:
            return
        for receiver in receivers:
            defer.ensureDeferred(self._send(receiver, record))
        for callback in self._callbacks_by_key.get(record.key, []):
            self._notify(callback, record)

    def _notify(
        self, callback: Callable[[Record], None], record: Record
    ) -> None:
        try:
            callback(record)
        except Exception as error:
            log.error(
                'Record callback failed.', key=record.key, cause=repr(error)
            )

    async def _send(self, receiver: Instance, record: Record) -> None:
        offer = messages.RecordOffer(records=(record,))
        try:
            await self._peers.request(receiver, offer, SEND_SECONDS)
        except Exception as error:
            # The record also arrives from another parent or an exchange.
            log.debug('Record not sent.', to=receiver.id, cause=repr(error))

    async def _wait_until_watcher(self) -> None:
        while not self.is_watcher:
            waiting: defer.Deferred[None] = defer.Deferred()
            self._waiting_for_watch.append(waiting)
            await waiting

    def _start_watches(self) -> None:
        if self.is_watcher:
            started, self._waiting_for_watch = self._waiting_for_watch, []
            for waiting in started:
                waiting.callback(None)

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, seconds, lambda: None)
