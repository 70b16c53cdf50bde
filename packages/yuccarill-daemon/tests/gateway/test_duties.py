"""Test who holds a duty, and when its holder may order engines."""

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

PAUSE = 3.3 + duties.ORDER_WINDOW_SECONDS


@dataclasses.dataclass
class Instance:
    """Hold one instance's parts."""

    state: state_module.GatewayState
    store: memory_store.MemoryStore
    duty: duties.Duty
    following: list[defer.Deferred]
    holders: holder_calls.HolderCalls
    is_dead: bool = False

    def kill(self) -> None:
        """End the process: nothing of it goes on."""
        for each in self.following:
            each.cancel()
        self.store.is_silent = True
        self.is_dead = True


class Peers:
    """Carry questions between the instances of a test."""

    def __init__(self, found: DutyTest) -> None:
        self._world = found

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
        holders.on_asked = lambda _: duty.update()
        watching.listen(duty.update)
        following = [
            defer.ensureDeferred(work) for work in watching.following()
        ]
        for each in following:
            each.addErrback(lambda failure: failure.trap(Exception))
            self.addCleanup(each.cancel)
        # The list of targets is empty in the store.
        state.targets.put(world.engine('e1'))
        found = Instance(state, store, duty, following, holders)
        self.instances_by_name[name] = found
        return found

    def holders(self, *instances: Instance) -> list[str]:
        return [
            str(each.state.settings.instance)
            for each in instances
            if each.duty.is_held()
        ]

    def test_one_of_two_holds_it(self) -> None:
        a, b = self.start('a'), self.start('b')
        self.run_for(1.0)
        self.assertEqual(1, len(self.holders(a, b)))

    def test_first_holder_orders_at_once(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        self.assertTrue(a.duty.may_order())

    def test_the_next_holder_waits_before_it_orders(self) -> None:
        """Two holders that take turns at an engine break its weights.

        1. The holder dies; its lease ends 2.5 s later.
        2. Another one takes the duty, and can't know how long the first
           one went on.
        3. It orders only once the first one's last order is long past.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.kill()
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual(['b'], self.holders(a, b))
        self.assertFalse(b.duty.may_order())
        self.run_for(PAUSE)
        self.assertTrue(b.duty.may_order())

    # Whose place is the first among the candidates, and who is to have it.
    @params(('a', 'b'), ('b', 'a'))
    def test_leases_that_ran_out_while_the_store_was_away(
        self, first: str, second: str
    ) -> None:
        """No engine was ordered for 4.6 s after each such outage.

        1. The store is away, and lets all leases run out meanwhile.
        2. It is back: whoever comes first finds the duty free.
        3. The last holder lives, and goes on as if nothing had been.
        """
        holder = self.start(second)
        self.run_for(1.0)
        other = self.start(first)
        self.run_for(1.0)
        instances = (holder, other)
        for each in instances:
            each.store.refuses = True
        self.run_for(4.0)
        for each in instances:
            each.store.refuses = False
        self.run_for(1.5)
        self.assertTrue(holder.duty.is_held())
        self.assertTrue(holder.duty.is_continued)
        self.assertTrue(holder.duty.may_order())

    def test_a_last_holder_that_lives_and_is_cut_off(self) -> None:
        # It can't take the duty back: another one has it after a moment.
        a, b = self.start('a'), self.start('b')
        self.run_for(1.0)
        (name,) = self.holders(a, b)
        holder, other = (a, b) if name == 'a' else (b, a)
        holder.store.refuses = True
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

    def test_a_released_duty_passes_on_soon(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        self.assertEqual(['b'], self.holders(a, b))
        # The first one never ordered anything.
        self.assertTrue(b.duty.may_order())

    def test_a_restarted_holder_takes_its_own_back(self) -> None:
        # A killed process comes back on its machine before the lease of
        # the one before it ends. To an engine it is the same holder.
        a = self.start('a')
        self.run_for(1.0)
        a.kill()
        again = self.start('a')
        self.run_for(0.5)
        self.assertTrue(again.duty.may_order())
        self.assertFalse(again.duty.is_continued)

    def test_a_holder_that_restarts_while_it_waits_waits_again(self) -> None:
        """Two instances ordered one engine within 2.6 s.

        1. The first holder orders, and gives the duty back.
        2. The next one takes it, and has to wait for three seconds.
        3. It is killed, comes back, and finds itself the last holder: that
           says nothing of when the first one ordered.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        self.assertEqual(['b'], self.holders(a, b))
        b.kill()
        again = self.start('b')
        while not again.duty.may_order():
            self.run_for(0.01)
        gap = self.clock.seconds() - ordered_at
        self.assertGreaterEqual(gap, 3.0)
        self.assertLess(gap, 8.0)

    def test_naming_a_standby_shortens_no_wait(self) -> None:
        """A holder that names its standby while it waits is killed and back.

        The record that names the standby is the one that says how long the
        holder still has to wait.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        b.duty.name_standby('c:2')
        self.run_for(0.2)
        b.kill()
        again = self.start('b')
        while not again.duty.may_order():
            self.run_for(0.01)
        self.assertEqual('c:2', again.duty.last_standby)
        self.assertGreaterEqual(self.clock.seconds() - ordered_at, 3.0)

    def test_the_next_holder_knows_the_standby(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.duty.name_standby('c:2')
        self.run_for(0.2)
        a.kill()
        b = self.start('b')
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual(['b'], self.holders(a, b))
        self.assertEqual('c:2', b.duty.last_standby)

    def test_a_standby_that_could_not_be_named_is_named_again(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.refuses = True
        a.duty.name_standby('c:2')
        self.run_for(0.2)
        a.store.refuses = False
        self.run_for(0.5)
        a.duty.name_standby('c:2')
        self.run_for(0.2)
        a.kill()
        b = self.start('b')
        self.run_for(duties.LEASE_SECONDS + 1.0)
        self.assertEqual('c:2', b.duty.last_standby)

    def test_one_that_gives_back_what_it_never_used_passes_the_wait_on(
        self,
    ) -> None:
        # a orders and leaves; b takes the duty and leaves at once; c must
        # still wait for a's order.
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(0.5)
        a.duty.order()
        ordered_at = self.clock.seconds()
        a.state.is_leaving = True
        self.finish(a.duty.release())
        self.run_for(0.5)
        c = self.start('c')
        self.run_for(0.2)
        b.state.is_leaving = True
        self.finish(b.duty.release())
        while not c.duty.may_order():
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
        self.assertTrue(b.duty.may_order())
        b.kill()
        again = self.start('b')
        self.run_for(0.5)
        self.assertTrue(again.duty.may_order())

    def test_a_holder_that_stood_still_does_not_order(self) -> None:
        """A suspended holder wakes with a lease that looks fresh.

        1. The machine is suspended right after a renewal, for 10 s.
        2. The monotonic clock stood still with it.
        3. Meanwhile another instance has taken the duty.
        """
        a = self.start('a')
        self.run_for(1.0)
        self.suspended = 10.0
        self.assertFalse(a.duty.may_order())
        self.assertFalse(a.duty.is_held())

    def test_a_key_that_was_taken_away_is_noticed(self) -> None:
        # The store removes the holder's key and goes on with its lease; no
        # call of the holder shows it.
        a = self.start('a')
        self.run_for(1.0)
        epoch = a.duty.revision
        self.keys.remove(keys.duty(world.SERVICE))
        self.run_for(1.0)
        self.assertTrue(a.duty.is_held())
        self.assertNotEqual(epoch, a.duty.revision)
        self.assertTrue(a.duty.is_continued)

    def test_cut_off_holder_stops_ordering_before_the_next_one(self) -> None:
        """Both would order at a time if the cut were noticed late.

        1. The store takes the holder's key away and answers it no more.
        2. The other instance takes the duty at once.
        3. Wherever they are, their orders lie three seconds apart.
        """
        a = self.start('a')
        self.run_for(1.0)
        b = self.start('b')
        self.run_for(1.0)
        a.store.is_silent = True
        self.keys.remove(keys.duty(world.SERVICE))
        orders_by_name: dict[str, list[float]] = {'a': [], 'b': []}
        for _ in range(1000):
            self.run_for(0.01)
            for name, each in (('a', a), ('b', b)):
                if each.duty.may_order():
                    orders_by_name[name].append(self.clock.seconds())
        gap = orders_by_name['b'][0] - orders_by_name['a'][-1]
        self.assertGreaterEqual(gap, 3.0)

    def test_a_hold_that_the_store_forgot_is_not_confirmed(self) -> None:
        """A reader got fewer results than it had read before.

        1. The store takes the holder's key away; its lease goes on, and
           its watch hears nothing of it.
        2. Another instance takes the duty and lists more results.
        3. The first one may neither answer readers nor order engines.
        """
        a = self.start('a')
        self.run_for(1.0)
        self.assertTrue(self.finish(a.duty.confirm(0.5)))
        a.kill()
        a.store.is_silent = False
        self.keys.remove(keys.duty(world.SERVICE))
        self.run_for(0.6)
        self.assertTrue(a.duty.is_held())
        self.assertFalse(self.finish(a.duty.confirm(0.5)))
        self.assertFalse(a.duty.may_order())

    def test_a_hold_can_not_be_confirmed_without_the_store(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.refuses = True
        self.run_for(0.6)
        self.assertFalse(self.finish(a.duty.confirm(0.5)))

    def test_many_readers_cost_one_confirmation(self) -> None:
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

    def test_a_lost_reply_does_not_leave_the_duty_unheld(self) -> None:
        # The write took effect, its reply never came: the instance finds
        # its own entry and takes the duty back under a new epoch.
        store_faults = self.start('a')
        store_faults.store.loses_replies = True
        self.run_for(0.5)
        store_faults.store.loses_replies = False
        self.run_for(3.0)
        self.assertTrue(store_faults.duty.may_order())

    def test_the_store_away_for_long_returns_the_duty(self) -> None:
        a = self.start('a')
        self.run_for(1.0)
        a.store.refuses = True
        self.run_for(10.0)
        self.assertFalse(a.duty.is_held())
        a.store.refuses = False
        self.run_for(1.5)
        self.assertTrue(a.duty.is_held())
        self.assertTrue(a.duty.is_continued)
