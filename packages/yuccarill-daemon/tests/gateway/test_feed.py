"""Test how readers follow the store through watchers."""

from __future__ import annotations

import dataclasses
from unittest import mock

from twisted.internet import defer

from yuccarill.core.ids import Instant
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon.adapters import small_server
from yuccarill.daemon.gateway.store import feed
from yuccarill.daemon.gateway.store import follower
from yuccarill.platform import store as store_module

from . import world

PREFIX = 'p/'


@dataclasses.dataclass
class WatcherConnections:
    """Deliver polls to watchers in memory."""

    servers_by_address: dict[str, feed.FeedServer]
    polls: int = 0

    async def exchange(
        self, address: str, request: object, deadline: Instant
    ) -> http_exchange.Reply:
        self.polls += 1
        server = self.servers_by_address.get(address)
        if server is None:
            raise http_exchange.NotConnected('connection refused')
        page = await server.handle(
            small_server.SmallRequest(method='GET', target=request.target)
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)


class FeedTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.connections = WatcherConnections({})
        self.watcher_store = self.store()
        self.watcher = self.follow(self.watcher_store, lambda _: None)
        for name in ('w', 'x'):
            server = feed.FeedServer({PREFIX: self.watcher})
            self.connections.servers_by_address[f'{name}:2'] = server
        self.own_store = self.store()
        self.reader_state = self.state('r')
        for name in ('w', 'x', 'r'):
            # The two instances with the most cores watch.
            cores = 0.1 if name == 'r' else 4.0
            world.list_instance(self.reader_state, name, cores)
        self.recorded: list[str] = []
        self.source = feed.FeedSource(
            self.reader_state, self.own_store, self.connections, self.clock
        )

    def follow(
        self, source: object, on_change: object
    ) -> follower.PrefixFollower:
        prefix_follower = follower.PrefixFollower(
            source, PREFIX, on_change, self.clock
        )
        following = defer.Deferred.fromCoroutine(prefix_follower.follow())
        following.addErrback(lambda failure: failure.trap(Exception))
        self.addCleanup(following.cancel)
        return prefix_follower

    def read(self) -> follower.PrefixFollower:
        return self.follow(self.source, self._record)

    def _record(self, change: object) -> None:
        sign = '-' if isinstance(change, store_module.Removal) else '+'
        self.recorded.append(sign + change.key)

    def test_changes_arrive_without_a_store_call(self) -> None:
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        self.keys.put('p/b', b'')
        self.keys.remove('p/a')
        self.run_for(0.2)
        self.assertEqual(['+p/a', '+p/b', '-p/a'], self.recorded)
        self.assertEqual([], self.own_store.calls)

    def test_many_changed_entries_are_not_copied_again(self) -> None:
        """Guard against a full copy when many entries change between polls."""
        for number in range(1500):
            self.keys.put(f'p/{number}', b'1')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        copied = len(self.recorded)
        changes = [
            store_module.Write(key=f'p/{number}', value=b'2')
            for number in range(1200)
        ]
        with mock.patch.object(
            follower.PrefixFollower,
            'copy',
            autospec=True,
            side_effect=AssertionError,
        ):
            self.keys.commit(changes, ())
            for number in range(200):
                self.keys.put(f'p/{number}', b'3')
            self.run_for(2.0)
        self.assertEqual(1500, copied)
        self.assertEqual(
            {f'+p/{number}' for number in range(1200)},
            set(self.recorded[copied:]),
        )

    def test_a_change_that_the_watcher_applied_late_is_reported(self) -> None:
        """Guard against readers that miss a change the watcher applied late.

        The reader has already seen a newer store revision by then.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        # Watches miss this change and report the next one.
        self.keys.revision += 1
        self.keys._put(store_module.Write(key='p/a', value=b''))
        change = self.keys.history.pop()
        self.keys.put('p/b', b'')
        self.run_for(0.3)
        self.assertEqual(['+p/b'], self.recorded)
        self.assertLess(change.revision, self.keys.revision)
        self.run_for(follower.CHECK_SECONDS + 0.5)
        self.assertEqual({'+p/a', '+p/b'}, set(self.recorded))

    def test_a_watcher_that_lost_the_store_is_abandoned(self) -> None:
        self.run_for(0.1)
        self.read()
        self.run_for(0.5)
        self.watcher_store.drops_calls = True
        self.run_for(feed.MAX_AGE_SECONDS + 4.0)
        self.keys.put('p/a', b'')
        self.run_for(1.0)
        self.assertEqual(['+p/a'], self.recorded)
        self.assertIn('watch', self.own_store.calls)

    def test_a_change_arrives_in_time_if_the_watcher_lost_the_store(
        self,
    ) -> None:
        """Guard against 404 for a new route after a watcher lost the store.

        An open poll has to end, although the copy is below the maximum age.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.9)
        self.watcher_store.rejects_calls = True
        # Ends the open watch.
        self.keys.put('other', b'')
        self.keys.drop_history()
        self.run_for(0.1)
        self.keys.put('p/a', b'')
        self.run_for(0.5)
        self.assertEqual(['+p/a'], self.recorded)

    def test_a_change_arrives_in_time_if_the_store_is_silent(self) -> None:
        """Guard against 404 for a new route after a watcher's check failed.

        The watcher's copy is still younger than the maximum age.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(follower.CHECK_SECONDS)
        self.watcher_store.drops_calls = True
        self.keys.put('p/a', b'')
        self.run_for(1.95)
        self.assertEqual(['+p/a'], self.recorded)

    def test_a_removal_is_found_when_the_watcher_changes(self) -> None:
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        self.connections.servers_by_address.clear()
        self.keys.remove('p/a')
        self.run_for(4.0)
        self.assertEqual(['+p/a', '-p/a'], self.recorded)

    def test_watchers_read_the_store(self) -> None:
        self.reader_state.instances_by_id.clear()
        self.read()
        self.run_for(feed.START_WAIT_SECONDS + feed.STARTING_RETRY_SECONDS)
        self.assertEqual(0, self.connections.polls)
        self.assertEqual('stale page', self.own_store.calls[0])
        self.assertEqual(1, self.own_store.calls.count('watch'))
        self.assertNotIn('page', self.own_store.calls)

    def test_a_fleet_that_starts_makes_few_watches(self) -> None:
        """Guard against starting instances that all select themselves."""
        instances = dict(self.reader_state.instances_by_id)
        self.reader_state.instances_by_id.clear()
        self.read()
        self.run_for(0.4)
        self.reader_state.instances_by_id.update(instances)
        self.keys.put('p/a', b'')
        self.run_for(feed.START_WAIT_SECONDS + 1.0)
        self.assertEqual(['+p/a'], self.recorded)
        self.assertNotIn('watch', self.own_store.calls)

    def test_a_key_removed_at_the_start_is_not_kept(self) -> None:
        # A starting watcher reads the keys before it watches them.
        self.reader_state.instances_by_id.clear()
        self.keys.put('p/a', b'')
        self.read()
        self.run_for(0.1)
        self.keys.remove('p/a')
        self.run_for(feed.START_WAIT_SECONDS + 1.0)
        self.assertEqual(['+p/a', '-p/a'], self.recorded)

    def test_readers_recover_through_their_watchers(self) -> None:
        """Guard against reads by every instance after a store outage."""
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        for store in (self.watcher_store, self.own_store):
            store.rejects_calls = True
        self.run_for(4.0)
        for store in (self.watcher_store, self.own_store):
            store.rejects_calls = False
        self.own_store.calls.clear()
        self.keys.put('p/late', b'')
        self.run_for(2.5)
        self.assertIn('+p/late', self.recorded)
        self.assertEqual([], self.own_store.calls)

    def test_one_of_several_watchers_that_fails_costs_no_call(self) -> None:
        """Guard against store calls while another watcher is available."""
        self.run_for(0.1)
        self.read()
        self.run_for(0.5)
        watcher = self.source._cursor_owner
        del self.connections.servers_by_address[f'{watcher}:2']
        self.run_for(2.0)
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.assertEqual(['+p/a'], self.recorded)
        self.assertEqual([], self.own_store.calls)

    def test_all_instances_start_at_once(self) -> None:
        """Guard against repeated reads if readers start before watchers."""
        self.watcher.is_current = False
        instances = dict(self.reader_state.instances_by_id)
        self.reader_state.instances_by_id.clear()
        self.keys.put('p/a', b'')
        self.read()
        # The first read shows which instances are watchers.
        self.reader_state.instances_by_id.update(instances)
        self.run_for(0.5)
        self.watcher.is_current = True
        self.run_for(3.0)
        self.keys.put('p/b', b'')
        self.run_for(0.1)
        self.assertEqual(['+p/a', '+p/b'], self.recorded)
        self.assertEqual(['stale page'], self.own_store.calls)

    def test_an_unreachable_store_is_read_cheaply(self) -> None:
        """Guard against billed watches by every reader in a store outage."""
        self.run_for(0.1)
        self.read()
        self.run_for(feed.START_WAIT_SECONDS)
        for store in (self.watcher_store, self.own_store):
            store.drops_calls = True
        self.run_for(4.0)
        self.assertNotIn('watch', self.own_store.calls[:2])
        self.assertNotIn('page', self.own_store.calls)

    def test_the_age_of_a_watchers_copy_counts(self) -> None:
        """Guard against a reader's age that ignores the age of the copy.

        Watchers answer from their copies until one of their calls fails.
        """
        self.run_for(0.1)
        reader = self.read()
        self.run_for(feed.START_WAIT_SECONDS + 2.0)
        for store in (self.watcher_store, self.own_store):
            store.drops_calls = True
        silent_at = self.clock.seconds()
        for _ in range(25):
            self.run_for(0.1)
            silent = self.clock.seconds() - silent_at
            self.assertGreaterEqual(reader.age() + 0.05, silent)
