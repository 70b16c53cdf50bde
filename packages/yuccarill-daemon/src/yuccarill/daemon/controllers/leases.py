"""Hold leases on shards of duties, by calls to the store and to peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.dissemination.record import Record
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.leases import lease_manager as keeper_module
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
# For how long a new instance waits to learn of others before it takes
# shards as if there were none.
ALONE_SECONDS = 2.0
PEER_SECONDS = 1.0
# For how long an invited instance keeps a session for what it is given.
INVITED_SECONDS = 10.0
RELEASE_SECONDS = 6.0
SHORT_SECONDS = 0.02


def boot_seconds() -> Instant:
    """Return seconds of a clock that runs on while the machine sleeps."""
    # The monotonic clock stands still while a machine is suspended. Its
    # lease would seem unspent on waking, after a successor has begun.
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))


class LeaseController:
    """Tell which duties this instance may act on and who holds others."""

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
        self._alone_until = Instant(now() + ALONE_SECONDS)
        # Duties whose shard stays while they are in the middle of work;
        # set by those who do the work. A graceful shutdown gives all.
        self.busy_duties: Callable[[], list[str]] = list
        self._keeper = keeper_module.LeaseManager(
            blackboard.own_instance.id,
            incarnation,
            policy or policy_module.LeasePolicy(),
            generator,
        )

    def epoch_for(self, duty: str) -> Epoch | None:
        """Return the epoch for an order sent right now, or none.

        Ask right before each order; the answer holds for this turn of the
        loop only.
        """
        return self._keeper.epoch_of(shards.shard_of(duty), self._now())

    def holder_of(self, duty: str) -> Instance | None:
        """Return the instance that holds a duty, as far as known here."""
        holder = self._keeper.holder_of(shards.shard_of(duty))
        if holder == self._blackboard.own_instance.id:
            return self._blackboard.own_instance
        if holder is None:
            return None
        return self._blackboard.instances_by_id.get(holder)

    def held(self) -> list[ShardNumber]:
        """Return the shards that this instance may act on right now."""
        now = self._now()
        return [
            shard
            for shard in self._keeper.held()
            if self._keeper.epoch_of(shard, now) is not None
        ]

    async def follow(self) -> None:
        """Keep leases until the process ends."""
        key = table_module.TABLE_KEY
        self._dissemination.subscribe(key, self._take_record)
        defer.ensureDeferred(self._dissemination.watch(key)).addErrback(
            self._broken
        )
        while True:
            self.tick()
            await self._sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Begin all calls that are due."""
        now = self._now()
        live = [instance.id for instance in self._membership.live()]
        if not live and now < self._alone_until:
            return
        self._keeper.set_live(live)
        if self._blackboard.is_leaving:
            self._keeper.begin_leaving()
        for operation in self._keeper.next_operations(now):
            self._spawn(self._run(operation))
        for ask in self._keeper.due_transfer_requests(now):
            self._spawn(self._ask(ask))

    async def handle(
        self, body: messages.LeaseAsk | messages.LeaseInvite
    ) -> messages.Body:
        """Answer a peer."""
        match body:
            case messages.LeaseInvite():
                return messages.LeaseSession(session=await self._session())
            case messages.LeaseAsk():
                return await self._give(body)

    async def release_all(self) -> None:
        """Hand all shards over and end the session, on a graceful stop."""
        heirs_by_shard = self._keeper.next_holders()
        log.info('Handing shards over.', shards=len(heirs_by_shard))
        sessions_by_id = await self._invite(set(heirs_by_shard.values()))
        self._keeper.transfer(
            {
                shard: sessions_by_id.get(heir) if heir else None
                for shard, heir in heirs_by_shard.items()
            }
        )
        deadline = self._now() + RELEASE_SECONDS
        while self._now() < deadline and not self._keeper.close():
            self.tick()
            await self._sleep(SHORT_SECONDS)
        log.info('Shards handed over.', left=len(self._keeper.held()))

    async def _run(self, operation: operations.Operation) -> None:
        version = self._keeper.table.version
        outcome = await self._call(operation)
        if not isinstance(outcome, operations.Unknown):
            self._is_store_failing = False
        self._keeper.complete(operation, outcome, self._now())
        if self._keeper.table.version > version:
            self._publish()
        self.tick()

    async def _call(
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
            # A call that never completed would keep its lane for good, and
            # the session would lapse: any failure counts as not known.
            self._note_failure(operation, error)
            return operations.Unknown()

    def _note_failure(
        self, operation: operations.Operation, error: Exception
    ) -> None:
        # Calls are tried again several times a second in an outage.
        if not self._is_store_failing:
            log.warning(
                'Store call not known to have worked; trying on.',
                step=operation.step.value,
                cause=str(error),
            )
        self._is_store_failing = True

    async def _ask(self, ask: keeper_module.TransferRequest) -> None:
        holder = self._blackboard.instances_by_id.get(ask.holder)
        if holder is None:
            return
        request = messages.LeaseAsk(
            instance=self._blackboard.own_instance.id,
            session=ask.session,
            shards=ask.shards,
        )
        try:
            reply = await self._peers.request(holder, request, PEER_SECONDS)
        except errors.YuccarillError as error:
            log.debug('Shards not given.', by=ask.holder, cause=error.message)
            return
        for record in reply.records:
            self._dissemination.receive(record)

    async def _give(self, ask: messages.LeaseAsk) -> messages.Body:
        busy = frozenset(map(shards.shard_of, self.busy_duties()))
        given = self._keeper.transfer_requested(
            Holder(ask.instance, ask.session), ask.shards, busy
        )
        deadline = self._now() + PEER_SECONDS / 2
        while self._now() < deadline and set(given) & set(self._keeper.held()):
            self.tick()
            await self._sleep(SHORT_SECONDS)
        return messages.RecordOffer(records=(self._record(),))

    async def _session(self) -> SessionId | None:
        deadline = self._now() + PEER_SECONDS / 2
        self._keeper.keep_session_open(Instant(self._now() + INVITED_SECONDS))
        while self._now() < deadline:
            self.tick()
            session = self._keeper.usable_session(self._now())
            if session is not None:
                return session
            await self._sleep(SHORT_SECONDS)
        return None

    async def _invite(
        self, heirs: set[InstanceId | None]
    ) -> dict[InstanceId, Holder]:
        instances = [
            instance
            for instance in self._membership.live()
            if instance.id in heirs
        ]
        found = await defer.gatherResults(
            [defer.ensureDeferred(self._invite_one(i)) for i in instances]
        )
        return {holder.instance: holder for holder in found if holder}

    async def _invite_one(self, heir: Instance) -> Holder | None:
        try:
            reply = await self._peers.request(
                heir, messages.LeaseInvite(), PEER_SECONDS
            )
        except errors.YuccarillError as error:
            log.warning('No heir.', instance=heir.id, cause=error.message)
            return None
        if reply.session is None:
            return None
        return Holder(heir.id, reply.session)

    def _publish(self) -> None:
        self._dissemination.publish(self._record())

    def _record(self) -> Record:
        tables = self._keeper.table
        return Record(
            table_module.TABLE_KEY,
            tables.version,
            table_module.encode(tables.table),
        )

    def _take_record(self, record: Record) -> None:
        self._keeper.offer_table(record.version, record.body)

    def _spawn(self, work: Any) -> None:
        defer.ensureDeferred(work).addErrback(self._broken)

    def _broken(self, failure: object) -> None:
        log.error('A lease call failed.', cause=str(failure)[:500])

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._clock, seconds, lambda: None)
