"""Follow the keys under one prefix of the store."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

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
# long; a connection that went silent is found sooner by its own probes.
WATCH_SECONDS = 15.0
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
    ) -> None:
        self.revision = Revision(0)
        self.is_current = False
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._on_read = on_read
        self._clock = clock
        self._revisions_by_key: dict[str, Revision] = {}
        self._pause = FIRST_PAUSE
        self._is_lost = False

    async def follow(self) -> None:
        """Read, then watch, until cancelled."""
        while True:
            try:
                if not self.revision:
                    await self.read()
                await self._watch()
                self._is_reached()
            except store_module.HistoryGone:
                log.info('History gone; read again.', prefix=self._prefix)
                self.revision = Revision(0)
            except (
                store_module.StoreRefused,
                store_module.StoreUnclear,
            ) as error:
                await self._wait(error)

    async def read(self) -> None:
        """Read every key and tell what differs from the copy."""
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
        self.revision = first
        self.is_current = True
        self._is_reached()
        self._on_read()

    async def _watch(self) -> None:
        page = await self._store.watch(
            self._prefix, self.revision, WATCH_SECONDS
        )
        for change in page.changes:
            self._take(change)
        self.revision = Revision(max(self.revision, page.revision))

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
