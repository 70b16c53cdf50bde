"""Test how a follower keeps its copy of the store's keys."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
from twisted.internet import defer

from yuccarill.daemon.gateway.store import follower
from yuccarill.platform import store as store_module

from . import memory_store
from . import world


def _page_with_stale_entry(read_page: Any, entry: store_module.Entry) -> Any:
    """Return a `page` method whose stale pages still have an entry."""

    async def page(
        prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store_module.Page:
        found = await read_page(prefix, after, is_stale)
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

    def recorded(self) -> list[str]:
        return [
            ('-' if isinstance(c, store_module.Removal) else '+') + c.key
            for c in self.changes
        ]

    def test_reads_then_reports_each_change(self) -> None:
        self.keys.put('p/a', b'1')
        self.keys.put('other', b'1')
        self.follow(self.store())
        self.run_for(0.1)
        self.keys.put('p/b', b'1')
        self.keys.remove('p/a')
        self.run_for(0.1)
        self.assertEqual(['+p/a', '+p/b', '-p/a'], self.recorded())

    def test_a_stalled_watch_is_detected(self) -> None:
        """Guard against a lost watch on a connection that stays open."""
        store = self.store()
        store.ignores_watches = True
        self.follow(store)
        self.run_for(0.1)
        self.keys.put('p/a', b'1')
        self.run_for(2 * follower.CHECK_SECONDS + 0.1)
        self.assertEqual(['+p/a'], self.recorded())

    def test_a_missed_removal_is_detected(self) -> None:
        store = self.store()
        store.ignores_watches = True
        self.keys.put('p/a', b'1')
        self.follow(store)
        self.run_for(0.1)
        self.keys.remove('p/a')
        self.run_for(3 * follower.CHECK_SECONDS + 0.1)
        self.assertEqual(['+p/a', '-p/a'], self.recorded())

    def test_keys_are_read_again_if_history_is_dropped(self) -> None:
        # The store drops its history during a watch, after a change and a
        # removal that the watch did not report.
        self.keys.put('p/a', b'1')
        self.follow(self.store())
        self.run_for(0.1)
        del self.keys.entries_by_key['p/a']
        self.keys.revision += 1
        self.keys.drop_history()
        self.keys.put('p/b', b'1')
        self.run_for(0.2)
        self.assertEqual({'+p/a', '+p/b', '-p/a'}, set(self.recorded()))

    def test_nothing_is_lost_during_an_outage(self) -> None:
        store = self.store()
        self.follow(store)
        self.run_for(0.1)
        store.rejects_calls = True
        self.run_for(20.0)
        self.keys.put('p/a', b'1')
        store.rejects_calls = False
        self.run_for(1.0)
        self.assertEqual(['+p/a'], self.recorded())

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
        """Guard against repeated reads if a check runs between two watches."""
        store = self.store()
        found = follower.PrefixFollower(
            store, 'p/', lambda _: None, self.clock, batch_seconds=0.9
        )
        following = defer.Deferred.fromCoroutine(found.follow())
        following.addErrback(lambda failure: failure.trap(Exception))
        self.addCleanup(following.cancel)
        for number in range(300):
            self.keys.put(f'p/{number % 7}', b'%d' % number)
            self.run_for(0.1)
        self.assertEqual(0, store.calls.count('page'))
        self.assertLess(store.calls.count('watch'), 36)

    def test_a_stale_page_restores_no_removed_key(self) -> None:
        """Guard against a stale page that still has a removed key."""
        self.keys.put('p/a', b'1')
        store = self.store()
        self.follow(store)
        self.run_for(0.1)
        old = self.keys.entries_by_key['p/a']
        self.keys.remove('p/a')
        self.run_for(0.1)
        with mock.patch.object(
            store, 'page', wraps=_page_with_stale_entry(store.page, old)
        ):
            self.run_for(3 * follower.CHECK_SECONDS)
        self.assertEqual(['+p/a', '-p/a'], self.recorded())
        self.assertEqual(0, store.calls.count('page'))

    def test_a_refresh_reads_a_change_dropped_from_the_history(self) -> None:
        """Guard against a change that no watch can report after a refresh.

        The store drops its history after the watch passed that revision.
        """
        store = self.store()
        found = self.follow(store)
        self.run_for(0.1)
        self.keys.revision += 1
        self.keys._put(store_module.Write(key='p/a', value=b''))
        self.keys.history.clear()
        found._watch_revision = found._latest_revision = store_module.Revision(
            self.keys.revision
        )
        found.refresh()
        self.run_for(0.1)
        self.assertEqual(['+p/a'], self.recorded())


class CopyTest(FollowerTest):
    """Test how readers follow a copy of the store."""

    def test_changes_are_reported_to_readers(self) -> None:
        self.keys.put('p/a', b'1')
        found = self.follow(self.store())
        self.run_for(0.1)
        copied = found.copy()
        cursor = found.cursor
        self.assertEqual(['p/a'], [c.key for c in copied.changes])
        waiting = defer.Deferred.fromCoroutine(
            found.await_changes(cursor, 1.5)
        )
        self.run_for(0.1)
        self.keys.put('p/b', b'1')
        self.run_for(0.1)
        page = waiting.result
        self.assertEqual(['p/b'], [c.key for c in page.changes])
        self.assertGreater(page.revision, copied.revision)

    def test_a_reader_far_behind_has_to_copy_again(self) -> None:
        found = self.follow(self.store())
        self.run_for(0.1)
        cursor = found.cursor
        for _ in range(500):
            self.keys.put('p/a', b'1')
            self.run_for(0.01)
        page = self.finish(found.await_changes(cursor, 1.5))
        self.assertIsNone(page)

    def test_age_grows_during_an_outage(self) -> None:
        store = self.store()
        found = self.follow(store)
        self.run_for(3.0)
        self.assertLess(found.age(), 1.2)
        store.rejects_calls = True
        self.run_for(20.0)
        self.assertGreater(found.age(), 4.0)
