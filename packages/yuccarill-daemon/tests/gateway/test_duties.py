"""Test which instance holds a duty and when the holder may send orders."""

from __future__ import annotations

import dataclasses

from nose2.tools import params
from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.duty import duties
from yuccarill.daemon.gateway.duty import holder_calls
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import observer
from yuccarill.platform import keys

from . import memory_store
from . import world

PAUSE_SECONDS = 3.3 + duties.ORDER_WINDOW_SECONDS


@dataclasses.dataclass
class Instance:
    """Bundle the components of one instance."""

    state: state_module.GatewayState
    store: memory_store.MemoryStore
    duty: duties.Duty
    following: list[defer.Deferred]
    holders: holder_calls.HolderCalls
    is_dead: bool = False

    def kill(self) -> None:
        """Simulate a crash: cancel all work and silence the store."""
        for each in self.following:
            each.cancel()
        self.store.drops_calls = True
        self.is_dead = True


class Peers:
    """Deliver peer calls between the instances of a test."""

    def __init__(self, test: DutyTest) -> None:
        self._world = test

    async def call(
        self, peer: object, method: str, target: str, seconds: float
    ) -> bytes:
        await task.deferLater(self._world.clock, 0.001)
        asked = self._world.instances_by_name[peer.instance]
        if asked.is_dead:
            await task.deferLater(self._world.clock, seconds)
            raise peer_call.PeerFailed('no answer')
        request = small_server.SmallRequest(method=method, target=target)
        page = await asked.holders.handle(request)
        if page.status != 200:
            raise peer_call.PeerFailed(f'status {page.status}')
        return page.body


class DutyTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.instances_by_name: dict[str, Instance] = {}

    def start(self, name: str) -> Instance:
        store = self.store()
        state = self.state(name)
        state.is_current = False
        watching = observer.Observer(state, lambda: store, self.clock)
        for other in self.instances_by_name:
            world.list_instance(state, other)
            world.list_instance(self.instances_by_name[other].state, name)
        holders = holder_calls.HolderCalls(state, Peers(self))
        duty = duties.Duty(
            world.SERVICE,
            state,
            store,
            lambda: None,
            self.clock,
            holders=holders,
        )
        holders.on_duty_free = lambda _: duty.update()
        watching.add_listener(duty.update)
        following = [
            defer.ensureDeferred(work) for work in watching.follow_coroutines()
        ]
        for each in following:
            each.addErrback(lambda failure: failure.trap(Exception))
            self.addCleanup(each.cancel)
        # The store has no targets, so one is added directly.
        state.targets.put(world.engine('e1'))
        instance = Instance(state, store, duty, following, holders)
        self.instances_by_name[name] = instance
        return instance

    def holders(self, *instances: Instance) -> list[str]:
        return [
            str(each.state.settings.instance)
            for each in instances
            if each.duty.is_held()
        ]

    def test_only_one_of_two_instances_holds_the_duty(self) -> None:
        a, b = self.start('a'), self.start('b')
        self.run_for(1.0)
        self.assertEqual(1, len(self.holders(a, b)))

    def test_first_holder_may_order_immediately(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        self.assertTrue(a.duty.can_send_orders())

    def test_the_next_holder_waits_before_it_orders(self) -> None:
        """Orders of two holders in quick succession corrupt engine weights.

        A crashed holder's last order has no known time, so its successor
        waits for the whole handover pause.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.kill()
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual(['b'], self.holders(a, b))
        self.assertFalse(b.duty.can_send_orders())
        self.run_for(PAUSE_SECONDS)
        self.assertTrue(b.duty.can_send_orders())

    # The other instance and the last holder; each name ranks first once.
    @params(('a', 'b'), ('b', 'a'))
    def test_last_holder_reclaims_duty_after_leases_expired(
        self, first: str, second: str
    ) -> None:
        """A new holder would send no orders during the handover pause.

        The last holder is alive and reclaims its duty after the outage.
        """
        holder = self.start(second)
        self.run_for(1.0)
        other = self.start(first)
        self.run_for(1.0)
        instances = (holder, other)
        for each in instances:
            each.store.rejects_calls = True
        self.run_for(4.0)
        for each in instances:
            each.store.rejects_calls = False
        self.run_for(1.5)
        self.assertTrue(holder.duty.is_held())
        self.assertTrue(holder.duty.is_reacquired)
        self.assertTrue(holder.duty.can_send_orders())

    def test_a_partitioned_last_holder_is_replaced(self) -> None:
        # The last holder cannot reclaim the duty, so the other acquires it.
        a, b = self.start('a'), self.start('b')
        self.run_for(1.0)
        (name,) = self.holders(a, b)
        holder, other = (a, b) if name == 'a' else (b, a)
        holder.store.rejects_calls = True
        self.run_for(duties.LEASE_SECONDS + holder_calls.RECLAIM_SECONDS + 1.0)
        self.assertTrue(other.duty.is_held())

    def test_a_last_holder_that_is_leaving_is_not_waited_for(self) -> None:
        a, b = self.start('a'), self.start('b')
        self.run_for(1.0)
        (name,) = self.holders(a, b)
        holder, other = (a, b) if name == 'a' else (b, a)
        holder.state.is_leaving = True
        self.keys.remove(keys.duty(world.SERVICE))
        self.run_for(0.6)
        self.assertTrue(other.duty.is_held())

    def test_a_released_duty_is_acquired_soon(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        self.assertEqual(['b'], self.holders(a, b))
        # The first holder never sent an order.
        self.assertTrue(b.duty.can_send_orders())

    def test_a_restarted_holder_reacquires_its_duty(self) -> None:
        # A process restarts before its predecessor's lease expires. To an
        # engine, both are the same holder.
        a = self.start('a')
        self.run_for(1.0)
        a.kill()
        again = self.start('a')
        self.run_for(0.5)
        self.assertTrue(again.duty.can_send_orders())
        self.assertFalse(again.duty.is_reacquired)

    def test_a_holder_that_restarts_while_it_waits_waits_again(self) -> None:
        """A restart must not cut short the wait for another holder's order.

        The restarted process finds its own record as the last holder, which
        does not tell when the previous holder sent its last order.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.record_order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        self.assertEqual(['b'], self.holders(a, b))
        b.kill()
        again = self.start('b')
        while not again.duty.can_send_orders():
            self.run_for(0.01)
        gap = self.clock.seconds() - ordered_at
        self.assertGreaterEqual(gap, 3.0)
        self.assertLess(gap, 8.0)

    def test_recording_a_standby_keeps_the_wait(self) -> None:
        """Recording a standby must keep the remaining wait in the record.

        The holder records its standby during the wait, crashes and restarts.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.record_order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        b.duty.record_standby('c:2')
        self.run_for(0.2)
        b.kill()
        again = self.start('b')
        while not again.duty.can_send_orders():
            self.run_for(0.01)
        self.assertEqual('c:2', again.duty.last_standby_address)
        self.assertGreaterEqual(self.clock.seconds() - ordered_at, 3.0)

    def test_the_next_holder_knows_the_standby(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.duty.record_standby('c:2')
        self.run_for(0.2)
        a.kill()
        b = self.start('b')
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual(['b'], self.holders(a, b))
        self.assertEqual('c:2', b.duty.last_standby_address)

    def test_a_failed_record_of_a_standby_is_retried(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.rejects_calls = True
        a.duty.record_standby('c:2')
        self.run_for(0.2)
        a.store.rejects_calls = False
        self.run_for(0.5)
        a.duty.record_standby('c:2')
        self.run_for(0.2)
        a.kill()
        b = self.start('b')
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual('c:2', b.duty.last_standby_address)

    def test_an_unused_duty_keeps_the_wait_when_released(
        self,
    ) -> None:
        # a sends an order and releases the duty; b acquires and releases it
        # immediately; c must still wait for a's order.
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.record_order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        c = self.start('c')
        self.run_for(0.2)
        b.state.is_leaving = True
        self.finish(b.duty.release())
        while not c.duty.can_send_orders():
            self.run_for(0.01)
        gap = self.clock.seconds() - ordered_at
        self.assertGreaterEqual(gap, 3.0)
        self.assertLess(gap, 5.0)

    def test_a_holder_that_has_waited_restarts_at_once(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.kill()
        self.run_for(9.0)
        self.assertTrue(b.duty.can_send_orders())
        b.kill()
        again = self.start('b')
        self.run_for(0.5)
        self.assertTrue(again.duty.can_send_orders())

    def test_a_suspended_holder_does_not_order(self) -> None:
        """A lease must expire while the holder's machine is suspended.

        The monotonic clock stops during suspension.
        """
        a = self.start('a')
        self.run_for(1.0)
        self.suspended = 10.0
        self.assertFalse(a.duty.can_send_orders())
        self.assertFalse(a.duty.is_held())

    def test_a_deleted_key_is_detected(self) -> None:
        # The store deletes the holder's key and keeps its lease, so renewals
        # still succeed.
        a = self.start('a')
        self.run_for(1.0)
        epoch = a.duty.revision
        self.keys.remove(keys.duty(world.SERVICE))
        self.run_for(1.0)
        self.assertTrue(a.duty.is_held())
        self.assertNotEqual(epoch, a.duty.revision)
        self.assertTrue(a.duty.is_reacquired)

    def test_partitioned_holder_stops_ordering_before_successor(self) -> None:
        """Orders of a partitioned holder and its successor must not overlap.

        The store deletes the holder's key and stops answering the holder.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.store.drops_calls = True
        self.keys.remove(keys.duty(world.SERVICE))
        orders_by_name: dict[str, list[float]] = {'a': [], 'b': []}
        for _ in range(1000):
            self.run_for(0.01)
            for name, each in (('a', a), ('b', b)):
                if each.duty.can_send_orders():
                    orders_by_name[name].append(self.clock.seconds())
        gap = orders_by_name['b'][0] - orders_by_name['a'][-1]
        self.assertGreaterEqual(gap, 3.0)

    def test_a_hold_deleted_from_the_store_is_not_confirmed(self) -> None:
        """A superseded holder must neither answer readers nor send orders.

        The store deletes the holder's key and keeps its lease, and the
        holder's watch receives no event.
        """
        a = self.start('a')
        self.run_for(1.0)
        self.assertTrue(self.finish(a.duty.confirm(0.5)))
        a.kill()
        a.store.drops_calls = False
        self.keys.remove(keys.duty(world.SERVICE))
        self.run_for(0.6)
        self.assertTrue(a.duty.is_held())
        self.assertFalse(self.finish(a.duty.confirm(0.5)))
        self.assertFalse(a.duty.can_send_orders())

    def test_a_hold_is_not_confirmed_without_the_store(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.rejects_calls = True
        self.run_for(0.6)
        self.assertFalse(self.finish(a.duty.confirm(0.5)))

    def test_concurrent_confirmations_share_one_read(self) -> None:
        a = self.start('a')
        self.run_for(2.0)
        a.store.calls.clear()
        asking = [
            defer.Deferred.fromCoroutine(a.duty.confirm(0.5))
            for _ in range(10)
        ]
        self.run_for(0.1)
        self.assertTrue(all(each.result for each in asking))
        self.assertEqual(1, a.store.calls.count('get'))

    def test_duty_is_held_after_a_lost_reply(self) -> None:
        # The write succeeds but its reply is lost: the instance finds its own
        # entry and acquires the duty again under a new epoch.
        holder = self.start('a')
        holder.store.loses_replies = True
        self.run_for(0.5)
        holder.store.loses_replies = False
        self.run_for(3.0)
        self.assertTrue(holder.duty.can_send_orders())

    def test_duty_is_reacquired_after_a_long_outage(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.rejects_calls = True
        self.run_for(10.0)
        self.assertFalse(a.duty.is_held())
        a.store.rejects_calls = False
        self.run_for(1.5)
        self.assertTrue(a.duty.is_held())
        self.assertTrue(a.duty.is_reacquired)
