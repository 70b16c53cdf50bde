"""Follow the keys under one prefix of the store."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Revision
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

# Seconds that one watch waits. Each return is a paid call, so waits are
# long; a watch that no longer hears anything is found by the checks.
WATCH_SECONDS = 15.0
# Seconds in which a watch may still tell of what a check has found: both
# answers are sent at one moment, over connections of their own.
WATCH_DELAY = 0.2
# Removals that are remembered: those of some seconds, of a fleet that is
# restarted within a minute.
MAX_REMOVALS = 1000
# Seconds between checks. A configuration has to be in force 2 s after it
# was acknowledged, and a check costs a tenth of a read.
CHECK_SECONDS = 1.0
# Seconds before the next try after a failure, doubled up to the second.
FIRST_PAUSE = 0.05
LAST_PAUSE = 0.5


class Source(Protocol):
    """Read and watch keys; both raise as the store does."""

    # The last answer came from the store itself.
    @property
    def is_direct(self) -> bool: ...

    # Seconds that the last answer's word of the store was old when it came.
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
    """Keep a copy of the keys under a prefix and tell of each change."""

    def __init__(
        self,
        store: Source,
        prefix: str,
        on_change: Callable[[Entry | Removal], None],
        clock: Any,
        # Called once for all changes that came together.
        on_read: Callable[[], None] = lambda: None,
        settle_seconds: float = 0.0,
    ) -> None:
        self.is_current = False
        # The next step reads everything, instead of watching.
        self._must_read = True
        # Where the next watch begins.
        self._revision = Revision(0)
        self._known = Revision(0)
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_read = on_read
        self._settle_seconds = settle_seconds
        self._clock = clock
        self._history = history.History(clock)
        self._heard_at = 0.0
        # What the last check found and was not known here. A watch that is
        # sent again and again, and told of other keys only, is found by what
        # stays behind.
        self._ahead: Mapping[str, Revision] = {}
        # Changes that removed keys. A page that is some seconds old still
        # has them, and would be taken for newer than what is known.
        self._removals_by_key: dict[str, Revision] = {}
        # Keys that the last check did not find.
        self._missing: set[str] = set()
        self._watching: defer.Deferred[None] | None = None
        self._pause = FIRST_PAUSE
        self._is_lost = False
        # The last check got no answer.
        self._is_doubted = False

    async def follow(self) -> None:
        """Read, then watch and check, until cancelled."""
        checking = defer.Deferred.fromCoroutine(self._check_often())
        checking.addErrback(lambda f: f.trap(defer.CancelledError))
        try:
            while True:
                await self._step()
        finally:
            checking.cancel()

    def learn(self, entry: Entry) -> None:
        """Take an entry that was read at the store by another way."""
        self._take(entry)
        self._history.wake()
        self._on_read()

    def refresh(self) -> None:
        """Read again, after a time in which a watch may have gone deaf.

        Who follows a watcher's copy asks anew every second or two, over a
        way that was not touched.
        """
        if self._store.is_direct:
            self._read_again()

    def _read_again(self) -> None:
        self._must_read = True
        self._end_watch()

    def _end_watch(self) -> None:
        watching, self._watching = self._watching, None
        if watching is not None:
            watching.cancel()

    def age(self) -> float:
        """Return the seconds since the store was last heard."""
        age: float = self._clock.seconds() - self._heard_at
        return age

    @property
    def is_in_touch(self) -> bool:
        """Say whether the last call of the store was answered."""
        return not (self._is_lost or self._is_doubted)

    def copy(self) -> Page:
        """Return every key, for one who follows this copy."""
        return store_module.Page(
            changes=tuple(self._history.entries_by_key.values()),
            revision=self._known,
        )

    @property
    def cursor(self) -> str:
        """Return where one who follows this copy goes on after `copy`."""
        return self._history.cursor

    async def changes(self, cursor: str, seconds: float) -> Page | None:
        """Wait for changes after a cursor; none if some are not kept."""
        found = self._history.since(cursor)
        if found == []:
            await self._history.wait(seconds)
            found = self._history.since(cursor)
        if found is None:
            return None
        return store_module.Page(changes=tuple(found), revision=self._known)

    async def _step(self) -> None:
        try:
            if self._must_read:
                await self._read()
            else:
                await self._watch()
            self._is_reached()
        except store_module.HistoryGone:
            log.info('Changes not kept; read again.', prefix=self._prefix)
            self._must_read = True
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            await self._wait(error)

    async def _read(self) -> None:
        # Cleared first: a refresh may come while pages are read.
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
        # The first read may be some seconds old: the watch that follows
        # tells at once what changed since. It costs a tenth, which counts
        # when a whole fleet starts.
        is_stale = not self.is_current
        while has_more:
            page = await self._store.page(self._prefix, after, is_stale)
            # Pages are not one snapshot: the watch starts at the first
            # page, so that a change between pages is seen again.
            first = page.revision if first is None else first
            for change in page.changes:
                seen.add(change.key)
                after = change.key
                self._take(change)
            has_more = page.has_more
        assert first is not None
        for key in self._history.entries_by_key.keys() - seen:
            self._take(store_module.Removal(key=key, revision=first))
        self._advance(first)
        self._revision = self._known
        self.is_current = True
        self._on_read()

    async def _watch(self) -> None:
        watching = defer.Deferred.fromCoroutine(
            self._store.watch(self._prefix, self._revision, WATCH_SECONDS)
        )
        self._watching = watching
        try:
            page = await watching
        except defer.CancelledError:
            if self._watching is watching:
                raise
            # Ended by a refresh.
            return
        finally:
            watching.cancel()
            if self._watching is watching:
                self._watching = None
        for change in page.changes:
            self._take(change)
        self._advance(page.revision)
        self._revision = self._known
        if page.changes:
            self._on_read()
        if page.changes and self._settle_seconds:
            await task.deferLater(self._clock, self._settle_seconds)

    def _advance(self, revision: Revision) -> None:
        self._known = Revision(max(self._known, revision))
        # A watcher goes on answering from its copy for a moment after it has
        # lost the store.
        heard_at = self._clock.seconds() - self._store.answer_age
        self._heard_at = max(self._heard_at, heard_at)
        self._history.wake()

    async def _check_often(self) -> None:
        while True:
            await task.deferLater(self._clock, CHECK_SECONDS)
            if self._must_read or not self._store.is_direct:
                continue
            try:
                await self._check()
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                self._doubt(error)
            else:
                self._is_doubted = False

    def _doubt(self, error: Exception) -> None:
        # The watch logs when the store is lost.
        if not self._is_doubted:
            log.info('Check failed.', prefix=self._prefix, cause=str(error))
        self._is_doubted = True
        self._history.wake()

    async def _check(self) -> None:
        # A watch sent while the store was silent is never answered, on a
        # connection that stays open: a configuration then took 15 s to
        # come. A cheap, possibly old page shows what the watch missed.
        page = await self._store.page(self._prefix, is_stale=True)
        found = {change.key: change.revision for change in page.changes}
        missing: set[str] = set()
        if not page.has_more:
            missing = self._history.entries_by_key.keys() - found.keys()
        # An old page lacks a key that was just written; twice in a row a
        # missing key was removed.
        is_removed = bool(missing & self._missing)
        self._missing = missing
        if not is_removed and not await self._is_deaf(found):
            self._heard_at = self._clock.seconds()
            return
        log.warning(
            'Watch heard nothing; read again.',
            prefix=self._prefix,
            revision=self._revision,
        )
        self._missing = set()
        self._read_again()

    async def _is_deaf(self, found: Mapping[str, Revision]) -> bool:
        """Tell whether the watch does not hear of keys that were found."""
        was_ahead, self._ahead = self._ahead, self._newer(found)
        if self._newer(was_ahead):
            return True
        watching = self._watching
        if watching is None or not self._ahead:
            # Between two watches nothing is heard, and the next one tells.
            # Taken for deaf, each of eleven watchers read all targets anew
            # every 3 s: engines' entries change all the time.
            return False
        await task.deferLater(self._clock, WATCH_DELAY)
        return self._watching is watching and bool(self._newer(self._ahead))

    def _newer(self, found: Mapping[str, Revision]) -> dict[str, Revision]:
        """Return what was found of keys and is not known here yet."""
        return {
            key: revision
            for key, revision in found.items()
            if revision > self._standing(key)
        }

    def _take(self, change: Entry | Removal) -> None:
        if change.revision <= self._standing(change.key):
            return
        is_known = change.key in self._history.entries_by_key
        if isinstance(change, store_module.Removal) and not is_known:
            return
        if isinstance(change, store_module.Removal):
            self._note_removal(change)
        self._history.take(change)
        self._on_change(change)

    def _note_removal(self, removal: Removal) -> None:
        self._removals_by_key[removal.key] = removal.revision
        if len(self._removals_by_key) > MAX_REMOVALS:
            del self._removals_by_key[next(iter(self._removals_by_key))]

    def _standing(self, key: str) -> Revision:
        entry = self._history.entries_by_key.get(key)
        if entry is not None:
            return entry.revision
        return self._removals_by_key.get(key, Revision(0))

    async def _wait(self, error: Exception) -> None:
        if not self._is_lost:
            self._is_lost = True
            log.warning('Store lost.', prefix=self._prefix, cause=str(error))
            self._history.wake()
        await self._store.pause(self._pause)
        self._pause = min(self._pause * 2.0, LAST_PAUSE)

    def _is_reached(self) -> None:
        if self._is_lost:
            log.info('Store reached again.', prefix=self._prefix)
        self._is_lost = self._is_doubted = False
        self._pause = FIRST_PAUSE
