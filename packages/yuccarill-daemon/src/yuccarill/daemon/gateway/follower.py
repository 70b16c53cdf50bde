"""Follow the keys under one prefix of the store."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Revision
from yuccarill.daemon import logs
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal
    from yuccarill.platform.store import Store

log = logs.for_part('store')

# Seconds that one watch waits. Each return is a paid call, so waits are
# long; a watch that no longer hears anything is found by the checks.
WATCH_SECONDS = 15.0
# Seconds between checks. A configuration has to be in force 2 s after it
# was acknowledged, and a check costs a tenth of a read.
CHECK_SECONDS = 1.0
# Seconds before the next try after a failure, doubled up to the second.
FIRST_PAUSE = 0.05
LAST_PAUSE = 0.5


class PrefixFollower:
    """Keep a copy of the keys under a prefix and tell of each change."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        on_change: Callable[[Entry | Removal], None],
        clock: Any,
        on_read: Callable[[], None] = lambda: None,
        settle_seconds: float = 0.0,
    ) -> None:
        self.is_current = False
        self._revision = Revision(0)
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_read = on_read
        self._settle_seconds = settle_seconds
        self._clock = clock
        self._revisions_by_key: dict[str, Revision] = {}
        # Keys that the last check did not find.
        self._missing: set[str] = set()
        self._watching: defer.Deferred[None] | None = None
        self._pause = FIRST_PAUSE
        self._is_lost = False

    async def follow(self) -> None:
        """Read, then watch and check, until cancelled."""
        checking = defer.Deferred.fromCoroutine(self._check_often())
        checking.addErrback(lambda f: f.trap(defer.CancelledError))
        try:
            while True:
                await self._step()
        finally:
            checking.cancel()

    def refresh(self) -> None:
        """Read again, after a time in which a watch may have gone deaf."""
        self._revision = Revision(0)
        watching, self._watching = self._watching, None
        if watching is not None:
            watching.cancel()

    async def _step(self) -> None:
        try:
            if not self._revision:
                await self._read()
            else:
                await self._watch()
            self._is_reached()
        except store_module.HistoryGone:
            log.info('History gone; read again.', prefix=self._prefix)
            self._revision = Revision(0)
        except (
            store_module.StoreRefused,
            store_module.StoreUnclear,
        ) as error:
            await self._wait(error)

    async def _read(self) -> None:
        first: Revision | None = None
        after: str | None = None
        seen: set[str] = set()
        has_more = True
        while has_more:
            page = await self._store.page(self._prefix, after)
            # Pages are not one snapshot: the watch starts at the first
            # page, so that a change between pages is seen again.
            first = page.revision if first is None else first
            for change in page.changes:
                seen.add(change.key)
                after = change.key
                self._take(change)
            has_more = page.has_more
        assert first is not None
        for key in self._revisions_by_key.keys() - seen:
            self._take(store_module.Removal(key=key, revision=first))
        self._revision = first
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
        for change in page.changes:
            self._take(change)
        self._revision = Revision(max(self._revision, page.revision))
        if page.changes and self._settle_seconds:
            await task.deferLater(self._clock, self._settle_seconds)

    async def _check_often(self) -> None:
        while True:
            await task.deferLater(self._clock, CHECK_SECONDS)
            if not self._revision:
                continue
            try:
                await self._check()
            except (store_module.StoreRefused, store_module.StoreUnclear):
                # The watch logs when the store is lost.
                continue

    async def _check(self) -> None:
        # A watch sent while the store was silent is never answered, on a
        # connection that stays open: a configuration then took 15 s to
        # come. A cheap, possibly old page shows what the watch missed.
        page = await self._store.page(self._prefix, is_stale=True)
        found = {change.key: change.revision for change in page.changes}
        is_newer = any(
            revision > self._revisions_by_key.get(key, Revision(0))
            for key, revision in found.items()
        )
        missing: set[str] = set()
        if not page.has_more:
            missing = self._revisions_by_key.keys() - found.keys()
        # An old page lacks a key that was just written; twice in a row a
        # missing key was removed.
        is_removed = bool(missing & self._missing)
        self._missing = missing
        if is_newer or is_removed:
            log.warning(
                'Watch heard nothing; read again.',
                prefix=self._prefix,
                revision=self._revision,
            )
            self._missing = set()
            self.refresh()

    def _take(self, change: Entry | Removal) -> None:
        known = self._revisions_by_key.get(change.key, Revision(0))
        if change.revision <= known:
            return
        if isinstance(change, store_module.Removal):
            if change.key not in self._revisions_by_key:
                return
            del self._revisions_by_key[change.key]
        else:
            self._revisions_by_key[change.key] = change.revision
        self._on_change(change)

    async def _wait(self, error: Exception) -> None:
        if not self._is_lost:
            self._is_lost = True
            log.warning('Store lost.', prefix=self._prefix, cause=str(error))
        await task.deferLater(self._clock, self._pause)
        self._pause = min(self._pause * 2.0, LAST_PAUSE)

    def _is_reached(self) -> None:
        if self._is_lost:
            log.info('Store reached again.', prefix=self._prefix)
        self._is_lost = False
        self._pause = FIRST_PAUSE
