"""Test how a copy of the store's keys is kept."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
from twisted.internet import defer

from yuccarill.daemon.gateway.store import follower
from yuccarill.platform import store as store_module

from . import memory_store
from . import world


def _old_page(read: Any, entry: store_module.Entry) -> Any:
    """Read cheap pages that still have an entry."""

    async def page(
        prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store_module.Page:
        found = await read(prefix, after, is_stale)
        if not is_stale:
            return found
        return msgspec.structs.replace(found, changes=(*found.changes, entry))

    return page


class FollowerTest(world.WorldTest):
    def follow(
        self, store: memory_store.MemoryStore
    ) -> follower.PrefixFollower:
        self.changes: list[object] = []
        found = follower.PrefixFollower(
            store, 'p/', self.changes.append, self.clock
        )
        following = defer.Deferred.fromCoroutine(found.follow())
        following.addErrback(lambda failure: failure.trap(Exception))
        self.addCleanup(following.cancel)
        return found

    def heard(self) -> list[str]:
        return [
            ('-' if isinstance(c, store_module.Removal) else '+') + c.key
            for c in self.changes
        ]

    def test_reads_then_hears_of_each_change(self) -> None:
        self.keys.put('p/a', b'1')
        self.keys.put('other', b'1')
        self.follow(self.store())
        self.run_for(0.1)
        self.keys.put('p/b', b'1')
        self.keys.remove('p/a')
        self.run_for(0.1)
        self.assertEqual(['+p/a', '+p/b', '-p/a'], self.heard())

    def test_a_deaf_watch_is_found(self) -> None:
        """A configuration took 15 s to come to an instance.

        1. The store is silent when the watch is sent; the watch is lost.
        2. The store comes back; the connection is open all the while.
        3. A change is made that the watch never hears of.
        """
        store = self.store()
        store.is_deaf = True
        self.follow(store)
        self.run_for(0.1)
        self.keys.put('p/a', b'1')
        self.run_for(2 * follower.CHECK_SECONDS + 0.1)
        self.assertEqual(['+p/a'], self.heard())

    def test_a_removal_that_was_not_heard_is_found(self) -> None:
        store = self.store()
        store.is_deaf = True
        self.keys.put('p/a', b'1')
        self.follow(store)
        self.run_for(0.1)
        self.keys.remove('p/a')
        self.run_for(3 * follower.CHECK_SECONDS + 0.1)
        self.assertEqual(['+p/a', '-p/a'], self.heard())

    def test_lost_history_is_read_again(self) -> None:
        # The store drops its history in the middle of a watch, after a
        # change and a removal that were not told.
        self.keys.put('p/a', b'1')
        self.follow(self.store())
        self.run_for(0.1)
        del self.keys.entries_by_key['p/a']
        self.keys.revision += 1
        self.keys.forget_history()
        self.keys.put('p/b', b'1')
        self.run_for(0.2)
        self.assertEqual({'+p/a', '+p/b', '-p/a'}, set(self.heard()))

    def test_nothing_is_lost_while_the_store_is_away(self) -> None:
        store = self.store()
        self.follow(store)
        self.run_for(0.1)
        store.refuses = True
        self.run_for(20.0)
        self.keys.put('p/a', b'1')
        store.refuses = False
        self.run_for(1.0)
        self.assertEqual(['+p/a'], self.heard())

    def test_an_older_value_never_comes_after_a_newer_one(self) -> None:
        store = self.store()
        found = self.follow(store)
        self.run_for(0.1)
        for number in range(20):
            self.keys.put('p/a', b'%d' % number)
            if number % 3 == 0:
                found.refresh()
            self.run_for(0.02)
        values = [int(c.value) for c in self.changes]
        self.assertEqual(sorted(set(values)), values)
        self.assertEqual(19, values[-1])

    def test_a_busy_prefix_is_read_once(self) -> None:
        """Eleven watchers read all targets anew every 3 s, and paid for it.

        1. Engines' entries change all the time; a watch waits a moment
           before it is sent again, so that one call tells of several.
        2. A check in that moment finds what the next watch will tell.
        """
        store = self.store()
        found = follower.PrefixFollower(
            store, 'p/', lambda _: None, self.clock, settle_seconds=0.9
        )
        following = defer.Deferred.fromCoroutine(found.follow())
        following.addErrback(lambda failure: failure.trap(Exception))
        self.addCleanup(following.cancel)
        for number in range(300):
            self.keys.put(f'p/{number % 7}', b'%d' % number)
            self.run_for(0.1)
        self.assertEqual(0, store.calls.count('page'))
        self.assertLess(store.calls.count('watch'), 36)

    def test_an_old_page_brings_no_removed_key_back(self) -> None:
        """Watchers read everything anew after each instance that stopped.

        1. A key is removed; the watch tells.
        2. The next check's page is some seconds old, and still has it.
        """
        self.keys.put('p/a', b'1')
        store = self.store()
        self.follow(store)
        self.run_for(0.1)
        old = self.keys.entries_by_key['p/a']
        self.keys.remove('p/a')
        self.run_for(0.1)
        with mock.patch.object(
            store, 'page', wraps=_old_page(store.page, old)
        ):
            self.run_for(3 * follower.CHECK_SECONDS)
        self.assertEqual(['+p/a', '-p/a'], self.heard())
        self.assertEqual(0, store.calls.count('page'))

    def test_a_change_lost_with_the_history_is_read_after_a_loss(self) -> None:
        """Requests on a new route still got 404 4.7 s after its change.

        1. Watches hear nothing for a second, in which a change is made.
        2. A watch reaches the end of its time then: its answer holds no
           change, and a revision beyond the one that it did not tell.
        3. The history is dropped and the connections are cut. A watch from
           that revision on is not told that anything is missing; cheap
           reads are seconds old.
        """
        store = self.store()
        found = self.follow(store)
        self.run_for(0.1)
        self.keys.revision += 1
        self.keys._put(store_module.Write(key='p/a', value=b''))
        self.keys.history.clear()
        found._revision = found._known = store_module.Revision(
            self.keys.revision
        )
        found.refresh()
        self.run_for(0.1)
        self.assertEqual(['+p/a'], self.heard())


class CopyTest(FollowerTest):
    """Others may follow a copy as they follow the store."""

    def test_changes_are_told_to_followers(self) -> None:
        self.keys.put('p/a', b'1')
        found = self.follow(self.store())
        self.run_for(0.1)
        copied = found.copy()
        cursor = found.cursor
        self.assertEqual(['p/a'], [c.key for c in copied.changes])
        waiting = defer.Deferred.fromCoroutine(found.changes(cursor, 1.5))
        self.run_for(0.1)
        self.keys.put('p/b', b'1')
        self.run_for(0.1)
        page = waiting.result
        self.assertEqual(['p/b'], [c.key for c in page.changes])
        self.assertGreater(page.revision, copied.revision)

    def test_one_far_behind_has_to_copy_again(self) -> None:
        found = self.follow(self.store())
        self.run_for(0.1)
        cursor = found.cursor
        for _ in range(500):
            self.keys.put('p/a', b'1')
            self.run_for(0.01)
        page = self.finish(found.changes(cursor, 1.5))
        self.assertIsNone(page)

    def test_age_grows_while_the_store_is_away(self) -> None:
        store = self.store()
        found = self.follow(store)
        self.run_for(3.0)
        self.assertLess(found.age(), 1.2)
        store.refuses = True
        self.run_for(20.0)
        self.assertGreater(found.age(), 4.0)
