"""Hold leases on shards of duties, using the store and peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.leases import lease_manager as manager_module
from yuccarill.core.leases import operations
from yuccarill.core.leases import policy as policy_module
from yuccarill.core.leases import shards
from yuccarill.core.leases import table as table_module
from yuccarill.core.leases.table import Holder
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    import random
    from typing import Any

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SessionId
    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter
    from yuccarill.daemon.controllers import dissemination as spreading
    from yuccarill.daemon.controllers.membership import MembershipController
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('leases')

TICK_SECONDS = 0.25
# How long a starting instance waits to discover peers before it acquires
# shards as the only instance.
DISCOVERY_SECONDS = 2.0
PEER_SECONDS = 1.0
# How long an invited instance keeps a session open for transferred shards.
INVITE_SECONDS = 10.0
RELEASE_SECONDS = 6.0
POLL_SECONDS = 0.02


def boot_seconds() -> Instant:
    """Return seconds of a clock that includes suspended time."""
    # The monotonic clock stops during suspension: after resuming, a lease
    # would seem valid although a successor has taken over.
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


class LeaseController:
    """Acquire, renew and transfer leases and look up their holders."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        membership: MembershipController,
        key_value: KeyValueAdapter,
        dissemination: spreading.DisseminationController,
        peers: Peers,
        generator: random.Random,
        clock: Any,
        now: Callable[[], Instant] = boot_seconds,
        policy: policy_module.LeasePolicy | None = None,
    ) -> None:
        self._blackboard = blackboard
        self._membership = membership
        self._key_value = key_value
        self._dissemination = dissemination
        self._peers = peers
        self._clock = clock
        self._now = now
        self._is_store_failing = False
        self._discovery_until = Instant(now() + DISCOVERY_SECONDS)
        # Returns the duties whose shards stay here while work is in progress.
        # A graceful shutdown transfers all shards.
        self.active_duties: Callable[[], list[str]] = list
        self._leases = manager_module.LeaseManager(
            blackboard.own_instance.id,
            incarnation,
            policy or policy_module.LeasePolicy(),
            generator,
        )

    def epoch_for(self, duty: str) -> Epoch | None:
        """Return the epoch for an order sent right now, or None.

        Call right before each order: the result is valid only for the
        current iteration of the event loop.
        """
        return self._leases.epoch_of(shards.shard_of(duty), self._now())

    def holder_of(self, duty: str) -> Instance | None:
        """Return the instance known to hold a duty, or None."""
        holder = self._leases.holder_of(shards.shard_of(duty))
        if holder == self._blackboard.own_instance.id:
            return self._blackboard.own_instance
        if holder is None:
            return None
        return self._blackboard.instances_by_id.get(holder)

    def held(self) -> list[ShardNumber]:
        """Return the shards with a valid lease of this instance."""
        now = self._now()
        return [
            shard
            for shard in self._leases.held()
            if self._leases.epoch_of(shard, now) is not None
        ]

    async def follow(self) -> None:
        """Maintain leases until the process ends."""
        key = table_module.TABLE_KEY
        self._dissemination.subscribe(key, self._handle_record)
        defer.ensureDeferred(self._dissemination.watch(key)).addErrback(
            self._log_failure
        )
        while True:
            self.tick()
            await self._sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Start all store and peer calls that are due."""
        now = self._now()
        live = [instance.id for instance in self._membership.live()]
        if not live and now < self._discovery_until:
            return
        self._leases.set_live(live)
        if self._blackboard.is_leaving:
            self._leases.begin_leaving()
        for operation in self._leases.next_operations(now):
            self._spawn(self._run(operation))
        for wanted in self._leases.due_transfer_requests(now):
            self._spawn(self._request(wanted))

    async def handle(
        self, body: messages.LeaseAsk | messages.LeaseInvite
    ) -> messages.Body:
        """Answer a peer's request for shards or for a session."""
        match body:
            case messages.LeaseInvite():
                return messages.LeaseSession(
                    session=await self._open_session()
                )
            case messages.LeaseAsk():
                return await self._transfer(body)

    async def release_all(self) -> None:
        """Transfer all shards and close the session, on graceful shutdown."""
        successors_by_shard = self._leases.next_holders()
        log.info('Shard transfer started.', shards=len(successors_by_shard))
        sessions_by_id = await self._invite(set(successors_by_shard.values()))
        self._leases.transfer(
            {
                shard: sessions_by_id.get(successor) if successor else None
                for shard, successor in successors_by_shard.items()
            }
        )
        deadline = self._now() + RELEASE_SECONDS
        while self._now() < deadline and not self._leases.close():
            self.tick()
            await self._sleep(POLL_SECONDS)
        log.info('Shard transfer finished.', left=len(self._leases.held()))

    async def _run(self, operation: operations.Operation) -> None:
        version = self._leases.table.version
        outcome = await self._call_store(operation)
        if not isinstance(outcome, operations.Unknown):
            self._is_store_failing = False
        self._leases.complete(operation, outcome, self._now())
        if self._leases.table.version > version:
            self._publish()
        self.tick()

    async def _call_store(
        self, operation: operations.Operation
    ) -> operations.Outcome:
        try:
            if operation.value is None:
                entry = await self._key_value.get(operation.key)
                return operations.Found(entry.version, entry.value)
            return operations.Written(
                await self._key_value.swap(
                    operation.key, operation.value, operation.expected
                )
            )
        except errors.StoreConflict:
            return operations.Conflict()
        except Exception as error:
            # Any failure counts as an unknown outcome: an operation that never
            # completes would block later ones, and the session would expire.
            self._log_store_error(operation, error)
            return operations.Unknown()

    def _log_store_error(
        self, operation: operations.Operation, error: Exception
    ) -> None:
        # Logs only the first failure of an outage.
        if not self._is_store_failing:
            log.warning(
                'Outcome of a store call is unknown; retrying.',
                step=operation.step.value,
                cause=str(error),
            )
        self._is_store_failing = True

    async def _request(self, wanted: manager_module.TransferRequest) -> None:
        holder = self._blackboard.instances_by_id.get(wanted.holder)
        if holder is None:
            return
        request = messages.LeaseAsk(
            instance=self._blackboard.own_instance.id,
            session=wanted.session,
            shards=wanted.shards,
        )
        try:
            reply = await self._peers.request(holder, request, PEER_SECONDS)
        except errors.YuccarillError as error:
            log.debug(
                'Shard transfer request failed.',
                by=wanted.holder,
                cause=error.message,
            )
            return
        for record in reply.records:
            self._dissemination.receive(record)

    async def _transfer(self, wanted: messages.LeaseAsk) -> messages.Body:
        busy = frozenset(map(shards.shard_of, self.active_duties()))
        given = self._leases.transfer_requested(
            Holder(wanted.instance, wanted.session), wanted.shards, busy
        )
        deadline = self._now() + PEER_SECONDS / 2
        while self._now() < deadline and set(given) & set(self._leases.held()):
            self.tick()
            await self._sleep(POLL_SECONDS)
        return messages.RecordOffer(records=(self._record(),))

    async def _open_session(self) -> SessionId | None:
        deadline = self._now() + PEER_SECONDS / 2
        self._leases.keep_session_open(Instant(self._now() + INVITE_SECONDS))
        while self._now() < deadline:
            self.tick()
            session = self._leases.usable_session(self._now())
            if session is not None:
                return session
            await self._sleep(POLL_SECONDS)
        return None

    async def _invite(
        self, successors: set[InstanceId | None]
    ) -> dict[InstanceId, Holder]:
        instances = [
            instance
            for instance in self._membership.live()
            if instance.id in successors
        ]
        found = await defer.gatherResults(
            [defer.ensureDeferred(self._invite_one(i)) for i in instances]
        )
        return {holder.instance: holder for holder in found if holder}

    async def _invite_one(self, successor: Instance) -> Holder | None:
        try:
            reply = await self._peers.request(
                successor, messages.LeaseInvite(), PEER_SECONDS
            )
        except errors.YuccarillError as error:
            log.warning(
                'Invitation to a shard transfer failed.',
                instance=successor.id,
                cause=error.message,
            )
            return None
        if reply.session is None:
            return None
        return Holder(successor.id, reply.session)

    def _publish(self) -> None:
        self._dissemination.publish(self._record())

    def _record(self) -> Record:
        table = self._leases.table
        return Record(
            table_module.TABLE_KEY,
            table.version,
            table_module.encode(table.table),
        )

    def _handle_record(self, record: Record) -> None:
        self._leases.offer_table(record.version, record.body)

    def _spawn(self, work: Any) -> None:
        defer.ensureDeferred(work).addErrback(self._log_failure)

    def _log_failure(self, failure: object) -> None:
        log.error('Lease task failed.', cause=str(failure)[:500])

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, seconds, lambda: None)
