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
# Waits between tries to fetch a document; they double up to the most.
CATCH_UP_SECONDS = 0.2
CATCH_UP_MOST_SECONDS = 2.0
FETCH_SECONDS = 0.8
PEERS_A_FETCH = 2
# Rounds of asking peers before an instance that is no watcher asks the
# platform.
PEER_ROUNDS = 3
PEERS_AT_START = 5


def _catch_up_wait(rounds: int) -> float:
    # A document that this program can't read stays one. Asking for it five
    # times a second, all instances would load the platform past its rate.
    return min(CATCH_UP_MOST_SECONDS, CATCH_UP_SECONDS * 2**rounds)


def to_record(head: Head) -> Record:
    """Return what instances pass on of a head."""
    body = head_module.encode(head_module.trim_for_peers(head))
    return Record(head_module.HEAD_KEY, head.revision, body)


def from_entry(_: str, entry: Entry) -> Record | None:
    """Make a record of the head's key, versioned by its revision."""
    if entry.is_absent:
        return None
    head = head_module.decode(entry.value)
    return to_record(head) if head.changes else None


class ConfigurationIntake:
    """Follow heads by deltas and fetch whole documents over gaps."""

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
        dissemination.subscribe(head_module.HEAD_KEY, self._take_record)

    async def start(self) -> None:
        """Ask the platform and peers until one of them has answered."""
        while self._blackboard.snapshot is None:
            loaded = await self._load()
            if loaded is not None:
                self._gate.record_platform_answer()
                if loaded.head.changes:
                    self._dissemination.publish(to_record(loaded.head))
                self._put_in_force()
                # Whatever is applied from now on comes as a record.
                return
            self._gate.record_peer_answers(await self._ask_peers())
            self._put_in_force()
            await self._sleep(RETRY_SECONDS)

    def document(
        self, asked: messages.ConfigurationFetch
    ) -> messages.ConfigurationDocument:
        """Return the configuration held, for a peer that lacks it."""
        held = self._follower.snapshot
        if held is None or held.revision <= asked.above:
            raise errors.NoConfiguration('No newer configuration is held.')
        return messages.ConfigurationDocument(
            change=msgspec.json.encode(held.change),
            inventory=reader.to_json(held.inventory),
        )

    def _take_record(self, record: Record) -> None:
        try:
            offered = self._follower.offer(head_module.decode(record.body))
        except msgspec.MsgspecError as error:
            log.error('Head not read.', cause=str(error))
            offered = follower.OfferOutcome.GAP
        self._put_in_force()
        if offered is follower.OfferOutcome.GAP and not self._is_catching_up:
            self._is_catching_up = True
            defer.ensureDeferred(self._catch_up())

    @property
    def _known(self) -> int:
        record = self._dissemination.newest(head_module.HEAD_KEY)
        return 0 if record is None else record.version

    def _put_in_force(self) -> None:
        held = self._follower.snapshot
        current = self._blackboard.snapshot
        if held is None or held is current:
            return
        if current is None and not self._gate.is_ready(
            held.revision, self._known
        ):
            return
        self._blackboard.snapshot = held
        log.info('Revision in force.', revision=held.revision)

    async def _catch_up(self) -> None:
        try:
            rounds = 0
            while self._follower.revision < self._known:
                is_found = await self._fetch_from_peers()
                # A change too large for a delta leaves everybody with a gap
                # at once. If all turned to the platform, it would answer
                # two calls an instance; the watchers fetch it for the rest.
                if not is_found and self._may_load(rounds):
                    await self._load()
                self._put_in_force()
                rounds += 1
                if self._follower.revision < self._known:
                    await self._sleep(_catch_up_wait(rounds))
        finally:
            self._is_catching_up = False

    def _may_load(self, rounds: int) -> bool:
        return self._dissemination.is_watcher or rounds >= PEER_ROUNDS

    async def _fetch_from_peers(self) -> bool:
        for peer in self._dissemination.sources()[:PEERS_A_FETCH]:
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
                log.debug('Not fetched.', peer=peer.id, cause=str(error))
                continue
            self._install(change, inventory)
            if self._follower.revision >= self._known:
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
        offered = self._follower.install(change, inventory)
        if offered is follower.OfferOutcome.GAP:
            log.error(
                'Document does not fit its digest; run one version of the '
                'program everywhere.',
                revision=change.revision,
            )

    async def _ask_peers(self) -> int:
        asked = self._dissemination.partners()[:PEERS_AT_START]
        results = await defer.DeferredList(
            [defer.ensureDeferred(self._ask(peer)) for peer in asked],
            consumeErrors=True,
        )
        return sum(answered for _, answered in results)

    async def _ask(self, peer: Instance) -> bool:
        try:
            await self._dissemination.exchange_with(peer)
        except errors.YuccarillError:
            return False
        return True

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, seconds, lambda: None)
