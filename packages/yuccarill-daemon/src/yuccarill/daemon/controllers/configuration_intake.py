"""Bring the newest configuration into force on this instance."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.config import documents
from yuccarill.core.config import follower
from yuccarill.core.config import head as head_module
from yuccarill.core.config import inventory as inventory_module
from yuccarill.core.config import reader
from yuccarill.core.config import startup_gate
from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.config.head import Head
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.adapters.key_value import Entry
    from yuccarill.daemon.controllers.decisions import DecisionRunner
    from yuccarill.daemon.controllers import dissemination as spreading
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('config')

RETRY_SECONDS = 0.5
# Delays between fetch attempts double from the minimum to the maximum.
CATCH_UP_MIN_SECONDS = 0.2
CATCH_UP_MAX_SECONDS = 2.0
FETCH_SECONDS = 0.8
PEERS_PER_FETCH = 2
# Fetch rounds after which an instance that is no watcher loads from the
# platform as well.
PEER_ONLY_ROUNDS = 3
PEERS_AT_START = 5


def _catch_up_delay(rounds: int) -> float:
    # Without backoff, a document that this program version can not read would
    # make all instances exceed the platform's rate limit.
    return min(CATCH_UP_MAX_SECONDS, CATCH_UP_MIN_SECONDS * 2**rounds)


def to_record(head: Head) -> Record:
    """Return the record by which instances disseminate a head."""
    body = head_module.encode(head_module.trim_for_peers(head))
    return Record(head_module.HEAD_KEY, head.revision, body)


def from_entry(_: str, entry: Entry) -> Record | None:
    """Return the head as a record, versioned by its revision."""
    if entry.is_absent:
        return None
    head = head_module.decode(entry.value)
    return to_record(head) if head.changes else None


class ConfigurationIntake:
    """Apply configuration deltas and fetch whole documents after gaps."""

    def __init__(
        self,
        blackboard: Blackboard,
        dissemination: spreading.DisseminationController,
        peers: Peers,
        runner: DecisionRunner,
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._dissemination = dissemination
        self._peers = peers
        self._runner = runner
        self._clock = clock
        self._follower = follower.Follower()
        self._gate = startup_gate.StartupGate()
        self._is_catching_up = False
        dissemination.subscribe(head_module.HEAD_KEY, self._handle_record)

    async def start(self) -> None:
        """Load the configuration from the platform or from peers."""
        while self._blackboard.snapshot is None:
            loaded = await self._load()
            if loaded is not None:
                self._gate.record_platform_answer()
                if loaded.head.changes:
                    self._dissemination.publish(to_record(loaded.head))
                self._put_in_force()
                # Later changes arrive as disseminated records.
                return
            self._gate.record_peer_answers(await self._poll_peers())
            self._put_in_force()
            await self._sleep(RETRY_SECONDS)

    def document(
        self, request: messages.ConfigurationFetch
    ) -> messages.ConfigurationDocument:
        """Return the configuration of this instance, for a peer."""
        held = self._follower.snapshot
        if held is None or held.revision <= request.above:
            raise errors.NoConfiguration('No newer configuration is known.')
        return messages.ConfigurationDocument(
            change=msgspec.json.encode(held.change),
            inventory=reader.to_json(held.inventory),
        )

    def _handle_record(self, record: Record) -> None:
        try:
            outcome = self._follower.offer(head_module.decode(record.body))
        except msgspec.MsgspecError as error:
            log.error('Configuration head is malformed.', cause=str(error))
            outcome = follower.OfferOutcome.GAP
        self._put_in_force()
        if outcome is follower.OfferOutcome.GAP and not self._is_catching_up:
            self._is_catching_up = True
            defer.ensureDeferred(self._catch_up())

    @property
    def _known_revision(self) -> int:
        record = self._dissemination.newest(head_module.HEAD_KEY)
        return 0 if record is None else record.version

    def _put_in_force(self) -> None:
        held = self._follower.snapshot
        current = self._blackboard.snapshot
        if held is None or held is current:
            return
        if current is None and not self._gate.is_ready(
            held.revision, self._known_revision
        ):
            return
        self._blackboard.snapshot = held
        log.info('Configuration in force.', revision=held.revision)

    async def _catch_up(self) -> None:
        try:
            rounds = 0
            while self._follower.revision < self._known_revision:
                is_found = await self._fetch_from_peers()
                # A change too large for a delta leaves a gap on all instances
                # at once. Only watchers load it from the platform at first, to
                # limit its load; the others fetch the document from peers.
                if not is_found and self._may_load(rounds):
                    await self._load()
                self._put_in_force()
                rounds += 1
                if self._follower.revision < self._known_revision:
                    await self._sleep(_catch_up_delay(rounds))
        finally:
            self._is_catching_up = False

    def _may_load(self, rounds: int) -> bool:
        return self._dissemination.is_watcher or rounds >= PEER_ONLY_ROUNDS

    async def _fetch_from_peers(self) -> bool:
        for peer in self._dissemination.sources()[:PEERS_PER_FETCH]:
            try:
                reply = await self._peers.request(
                    peer,
                    messages.ConfigurationFetch(above=self._follower.revision),
                    FETCH_SECONDS,
                )
                change = msgspec.json.decode(
                    reply.change, type=head_module.Change
                )
                inventory = reader.from_json(reply.inventory)
            except (errors.YuccarillError, msgspec.MsgspecError) as error:
                log.debug(
                    'Configuration fetch failed.',
                    peer=peer.id,
                    cause=str(error),
                )
                continue
            self._install(change, inventory)
            if self._follower.revision >= self._known_revision:
                return True
        return False

    async def _load(self) -> documents.LoadedConfiguration | None:
        try:
            loaded: documents.LoadedConfiguration = await self._runner.run(
                documents.load()
            )
        except (errors.YuccarillError, msgspec.MsgspecError) as error:
            log.warning('Configuration not loaded.', cause=str(error))
            return None
        if loaded.head.changes:
            self._install(loaded.head.changes[-1], loaded.inventory)
        return loaded

    def _install(
        self,
        change: head_module.Change,
        inventory: inventory_module.Inventory,
    ) -> None:
        outcome = self._follower.install(change, inventory)
        if outcome is follower.OfferOutcome.GAP:
            log.error(
                'Configuration does not match its digest; run the same '
                'program version on all instances.',
                revision=change.revision,
            )

    async def _poll_peers(self) -> int:
        peers = self._dissemination.partners()[:PEERS_AT_START]
        results = await defer.DeferredList(
            [defer.ensureDeferred(self._exchange(peer)) for peer in peers],
            consumeErrors=True,
        )
        return sum(answered for _, answered in results)

    async def _exchange(self, peer: Instance) -> bool:
        try:
            await self._dissemination.exchange_with(peer)
        except errors.YuccarillError:
            return False
        return True

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, seconds, lambda: None)
