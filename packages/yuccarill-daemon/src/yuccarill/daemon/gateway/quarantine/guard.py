"""Decide whether a request may be sent, by the crashes of its content.

A content is a digest that is the same for each retry of a request.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.gateway import abandoned
from yuccarill.core.gateway import crash_ledger
from yuccarill.core.gateway import last_target_guard
from yuccarill.core.gateway import suspect_runs
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.gateway import unconfirmed_losses as losses_module
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from yuccarill.core.gateway.crash_ledger import CrashReport
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('quarantine')

# Retry-After of a refused suspect, in seconds.
TRIAL_RETRY_SECONDS = 1.0
# Seconds for which a suspect is held back after a peer has sent it.
PEER_TRIAL_SECONDS = 1.0
MAX_SHOWN_TARGETS = 3
# Contents whose host and path are kept for logs and operators.
MAX_NAMES = 1024


class ContentGuard:
    """Hold back requests that crash their targets."""

    def __init__(
        self,
        state: GatewayState,
        clock: Any,
        ledger: crash_ledger.CrashLedger | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self.ledger = ledger or crash_ledger.CrashLedger()
        # Callbacks for events that this instance observes first.
        self.on_crash: Callable[[CrashReport], None] = lambda report: None
        self.on_lost_calls: Callable[[tuple[CrashReport, ...]], None] = (
            lambda reports: None
        )
        self.on_completed: Callable[[ContentDigest], None] = lambda c: None
        self.on_trial: Callable[[ContentDigest], None] = lambda c: None
        self.on_quarantined: Callable[[ContentDigest], None] = lambda c: None
        # Called after a completed trial.
        self.on_released: Callable[[ContentDigest], None] = lambda c: None
        # Callbacks for events that peers report.
        self.on_peer_verdict: Callable[[ContentDigest], None] = lambda c: None
        self.on_peer_crash: Callable[[CrashReport], None] = lambda report: None
        # Active runs, by this instance, of contents that are not clear.
        self._runs = suspect_runs.SuspectRuns()
        self.abandoned = abandoned.AbandonedRuns()
        self.unconfirmed_losses = losses_module.UnconfirmedLosses()
        self._last_target_guard = last_target_guard.LastTargetGuard(
            self.ledger, self.unconfirmed_losses
        )
        # Times until which suspects that peers have sent are held back.
        self._held_until_by_content: dict[ContentDigest, Instant] = {}
        self._names_by_content: dict[ContentDigest, str] = {}
        self._logged: set[ContentDigest] = set()

    def admit(
        self,
        content: ContentDigest,
        service: ServiceName,
        is_trial: bool = False,
    ) -> None:
        """Raise RequestQuarantined unless a content may be sent now.

        A trial may send a quarantined content.
        """
        if self.is_admitted(content, service, is_trial):
            return
        verdict = self.ledger.verdict(content)
        meters.HELD_BACK.labels(verdict.value).inc()
        seconds = TRIAL_RETRY_SECONDS
        if verdict is Verdict.QUARANTINED:
            seconds = self.ledger.seconds_left(content, self.now())
        targets = ', '.join(self.ledger.targets(content)[-MAX_SHOWN_TARGETS:])
        raise errors.RequestQuarantined(
            f'The request was not run: requests with the same content crashed '
            f'targets (content {content}: {targets or "reported by peers"}).',
            seconds,
        )

    def is_admitted(
        self,
        content: ContentDigest,
        service: ServiceName,
        is_trial: bool = False,
    ) -> bool:
        """Tell whether a content may be sent now."""
        verdict = self.ledger.verdict(content)
        if verdict is Verdict.QUARANTINED:
            return is_trial and self.spares_last_target(content, service)
        if verdict is Verdict.SUSPECT and not self._may_start_trial(content):
            return False
        if verdict is Verdict.CLEAR and self.unconfirmed_losses.is_empty:
            return True
        return self.spares_last_target(content, service)

    def spares_last_target(
        self, content: ContentDigest, service: ServiceName
    ) -> bool:
        """Tell whether a content leaves a service its last live target."""
        ready = self._state.targets.ready(service).keys()
        return not self._last_target_guard.must_hold(
            content, ready, self.now()
        )

    def crashes_under(self, content: ContentDigest) -> tuple[int, Instant]:
        """Return how many targets crashed under a content, and when last.

        The time is the present if no crash is known, such as after a restart.
        """
        times = self.ledger.end_times(content)
        return len(times), max(times, default=self.now())

    def release_completed(self, content: ContentDigest) -> None:
        """Release a quarantined content whose trial was completed."""
        if self.ledger.verdict(content) is Verdict.QUARANTINED:
            self.release(content)
            self.on_released(content)

    def targets_to_avoid(self, content: ContentDigest) -> frozenset[TargetId]:
        """Return the targets that a content avoids where others are free.

        Contents that run together at each crash are equally suspect.
        """
        return frozenset(self.suspicious_counts_by_target(content))

    def may_run_concurrently(self, content: ContentDigest) -> bool:
        """Tell whether two targets may run a content concurrently."""
        is_clear = self.ledger.verdict(content) is Verdict.CLEAR
        return is_clear and not self.unconfirmed_losses.losses_of(
            content, self.now()
        )

    def suspicious_counts_by_target(
        self, content: ContentDigest
    ) -> Mapping[TargetId, int]:
        """Count the other suspicious contents that run at each target."""
        return (
            {}
            if self.ledger.is_clear
            else self._runs.other_counts_by_target(content)
        )

    def forbidden_targets(self, content: ContentDigest) -> frozenset[TargetId]:
        """Return the targets that a content must not run at.

        A crash under two suspects does not show which one caused it.
        """
        verdict = self.ledger.verdict(content)
        if verdict not in (Verdict.SUSPECT, Verdict.QUARANTINED):
            return frozenset()
        others = self.ledger.suspects().union(self.ledger.quarantined())
        return self._runs.targets_with(others - {content})

    def begin_run(self, target: TargetId, content: ContentDigest) -> bool:
        """Record a run and return True, unless its content is clear."""
        verdict = self.ledger.verdict(content)
        if verdict is Verdict.CLEAR:
            return False
        if verdict is Verdict.SUSPECT:
            self.on_trial(content)
        self._runs.begin(target, content)
        return True

    def finish_run(self, target: TargetId, content: ContentDigest) -> None:
        """Record the end of a run that `begin_run` recorded."""
        self._runs.finish(target, content)

    def record_abandoned_run(
        self,
        target: TargetId,
        content: ContentDigest,
        request: RequestId,
        is_failed: bool,
        started_at: Instant,
    ) -> None:
        """Record a run given up here that may continue at the target."""
        self.abandoned.add(
            target, content, request, is_failed, started_at, self.now()
        )

    def record_peer_losses(self, reports: Iterable[CrashReport]) -> None:
        """Record unconfirmed losses that a peer reports."""
        now = self.now()
        for report in reports:
            target = self._state.targets.targets_by_id.get(report.target)
            if target is not None:
                lost = dict.fromkeys(report.contents, RequestId(''))
                self.unconfirmed_losses.add(
                    target, lost, Instant(now - report.age)
                )

    def has_unresolved_failures(self, content: ContentDigest) -> bool:
        """Tell whether targets may still crash under failed runs."""
        count = self.abandoned.failed_run_count(content, self.now())
        is_clear = self.ledger.verdict(content) is Verdict.CLEAR
        return count >= (abandoned.MAX_FAILED_RUNS if is_clear else 1)

    def record_peer_trial(self, content: ContentDigest) -> None:
        """Hold back a suspect that a peer has sent to a target."""
        until = Instant(self.now() + PEER_TRIAL_SECONDS)
        self._held_until_by_content[content] = until

    def record_completion(self, content: ContentDigest) -> None:
        """Record that a target completed a run of a content."""
        self.unconfirmed_losses.completed(content)
        if self.ledger.completed(content, self.now()):
            log.info('Content cleared by a completed run.', content=content)
            self.on_completed(content)
        self._announce_quarantines()

    def record_peer_completion(self, content: ContentDigest) -> None:
        """Record a completed run that a peer reports."""
        self.unconfirmed_losses.completed(content)
        self.ledger.completed(content, self.now())
        self._handle_peer_quarantines()

    def set_name(self, content: ContentDigest, name: str) -> None:
        """Keep host and path of a content for logs and operators."""
        self._names_by_content[content] = name
        while len(self._names_by_content) > MAX_NAMES:
            del self._names_by_content[next(iter(self._names_by_content))]

    def name_of(self, content: ContentDigest) -> str:
        """Return host and path of a content, or an empty string."""
        return self._names_by_content.get(content, '')

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash that this instance detected and tell its peers."""
        completed = self.ledger.known_completed(report.contents, self.now())
        suspected = tuple(c for c in report.contents if c not in completed)
        if not suspected:
            return
        report_to_send = msgspec.structs.replace(report, contents=suspected)
        self.ledger.report(report_to_send, self.now())
        self.on_crash(report_to_send)
        self._announce_quarantines()

    def record_peer_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Record crashes that peers report."""
        now = self.now()
        for report in reports:
            self.ledger.report(report, now)
            self.on_peer_crash(report)
        self._handle_peer_quarantines()

    def quarantine(self, content: ContentDigest, seconds: float) -> None:
        """Quarantine a content that a peer found to crash targets."""
        self.ledger.quarantine(content, seconds, self.now())
        self._handle_peer_quarantines()

    def release(self, content: ContentDigest) -> None:
        """Release a content from quarantine."""
        self.ledger.release(content, self.now())
        self._logged.discard(content)
        log.info('Content released from quarantine.', content=content)
        self._update_gauge()

    def expire(self) -> None:
        """Remove expired quarantines and holds."""
        for content in self.ledger.expire(self.now()):
            self._logged.discard(content)
            log.info('Quarantine expired.', content=content)
        now = self.now()
        self._held_until_by_content = {
            content: until
            for content, until in self._held_until_by_content.items()
            if now < until
        }
        self._update_gauge()

    def _may_start_trial(self, content: ContentDigest) -> bool:
        if self._runs.is_running(content) or self.has_unresolved_failures(
            content
        ):
            # One run at a time limits the targets that a suspect crashes.
            return False
        now = self.now()
        return now >= self._held_until_by_content.get(content, now)

    def _announce_quarantines(self) -> None:
        for content in self._log_new_quarantines():
            self.on_quarantined(content)

    def _handle_peer_quarantines(self) -> None:
        for content in self._log_new_quarantines():
            self.on_peer_verdict(content)

    def _log_new_quarantines(self) -> list[ContentDigest]:
        """Log and return the contents that are newly quarantined."""
        new = [c for c in self.ledger.quarantined() if c not in self._logged]
        for content in new:
            log.warning(
                'Request quarantined.',
                content=content,
                request=self.name_of(content),
                targets=self.ledger.targets(content),
                seconds=self.ledger.seconds_left(content, self.now()),
            )
        self._logged = set(self.ledger.quarantined())
        self._update_gauge()
        return new

    def _update_gauge(self) -> None:
        meters.QUARANTINED.set(len(self.ledger.quarantined()))

    def now(self) -> Instant:
        return Instant(self._clock.seconds())
