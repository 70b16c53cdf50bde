"""Test how the store is followed through other instances."""

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
class Links:
    """Carry polls to watchers in memory."""

    servers_by_address: dict[str, feed.FeedServer]
    polls: int = 0

    async def exchange(
        self, address: str, request: object, deadline: Instant
    ) -> http_exchange.Reply:
        self.polls += 1
        server = self.servers_by_address.get(address)
        if server is None:
            raise http_exchange.NotConnected('nobody is there')
        page = await server.handle(
            small_server.SmallRequest(method='GET', target=request.target)
        )
        head = http_exchange.ReplyHead(status=page.status, headers=())
        return http_exchange.Reply(head=head, body=page.body)


class FeedTest(world.WorldTest):
    def setUp(self) -> None:
        super().setUp()
        self.links = Links({})
        self.watching = self.store()
        self.watcher = self.follow(self.watching, lambda _: None)
        for name in ('w', 'x'):
            server = feed.FeedServer({PREFIX: self.watcher})
            self.links.servers_by_address[f'{name}:2'] = server
        self.own = self.store()
        self.state_of_reader = self.state('r')
        for name in ('w', 'x', 'r'):
            # The two strongest instances watch.
            cores = 0.1 if name == 'r' else 4.0
            world.list_instance(self.state_of_reader, name, cores)
        self.heard: list[str] = []
        self.source = feed.FeedSource(
            self.state_of_reader, self.own, self.links, self.clock
        )

    def follow(
        self, source: object, on_change: object
    ) -> follower.PrefixFollower:
        found = follower.PrefixFollower(source, PREFIX, on_change, self.clock)
        following = defer.Deferred.fromCoroutine(found.follow())
        following.addErrback(lambda failure: failure.trap(Exception))
        self.addCleanup(following.cancel)
        return found

    def read(self) -> follower.PrefixFollower:
        return self.follow(self.source, self._note)

    def _note(self, change: object) -> None:
        sign = '-' if isinstance(change, store_module.Removal) else '+'
        self.heard.append(sign + change.key)

    def test_changes_come_without_a_call_of_the_store(self) -> None:
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        self.keys.put('p/b', b'')
        self.keys.remove('p/a')
        self.run_for(0.2)
        self.assertEqual(['+p/a', '+p/b', '-p/a'], self.heard)
        self.assertEqual([], self.own.calls)

    def test_a_whole_fleet_that_changes_is_not_read_anew(self) -> None:
        """Each instance copied 3,000 entries at each change of weights.

        1. All engines of a large fleet change their weights between two polls
           of a reader, some of them twice.
        2. The reader is told of each that changed once, and copies nothing.
        """
        for number in range(1500):
            self.keys.put(f'p/{number}', b'1')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        copied = len(self.heard)
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
            set(self.heard[copied:]),
        )

    def test_a_change_that_the_watcher_learnt_late_is_told(self) -> None:
        """Instances refused a new route for seconds after its change.

        1. The watcher's watch hears nothing of a change, while the store's
           revision goes on with others.
        2. The watcher's check finds the change, and it reads it.
        3. By the store's revision, the reader is beyond it already.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        # The change is withheld from watches, later ones are told.
        self.keys.revision += 1
        self.keys._put(store_module.Write(key='p/a', value=b''))
        change = self.keys.history.pop()
        self.keys.put('p/b', b'')
        self.run_for(0.3)
        self.assertEqual(['+p/b'], self.heard)
        self.assertLess(change.revision, self.keys.revision)
        self.run_for(follower.CHECK_SECONDS + 0.5)
        self.assertEqual({'+p/a', '+p/b'}, set(self.heard))

    def test_a_watcher_that_lost_the_store_is_left(self) -> None:
        self.run_for(0.1)
        self.read()
        self.run_for(0.5)
        self.watching.is_silent = True
        self.run_for(feed.MAX_AGE + 4.0)
        self.keys.put('p/a', b'')
        self.run_for(1.0)
        self.assertEqual(['+p/a'], self.heard)
        self.assertIn('watch', self.own.calls)

    def test_a_change_comes_in_time_though_the_watcher_lost_the_store(
        self,
    ) -> None:
        """Requests on a new route got 404 for over 2 s after its change.

        1. The watcher's link to the store breaks, or falls silent.
        2. The route is added; the reader's own link would tell of it.
        3. The reader's poll stays open, and the watcher's last word is
           still young enough to be believed, so it goes on waiting.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.9)
        self.watching.refuses = True
        # Ends the watch that is open.
        self.keys.put('other', b'')
        self.keys.forget_history()
        self.run_for(0.1)
        self.keys.put('p/a', b'')
        self.run_for(0.5)
        self.assertEqual(['+p/a'], self.heard)

    def test_a_change_comes_in_time_though_the_store_is_silent(self) -> None:
        """Requests on a new route got 404 for over 2 s after its change.

        1. The watcher's link to the store falls silent, just after a check.
        2. The route is added; the reader's own link would tell of it.
        3. The watcher's next check fails, but its last word is still young
           enough to be believed.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(follower.CHECK_SECONDS)
        self.watching.is_silent = True
        self.keys.put('p/a', b'')
        self.run_for(1.95)
        self.assertEqual(['+p/a'], self.heard)

    def test_a_removal_is_found_when_the_watcher_changes(self) -> None:
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        self.links.servers_by_address.clear()
        self.keys.remove('p/a')
        self.run_for(4.0)
        self.assertEqual(['+p/a', '-p/a'], self.heard)

    def test_watchers_ask_the_store(self) -> None:
        self.state_of_reader.instances_by_id.clear()
        self.read()
        self.run_for(feed.START_WAIT + feed.STARTING_SECONDS)
        self.assertEqual(0, self.links.polls)
        self.assertEqual('stale page', self.own.calls[0])
        self.assertEqual(1, self.own.calls.count('watch'))
        self.assertNotIn('page', self.own.calls)

    def test_a_fleet_that_starts_makes_few_watches(self) -> None:
        """Each of 60 instances watched the store itself for a moment.

        1. All start at once; none is listed yet, so each one knows itself
           only, and takes itself for a watcher.
        2. The others are listed before it watches anything.
        """
        names = dict(self.state_of_reader.instances_by_id)
        self.state_of_reader.instances_by_id.clear()
        self.read()
        self.run_for(0.4)
        self.state_of_reader.instances_by_id.update(names)
        self.keys.put('p/a', b'')
        self.run_for(feed.START_WAIT + 1.0)
        self.assertEqual(['+p/a'], self.heard)
        self.assertNotIn('watch', self.own.calls)

    def test_what_is_removed_at_the_start_is_not_kept(self) -> None:
        # A watcher that starts looks at the keys before it watches them.
        self.state_of_reader.instances_by_id.clear()
        self.keys.put('p/a', b'')
        self.read()
        self.run_for(0.1)
        self.keys.remove('p/a')
        self.run_for(feed.START_WAIT + 1.0)
        self.assertEqual(['+p/a', '-p/a'], self.heard)

    def test_readers_come_back_through_their_watchers(self) -> None:
        """Sixty instances read everything at once from a store just back.

        1. The store is away; watchers say so, and readers ask it in vain.
        2. It is back. Readers give their watchers a moment to hear it.
        3. They go on at a watcher, without a call of their own.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.1)
        for store in (self.watching, self.own):
            store.refuses = True
        self.run_for(4.0)
        for store in (self.watching, self.own):
            store.refuses = False
        self.own.calls.clear()
        self.keys.put('p/late', b'')
        self.run_for(2.5)
        self.assertIn('+p/late', self.heard)
        self.assertEqual([], self.own.calls)

    def test_one_of_several_watchers_that_fails_costs_no_call(self) -> None:
        """Each watcher left out made its readers read at the store.

        1. A reader follows one of two watchers.
        2. That one is gone; the other one is well.
        3. A change is made.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(0.5)
        followed = self.source._cursor_of
        del self.links.servers_by_address[f'{followed}:2']
        self.run_for(2.0)
        self.keys.put('p/a', b'')
        self.run_for(0.1)
        self.assertEqual(['+p/a'], self.heard)
        self.assertEqual([], self.own.calls)

    def test_all_start_at_once(self) -> None:
        """After a loss of all instances each one read everything itself.

        1. A reader starts before its watchers have read anything.
        2. It has read the keys once, and waits for a watcher to do so.
        """
        self.watcher.is_current = False
        names = dict(self.state_of_reader.instances_by_id)
        self.state_of_reader.instances_by_id.clear()
        self.keys.put('p/a', b'')
        self.read()
        # The first read tells which instances watch.
        self.state_of_reader.instances_by_id.update(names)
        self.run_for(0.5)
        self.watcher.is_current = True
        self.run_for(3.0)
        self.keys.put('p/b', b'')
        self.run_for(0.1)
        self.assertEqual(['+p/a', '+p/b'], self.heard)
        self.assertEqual(['stale page'], self.own.calls)

    def test_a_store_that_is_away_is_asked_cheaply(self) -> None:
        """Sixty instances made 682 paid watches on a day with one outage.

        1. The watchers lose the store, and say so to their readers.
        2. Each reader looks for itself: one cheap read shows that the store
           is away from it as well, and it waits.
        """
        self.run_for(0.1)
        self.read()
        self.run_for(feed.START_WAIT)
        for store in (self.watching, self.own):
            store.is_silent = True
        self.run_for(4.0)
        self.assertNotIn('watch', self.own.calls[:2])
        self.assertNotIn('page', self.own.calls)

    def test_a_watchers_old_word_is_old(self) -> None:
        """A standby waited 3.9 s for texts whose holder was lost.

        1. The store falls silent for all.
        2. The watchers go on answering polls from their copies until a call
           of their own has failed.
        3. The reader knows how long the store has not been heard.
        """
        self.run_for(0.1)
        reader = self.read()
        self.run_for(feed.START_WAIT + 2.0)
        for store in (self.watching, self.own):
            store.is_silent = True
        silent_at = self.clock.seconds()
        for _ in range(25):
            self.run_for(0.1)
            silent = self.clock.seconds() - silent_at
            self.assertGreaterEqual(reader.age() + 0.05, silent)
