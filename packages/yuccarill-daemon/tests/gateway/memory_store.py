"""An in-memory store for tests, with fault injection."""

from __future__ import annotations

import dataclasses
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import Revision
from yuccarill.platform import store


@dataclasses.dataclass
class Keys:
    """The keys, leases and history that all instances share."""

    clock: task.Clock
    revision: int = 0
    entries_by_key: dict[str, store.Entry] = dataclasses.field(
        default_factory=dict
    )
    history: list[Any] = dataclasses.field(default_factory=list)
    history_floor: int = 0
    ends_by_lease: dict[int, float] = dataclasses.field(default_factory=dict)
    seconds_by_lease: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    watches: list[Any] = dataclasses.field(default_factory=list)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        self._put(store.Write(key=key, value=value, lease=lease))
        self._wake_watches()

    def _put(self, write: store.Write) -> None:
        known = self.entries_by_key.get(write.key)
        entry = store.Entry(
            key=write.key,
            value=write.value,
            revision=Revision(self.revision),
            created=known.created if known else Revision(self.revision),
            lease=write.lease,
        )
        self.entries_by_key[write.key] = entry
        self.history.append(entry)

    def remove(self, key: str) -> None:
        self.revision += 1
        self._remove(key)
        self._wake_watches()

    def _remove(self, key: str) -> None:
        if self.entries_by_key.pop(key, None) is not None:
            self.history.append(
                store.Removal(key=key, revision=Revision(self.revision))
            )

    def commit(self, writes: Any, removals: Any) -> Revision:
        self.revision += 1
        for write in writes:
            self._put(write)
        for key in removals:
            self._remove(key)
        self._wake_watches()
        return Revision(self.revision)

    def drop_history(self) -> None:
        """Discard the history, as the store may at any time."""
        self.history_floor = self.revision
        self.history.clear()
        for watch in list(self.watches):
            watch()

    def expire(self) -> None:
        now = self.clock.seconds()
        ended = [k for k, at in self.ends_by_lease.items() if now >= at]
        for lease in ended:
            del self.ends_by_lease[lease]
            for entry in list(self.entries_by_key.values()):
                if entry.lease == lease:
                    self.remove(entry.key)

    def _wake_watches(self) -> None:
        for watch in list(self.watches):
            watch()


@dataclasses.dataclass
class MemoryStore:
    """One instance's client of the shared keys.

    Faults: `rejects_calls` rejects calls unexecuted; `drops_calls` never
    answers; `loses_replies` executes writes without an answer;
    `ignores_watches` leaves only watches unanswered.
    """

    keys: Keys
    rejects_calls: bool = False
    drops_calls: bool = False
    loses_replies: bool = False
    ignores_watches: bool = False
    calls: list[str] = dataclasses.field(default_factory=list)
    is_direct: bool = True
    answer_age: float = 0.0

    async def get(self, key: str) -> store.Entry | None:
        await self._start_call('get')
        return self.keys.entries_by_key.get(key)

    def probe_now(self) -> None:
        pass

    async def pause(self, seconds: float) -> None:
        await task.deferLater(self.keys.clock, seconds)

    async def page(
        self, prefix: str, after: str | None = None, is_stale: bool = False
    ) -> store.Page:
        await self._start_call('stale page' if is_stale else 'page')
        found = sorted(
            entry.key
            for entry in self.keys.entries_by_key.values()
            if entry.key.startswith(prefix) and entry.key > (after or '')
        )
        return store.Page(
            changes=tuple(self.keys.entries_by_key[key] for key in found),
            revision=Revision(self.keys.revision),
        )

    async def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> store.Page:
        await self._start_call('watch')
        deadline = self.keys.clock.seconds() + seconds
        if self.ignores_watches:
            await self._sleep(seconds + 1.5)
            raise store.StoreOutcomeUnknown('no answer')
        while True:
            if self.drops_calls:
                await self._sleep(seconds)
                raise store.StoreOutcomeUnknown('no answer')
            if after < self.keys.history_floor:
                raise store.HistoryGone
            found = tuple(
                change
                for change in self.keys.history
                if change.key.startswith(prefix) and change.revision > after
            )
            left = deadline - self.keys.clock.seconds()
            if found or left <= 0.0:
                return store.Page(
                    changes=found, revision=Revision(self.keys.revision)
                )
            await self._wait(left)

    async def transact(
        self, expected: Any = (), writes: Any = (), removals: Any = ()
    ) -> Revision:
        await self._start_call('transact')
        writes = list(writes)
        for write in writes:
            if write.lease and write.lease not in self.keys.ends_by_lease:
                raise store.LeaseEnded
        entries = self.keys.entries_by_key
        is_met = all(
            each.revision
            == (entries[each.key].revision if each.key in entries else 0)
            for each in expected
        )
        if not is_met:
            raise store.StoreConflict(
                [entries[e.key] for e in expected if e.key in entries]
            )
        revision = self.keys.commit(writes, removals)
        if self.loses_replies:
            await self._sleep(store.CALL_SECONDS)
            raise store.StoreOutcomeUnknown('no answer')
        return revision

    async def open_lease(self, seconds: float) -> int:
        await self._start_call('lease')
        lease = len(self.keys.seconds_by_lease) + 1
        self.keys.seconds_by_lease[lease] = seconds
        self.keys.ends_by_lease[lease] = self.keys.clock.seconds() + seconds
        return lease

    async def renew_lease(self, lease: int) -> None:
        await self._start_call('keep')
        if lease not in self.keys.ends_by_lease:
            raise store.LeaseEnded
        seconds = self.keys.seconds_by_lease[lease]
        self.keys.ends_by_lease[lease] = self.keys.clock.seconds() + seconds

    async def end_lease(self, lease: int) -> None:
        await self._start_call('end')
        self.keys.ends_by_lease[lease] = 0.0
        self.keys.expire()

    async def _start_call(self, call: str) -> None:
        self.calls.append(call)
        await self._sleep(0.004)
        self.keys.expire()
        if self.drops_calls:
            await self._sleep(store.CALL_SECONDS)
            raise store.StoreOutcomeUnknown('no answer')
        if self.rejects_calls:
            raise store.StoreRefused('call refused')

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.keys.clock, seconds)

    async def _wait(self, seconds: float) -> None:
        waiting: defer.Deferred[None] = defer.Deferred()

        def wake() -> None:
            if wake in self.keys.watches:
                self.keys.watches.remove(wake)
            if not waiting.called:
                waiting.callback(None)

        self.keys.watches.append(wake)
        timer = self.keys.clock.callLater(seconds, wake)
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()
            if wake in self.keys.watches:
                self.keys.watches.remove(wake)
