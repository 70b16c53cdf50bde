"""Follow the keys under one prefix of the store."""

from __future__ import annotations

import traceback
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Revision
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway.store import history
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Page
    from yuccarill.platform.store import Removal

log = logs.for_part('store')

# Timeout of one watch. Each answer is a billed call, so timeouts are long;
# the checks detect a watch that no longer receives changes.
WATCH_SECONDS = 15.0
# Seconds that a watch may lag behind a check, which uses another connection.
WATCH_DELAY_SECONDS = 0.2
# Maximum number of remembered removals; covers the age of a stale page even
# while all instances restart.
MAX_REMOVALS = 1000
# Seconds between checks for missed changes; a check costs a tenth of a read.
# Instances must apply a configuration within 2 s of its acknowledgement.
CHECK_SECONDS = 1.0
# Seconds before a retry; doubled after each failure up to the maximum.
FIRST_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 0.5


class Source(Protocol):
    """Read and watch keys; methods raise the errors of the store."""

    # Whether the last answer came from the store itself.
    @property
    def is_direct(self) -> bool: ...

    # Age in seconds of the data in the last answer when it arrived.
    @property
    def answer_age(self) -> float: ...

    async def page(
        self, prefix: str, after: str | None = None, is_stale: bool = False
    ) -> Page: ...

    async def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> Page: ...

    async def pause(self, seconds: float) -> None: ...


class PrefixFollower:
    """Keep a copy of the keys under a prefix and report each change."""

    def __init__(
        self,
        store: Source,
        prefix: str,
        on_change: Callable[[Entry | Removal], None],
        clock: Any,
        # Called after each full read and once per batch of changes.
        on_read: Callable[[], None] = lambda: None,
        batch_seconds: float = 0.0,
    ) -> None:
        self.is_current = False
        # Whether the next step reads every key instead of watching.
        self._must_read = True
        # Start revision of the next watch.
        self._watch_revision = Revision(0)
        self._latest_revision = Revision(0)
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_read = on_read
        self._batch_seconds = batch_seconds
        self._clock = clock
        self._history = history.History(clock)
        self._contacted_at = 0.0
        # Revisions by key that the last check found and the watch had not
        # reported. A key still unreported at the next check proves a stall.
        self._unseen: Mapping[str, Revision] = {}
        # Revisions of removals: a stale page that still has a removed key must
        # not restore it.
        self._removals_by_key: dict[str, Revision] = {}
        # Known keys that the last check did not find.
        self._missing_keys: set[str] = set()
        self._watching: defer.Deferred[None] | None = None
        self._pause_seconds = FIRST_PAUSE_SECONDS
        self._is_store_lost = False
        self._has_check_failed = False

    async def follow(self) -> None:
        """Read, then watch and check, until cancelled."""
        checking = defer.Deferred.fromCoroutine(
            background.keep_running(
                self._check_repeatedly, f'check {self._prefix}', self._clock
            )
        )
        checking.addErrback(lambda f: f.trap(defer.CancelledError))
        try:
            await background.keep_running(
                self._step_repeatedly, f'follow {self._prefix}', self._clock
            )
        finally:
            checking.cancel()

    async def _step_repeatedly(self) -> None:
        while True:
            await self._step()

    def apply(self, entry: Entry) -> None:
        """Apply an entry that was read outside this follower."""
        self._apply_change(entry)
        self._history.wake()
        self._on_read()

    def refresh(self) -> None:
        """Read every key again, unless a watcher's copy is followed.

        An open watch may have stalled; polls of a watcher are short.
        """
        if self._store.is_direct:
            self._schedule_read()

    def _schedule_read(self) -> None:
        self._must_read = True
        self._end_watch()

    def _end_watch(self) -> None:
        watching, self._watching = self._watching, None
        if watching is not None:
            watching.cancel()

    def age(self) -> float:
        """Return the seconds since the last contact with the store."""
        age: float = self._clock.seconds() - self._contacted_at
        return age

    @property
    def is_store_reached(self) -> bool:
        """Return whether the store answered the last call."""
        return not (self._is_store_lost or self._has_check_failed)

    def copy(self) -> Page:
        """Return every entry, for readers that follow this copy."""
        return store_module.Page(
            changes=tuple(self._history.entries_by_key.values()),
            revision=self._latest_revision,
        )

    @property
    def cursor(self) -> str:
        """Return the position from which a reader continues after `copy`."""
        return self._history.cursor

    async def await_changes(self, cursor: str, seconds: float) -> Page | None:
        """Wait for changes after a cursor; None if any were dropped."""
        found = self._history.changes_since(cursor)
        if found == []:
            await self._history.wait(seconds)
            found = self._history.changes_since(cursor)
        if found is None:
            return None
        return store_module.Page(
            changes=tuple(found), revision=self._latest_revision
        )

    async def _step(self) -> None:
        try:
            if self._must_read:
                await self._read()
            else:
                await self._watch()
            self._mark_reached()
        except store_module.HistoryGone:
            log.info('Changes missing; reading all keys.', prefix=self._prefix)
            self._must_read = True
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            await self._pause_after_failure(error)

    async def _read(self) -> None:
        # Cleared before the read, so that a refresh during it is not lost.
        self._must_read = False
        try:
            await self._read_pages()
        except BaseException:
            self._must_read = True
            raise

    async def _read_pages(self) -> None:
        first: Revision | None = None
        after: str | None = None
        seen: set[str] = set()
        has_more = True
        # The first read is a stale one, at a tenth of the cost: the watch
        # that follows reports newer changes at once.
        is_stale = not self.is_current
        while has_more:
            page = await self._store.page(self._prefix, after, is_stale)
            # Pages are not one snapshot: the watch starts at the first page's
            # revision and so includes changes made between pages.
            first = page.revision if first is None else first
            for change in page.changes:
                seen.add(change.key)
                after = change.key
                self._apply_change(change)
            has_more = page.has_more
        assert first is not None
        for key in self._history.entries_by_key.keys() - seen:
            self._apply_change(store_module.Removal(key=key, revision=first))
        self._advance(first)
        self._watch_revision = self._latest_revision
        self.is_current = True
        self._on_read()

    async def _watch(self) -> None:
        watching = defer.Deferred.fromCoroutine(
            self._store.watch(
                self._prefix, self._watch_revision, WATCH_SECONDS
            )
        )
        self._watching = watching
        try:
            page = await watching
        except defer.CancelledError:
            if self._watching is watching:
                raise
            # A refresh cancelled the watch.
            return
        finally:
            watching.cancel()
            if self._watching is watching:
                self._watching = None
        for change in page.changes:
            self._apply_change(change)
        self._advance(page.revision)
        self._watch_revision = self._latest_revision
        if page.changes:
            self._on_read()
        if page.changes and self._batch_seconds:
            await task.deferLater(self._clock, self._batch_seconds)

    def _advance(self, revision: Revision) -> None:
        self._latest_revision = Revision(max(self._latest_revision, revision))
        # A watcher answers from an ageing copy until it detects that it has
        # lost the store.
        contacted_at = self._clock.seconds() - self._store.answer_age
        self._contacted_at = max(self._contacted_at, contacted_at)
        self._history.wake()

    async def _check_repeatedly(self) -> None:
        while True:
            await task.deferLater(self._clock, CHECK_SECONDS)
            if self._must_read or not self._store.is_direct:
                continue
            try:
                await self._check()
            except (
                store_module.StoreRefused,
                store_module.StoreOutcomeUnknown,
            ) as error:
                self._record_failed_check(error)
            else:
                self._has_check_failed = False

    def _record_failed_check(self, error: Exception) -> None:
        # Logged once; `_step` logs the loss of the store.
        if not self._has_check_failed:
            log.info(
                'Check for missed changes failed.',
                prefix=self._prefix,
                cause=str(error),
            )
        self._has_check_failed = True
        self._history.wake()

    async def _check(self) -> None:
        # A watch sent to an unresponsive store is never answered, although its
        # connection stays open. A stale page shows the missed changes.
        page = await self._store.page(self._prefix, is_stale=True)
        found = {change.key: change.revision for change in page.changes}
        missing: set[str] = set()
        if not page.has_more:
            missing = self._history.entries_by_key.keys() - found.keys()
        # A stale page may lack a new key; a key that is missing in two checks
        # in a row was removed.
        is_removed = bool(missing & self._missing_keys)
        self._missing_keys = missing
        if not is_removed and not await self._is_watch_stalled(found):
            self._contacted_at = self._clock.seconds()
            return
        log.warning(
            'Watch missed changes; reading the prefix again.',
            prefix=self._prefix,
            revision=self._watch_revision,
        )
        self._missing_keys = set()
        self._schedule_read()

    async def _is_watch_stalled(self, found: Mapping[str, Revision]) -> bool:
        """Return whether the watch fails to report keys that were found."""
        previous, self._unseen = self._unseen, self._newer(found)
        if self._newer(previous):
            return True
        watching = self._watching
        if watching is None or not self._unseen:
            # No watch is open; the next one reports the changes. Reporting a
            # stall here would make a busy prefix be read repeatedly.
            return False
        await task.deferLater(self._clock, WATCH_DELAY_SECONDS)
        return self._watching is watching and bool(self._newer(self._unseen))

    def _newer(self, found: Mapping[str, Revision]) -> dict[str, Revision]:
        """Return the keys that were found at a newer revision than known."""
        return {
            key: revision
            for key, revision in found.items()
            if revision > self._revision_of(key)
        }

    def _apply_change(self, change: Entry | Removal) -> None:
        if change.revision <= self._revision_of(change.key):
            return
        is_known = change.key in self._history.entries_by_key
        if isinstance(change, store_module.Removal) and not is_known:
            return
        if isinstance(change, store_module.Removal):
            self._remember_removal(change)
        self._history.apply(change)
        try:
            self._on_change(change)
        except Exception:
            # The next watch would return the same change and fail again, so
            # one entry would stop all later changes.
            log.error(
                'Change of a key was not applied.',
                key=change.key,
                revision=change.revision,
                cause=traceback.format_exc(),
            )

    def _remember_removal(self, removal: Removal) -> None:
        self._removals_by_key[removal.key] = removal.revision
        if len(self._removals_by_key) > MAX_REMOVALS:
            del self._removals_by_key[next(iter(self._removals_by_key))]

    def _revision_of(self, key: str) -> Revision:
        entry = self._history.entries_by_key.get(key)
        if entry is not None:
            return entry.revision
        return self._removals_by_key.get(key, Revision(0))

    async def _pause_after_failure(self, error: Exception) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            log.warning(
                'Store cannot be reached.',
                prefix=self._prefix,
                cause=str(error),
            )
            self._history.wake()
        await self._store.pause(self._pause_seconds)
        self._pause_seconds = min(self._pause_seconds * 2.0, MAX_PAUSE_SECONDS)

    def _mark_reached(self) -> None:
        if self._is_store_lost:
            log.info('Store reached again.', prefix=self._prefix)
        self._is_store_lost = self._has_check_failed = False
        self._pause_seconds = FIRST_PAUSE_SECONDS
