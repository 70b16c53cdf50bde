"""Store counts and reports of usage in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import decoding
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

# Windows whose reports are kept for operators.
KEPT_REPORTS = 24


class OpenUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the counts that are not reported yet."""

    # The first window without a recorded report.
    following: WindowNumber
    # The last window whose report was accepted or refused.
    sent_through: WindowNumber
    sources_by_window: dict[WindowNumber, dict[Incarnation, Counts]] = {}


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the report of one window, the same at each attempt to send it."""

    counts: Counts
    # The instance that created the report.
    instance: InstanceId


class StoredUsage(msgspec.Struct, kw_only=True):
    """Hold all usage data in the store."""

    open: OpenUsage | None = None
    reports_by_window: dict[WindowNumber, UsageReport] = {}


class ReportConflict(Exception):
    """Signal that a different report is recorded for the window."""


class UsageRecords:
    """Read and write usage, conditional on the lease of the reporting duty."""

    def __init__(self, duty: ServiceName, store: Store) -> None:
        self._duty_key = keys.duty(duty)
        self._store = store

    async def read(self) -> StoredUsage:
        """Return the stored usage.

        Raises StoreRefused or StoreOutcomeUnknown.
        """
        stored = StoredUsage()
        after: str | None = None
        has_more = True
        while has_more:
            page = await self._store.page(keys.USAGE_PREFIX, after)
            for entry in page.changes:
                after = entry.key
                if isinstance(entry, store_module.Entry):
                    _add_entry(stored, entry)
            has_more = page.has_more
        return stored

    async def save(self, duty: Revision, usage: OpenUsage) -> None:
        """Write the open counts; raises the errors of `Store.transact`."""
        await self._store.transact(
            expected=[self._expect_duty(duty)], writes=[_usage_write(usage)]
        )

    async def record(
        self,
        duty: Revision,
        window: WindowNumber,
        report: UsageReport,
        usage: OpenUsage,
    ) -> None:
        """Write the report of a window once, before it is sent.

        Later holders of the duty send the same report. Idempotent. Raises
        ReportConflict if a different report exists, or as `Store.transact`.
        """
        key = keys.usage_report(window)
        value = msgspec.msgpack.encode(report)
        old = keys.usage_report(WindowNumber(window - KEPT_REPORTS))
        try:
            await self._store.transact(
                expected=[
                    self._expect_duty(duty),
                    store_module.Expectation(
                        key=key, revision=store_module.ABSENT
                    ),
                ],
                writes=[
                    store_module.Write(key=key, value=value),
                    _usage_write(usage),
                ],
                removals=[old],
            )
        except store_module.StoreConflict as conflict:
            existing = conflict.entries_by_key.get(key)
            if existing is None:
                raise
            if existing.value != value:
                raise ReportConflict from conflict

    def _expect_duty(self, duty: Revision) -> store_module.Expectation:
        return store_module.Expectation(key=self._duty_key, revision=duty)


def _usage_write(usage: OpenUsage) -> store_module.Write:
    return store_module.Write(
        key=keys.USAGE_OPEN, value=msgspec.msgpack.encode(usage)
    )


def _add_entry(stored: StoredUsage, entry: store_module.Entry) -> None:
    if entry.key == keys.USAGE_OPEN:
        stored.open = decoding.from_msgpack(entry.value, OpenUsage)
        return
    window = keys.window_of(entry.key)
    stored.reports_by_window[window] = decoding.from_msgpack(
        entry.value, UsageReport
    )
