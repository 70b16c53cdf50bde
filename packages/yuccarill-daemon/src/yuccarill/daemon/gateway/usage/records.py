"""Keep counts and reports of usage in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WindowNumber
from yuccarill.core.usage.counts import Counts
from yuccarill.platform import keys
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import ServiceName
    from yuccarill.platform.store import Store

# Reports that are kept for people to read: two minutes of windows of 5 s.
KEPT_REPORTS = 24


class OpenUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is counted and not reported yet."""

    # The first window that no report is recorded for.
    following: WindowNumber
    # Reports up to this window were accepted.
    sent_through: WindowNumber
    sources_by_window: dict[WindowNumber, dict[Incarnation, Counts]] = {}


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what is reported for one window, now and whenever it is sent."""

    counts: Counts
    # Who made it up.
    instance: InstanceId


class StoredUsage(msgspec.Struct, kw_only=True):
    """Hold what stands in the store."""

    open: OpenUsage | None = None
    reports_by_window: dict[WindowNumber, UsageReport] = {}


class ReportTaken(Exception):
    """Report a window for which another report is recorded."""


class UsageRecords:
    """Read and write under the duty of reporting."""

    def __init__(self, duty: ServiceName, store: Store) -> None:
        self._duty_key = keys.duty(duty)
        self._store = store

    async def read(self) -> StoredUsage:
        """Return what stands; raises StoreRefused or StoreUnclear."""
        found = StoredUsage()
        after: str | None = None
        has_more = True
        while has_more:
            page = await self._store.page(keys.USAGE_PREFIX, after)
            for entry in page.changes:
                after = entry.key
                if isinstance(entry, store_module.Entry):
                    _collect(found, entry)
            has_more = page.has_more
        return found

    async def save(self, duty: Revision, usage: OpenUsage) -> None:
        """Write what is counted; raises as the store does."""
        await self._store.transact(
            expected=[self._held(duty)], writes=[_open(usage)]
        )

    async def record(
        self,
        duty: Revision,
        window: WindowNumber,
        report: UsageReport,
        usage: OpenUsage,
    ) -> None:
        """Write a window's report once, before it is sent.

        Whoever holds the duty later sends the same. Raises ReportTaken if
        another one stands, else as the store does; an earlier try of the
        same that was carried out counts.
        """
        key = keys.usage_report(window)
        value = msgspec.msgpack.encode(report)
        old = keys.usage_report(WindowNumber(window - KEPT_REPORTS))
        try:
            await self._store.transact(
                expected=[
                    self._held(duty),
                    store_module.Expectation(
                        key=key, revision=store_module.ABSENT
                    ),
                ],
                writes=[
                    store_module.Write(key=key, value=value),
                    _open(usage),
                ],
                removals=[old],
            )
        except store_module.StoreConflict as conflict:
            standing = conflict.entries_by_key.get(key)
            if standing is None:
                raise
            if standing.value != value:
                raise ReportTaken from conflict

    def _held(self, duty: Revision) -> store_module.Expectation:
        return store_module.Expectation(key=self._duty_key, revision=duty)


def _open(usage: OpenUsage) -> store_module.Write:
    return store_module.Write(
        key=keys.USAGE_OPEN, value=msgspec.msgpack.encode(usage)
    )


def _collect(found: StoredUsage, entry: store_module.Entry) -> None:
    if entry.key == keys.USAGE_OPEN:
        found.open = msgspec.msgpack.decode(entry.value, type=OpenUsage)
        return
    window = keys.window_of(entry.key)
    found.reports_by_window[window] = msgspec.msgpack.decode(
        entry.value, type=UsageReport
    )
