"""Report the usage of each window once, from one instance at a time."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core import decoding
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import WindowNumber
from yuccarill.core.usage import counts as counts_module
from yuccarill.core.usage import reports
from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import background
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway.usage import messages
from yuccarill.daemon.gateway.usage import records as records_module
from yuccarill.daemon import logs
from yuccarill.platform.billing import ReportOutcome
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from yuccarill.core.ids import Epoch
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import Revision
    from yuccarill.core.usage.windows import UsagePolicy
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.duty.duties import Duty
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.usage.clock import FleetClock
    from yuccarill.daemon.gateway.usage.records import UsageRecords
    from yuccarill.platform.billing import Billing

log = logs.for_part('usage')

# The colon keeps the name apart from those of services.
DUTY = ServiceName(':usage-reports')
STEP_SECONDS = 0.2
# Seconds from the end of a window to its report: longer than the client
# timeout plus the interval at which counts are sent.
SETTLE_SECONDS = 2.5
# Seconds for which a new holder waits for the counts of all instances.
GATHER_SECONDS = 1.5
# Seconds between writes of open counts; newer counts are lost if all instances
# are killed at once, a fifth of a window of 5 s.
SAVE_SECONDS = 1.0
# Seconds before a failed report is sent again.
RETRY_SECONDS = 0.5


class UsageReporter:
    """Create reports from the counts of all instances and send them."""

    def __init__(
        self,
        policy: UsagePolicy,
        state: GatewayState,
        duty: Duty,
        records: UsageRecords,
        billing: Billing,
        fleet_clock: FleetClock,
        clock: Any,
    ) -> None:
        self._policy = policy
        self._state = state
        self._duty = duty
        self._records = records
        self._billing = billing
        self._fleet_clock = fleet_clock
        self._clock = clock
        self._totals = counts_module.UsageTotals()
        # Duty revision at which the fields below were read from the store.
        self._read_revision: Revision | None = None
        self._gather_until = 0.0
        self._open_from = WindowNumber(0)
        self._sent_through = WindowNumber(0)
        self._reports_by_window: dict[
            WindowNumber, records_module.UsageReport
        ] = {}
        # A report whose write is retried with the same counts, since an
        # earlier attempt can have succeeded.
        self._pending_report: (
            tuple[WindowNumber, records_module.UsageReport] | None
        ) = None
        self._is_unsaved = False
        self._save_at = 0.0
        self._send_at = 0.0
        self._running_step: defer.Deferred[None] | None = None
        self._ticker = background.ticker(self._tick, 'usage reports', clock)

    def start(self) -> None:
        """Start to report while this instance holds the duty."""
        self._ticker.start(STEP_SECONDS).addErrback(self._log_failure)

    def stop(self) -> None:
        """Stop reporting."""
        if self._ticker.running:
            self._ticker.stop()

    def holder(self) -> InstanceId | None:
        """Return the instance to which counts are sent, if any."""
        if self._duty.held_lease is not None:
            return self._state.settings.instance
        known = self._state.duties_by_service.get(DUTY)
        if known is None or known.instance == self._state.settings.instance:
            return None
        return known.instance  # type: ignore[return-value]

    def merge(
        self, message: messages.CountMessage
    ) -> messages.CountAnswer | None:
        """Merge counts; return None unless this instance can report them."""
        if not self._is_ready():
            return None
        self._fleet_clock.record(message.instance, message.wall)
        self._fleet_clock.agree()
        still_open = {
            window: counts
            for window, counts in message.counts_by_window.items()
            if window >= self._open_from
        }
        if self._totals.merge_source(message.source, still_open):
            self._is_unsaved = True
        return messages.CountAnswer(
            now=self._fleet_clock.now(),
            closed_through=WindowNumber(self._open_from - 1),
        )

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Handle counts of a peer or a request of an operator."""
        if request.method == 'GET':
            return SmallResponse(
                status=200, body=msgspec.json.encode(self.status())
            )
        try:
            message = decoding.from_msgpack(
                request.body, messages.CountMessage
            )
        except msgspec.MsgspecError as error:
            log.warning('Invalid usage message rejected.', cause=str(error))
            return SmallResponse(status=400)
        answer = self.merge(message)
        if answer is None:
            return SmallResponse(status=409)
        return SmallResponse(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(answer),
        )

    def status(self) -> reports.ShownUsage:
        """Return the state of the reports for operators."""
        return reports.ShownUsage(
            holder=self.holder(),
            is_here=self._is_ready(),
            following=self._open_from,
            sent_through=self._sent_through,
            reports=tuple(
                reports.ShownReport(
                    window=window, requests=sum(report.counts.values())
                )
                for window, report in sorted(self._reports_by_window.items())
            ),
        )

    def _is_ready(self) -> bool:
        """Tell whether the store was read since the duty was acquired."""
        revision = self._duty.revision
        return revision is not None and self._read_revision == revision

    def _tick(self) -> None:
        if self._running_step is not None or self._duty.revision is None:
            return
        self._running_step = defer.Deferred.fromCoroutine(
            self._step(self._duty.revision)
        )
        self._running_step.addErrback(self._log_failure)
        self._running_step.addBoth(self._clear_step)

    async def _step(self, revision: Revision) -> None:
        try:
            if self._read_revision != revision:
                await self._read(revision)
                return
            window = self._first_unsent()
            if window is not None and self._may_send():
                await self._send(window)
            elif window is None and self._is_report_due():
                await self._record(revision)
            elif self._is_unsaved and self._clock.seconds() >= self._save_at:
                await self._save(revision)
        except store_module.StoreConflict:
            log.warning('Usage not written: the reporting duty was lost.')
            self._duty.drop_hold(revision)
        except (
            store_module.StoreRefused,
            store_module.StoreOutcomeUnknown,
        ) as error:
            # Retried at the next step.
            log.info('Usage not read or written.', cause=str(error))

    async def _read(self, revision: Revision) -> None:
        stored = await self._records.read()
        self._reports_by_window = dict(stored.reports_by_window)
        # Created under an earlier tenure: the stored report is authoritative.
        self._pending_report = None
        self._totals = counts_module.UsageTotals()
        if stored.open is None:
            self._open_from = self._policy.window_at(self._fleet_clock.now())
            self._sent_through = WindowNumber(self._open_from - 1)
        else:
            self._open_from = stored.open.following
            self._sent_through = stored.open.sent_through
            self._totals.merge(stored.open.sources_by_window)
        self._gather_until = self._clock.seconds() + GATHER_SECONDS
        self._read_revision = revision
        log.info(
            'Usage reporting started.',
            following=self._open_from,
            sent_through=self._sent_through,
            counted=sum(
                sum(self._totals.totals(w).values())
                for w in self._totals.sources_by_window
            ),
        )

    def _first_unsent(self) -> WindowNumber | None:
        """Return the first window whose recorded report is not sent."""
        for window in sorted(self._reports_by_window):
            if window > self._sent_through:
                return window
        return None

    def _may_send(self) -> bool:
        return (
            self._clock.seconds() >= self._send_at
            and self._duty.can_send_orders()
        )

    def _is_report_due(self) -> bool:
        if self._clock.seconds() < self._gather_until:
            return False
        end = self._policy.end(self._open_from)
        return self._fleet_clock.now() >= end + SETTLE_SECONDS

    async def _record(self, revision: Revision) -> None:
        window = self._open_from
        if self._pending_report is None or self._pending_report[0] != window:
            report = records_module.UsageReport(
                counts=self._totals.totals(window),
                instance=self._state.settings.instance,
            )
            self._pending_report = (window, report)
        report = self._pending_report[1]
        following = WindowNumber(window + 1)
        try:
            await self._records.record(
                revision, window, report, self._snapshot(following)
            )
        except records_module.ReportConflict:
            log.error('A different report exists; reloading.', window=window)
            self._read_revision = None
            return
        self._pending_report = None
        self._open_from = following
        self._totals.close(following)
        self._reports_by_window[window] = report
        self._reports_by_window.pop(
            WindowNumber(window - records_module.KEPT_REPORTS), None
        )

    async def _save(self, revision: Revision) -> None:
        self._save_at = self._clock.seconds() + SAVE_SECONDS
        self._is_unsaved = False
        try:
            await self._records.save(revision, self._snapshot(self._open_from))
        except BaseException:
            self._is_unsaved = True
            raise

    def _snapshot(self, following: WindowNumber) -> records_module.OpenUsage:
        return records_module.OpenUsage(
            following=following,
            sent_through=self._sent_through,
            sources_by_window={
                window: sources
                for window, sources in self._totals.sources_by_window.items()
                if window >= following
            },
        )

    async def _send(self, window: WindowNumber) -> None:
        held_lease = self._duty.held_lease
        assert held_lease is not None
        report = self._reports_by_window[window]
        epoch: Epoch = held_lease.epoch
        self._duty.record_order()
        outcome = await self._billing.report(
            window, report.counts, self._state.settings.instance, epoch
        )
        lateness = self._fleet_clock.now() - self._policy.due(window)
        meters.USAGE_REPORTS.labels(outcome.value, lateness > 0.0).inc()
        log.info(
            'Usage reported.',
            window=window,
            outcome=outcome.value,
            epoch=epoch,
            accounts=len(report.counts),
            requests=sum(report.counts.values()),
            late=round(lateness, 2),
        )
        match outcome:
            case ReportOutcome.ACCEPTED | ReportOutcome.REFUSED:
                # A retry of a refused report would be refused again.
                self._sent_through = window
                self._is_unsaved = True
            case ReportOutcome.BUSY | ReportOutcome.UNKNOWN:
                self._send_at = self._clock.seconds() + RETRY_SECONDS

    def _clear_step(self, _: object) -> None:
        self._running_step = None

    def _log_failure(self, failure: Any) -> None:
        if not failure.check(defer.CancelledError):
            log.error('Usage reporting failed.', cause=failure.getTraceback())
