"""Say whether a request may be sent on, by what its like did to targets."""

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
from yuccarill.core.gateway import unconfirmed_losses
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

# Seconds after which a suspect that was held back may come again.
TRIAL_RETRY = 1.0
# Seconds for which a suspect is held back that another instance has just sent
# on. With eight instances a simulated caller ended 3.4 of six targets instead
# of 4.1, the mean of ten plays (tools/measure_crashes.py).
TRIAL_SECONDS = 1.0
# Ended targets that a refusal names.
SHOWN_TARGETS = 3
# Contents whose host and path are kept for people to read.
MAX_NAMES = 1024


class ContentGuard:
    """Hold requests back that ended their targets."""

    def __init__(
        self,
        state: GatewayState,
        clock: Any,
        ledger: crash_ledger.CrashLedger | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self.ledger = ledger or crash_ledger.CrashLedger()
        # Called with what this instance has seen, and the others have not.
        self.on_end: Callable[[CrashReport], None] = lambda report: None
        self.on_doubted: Callable[[tuple[CrashReport, ...]], None] = (
            lambda reports: None
        )
        self.on_completed: Callable[[ContentDigest], None] = lambda c: None
        self.on_trial: Callable[[ContentDigest], None] = lambda c: None
        self.on_quarantined: Callable[[ContentDigest], None] = lambda c: None
        # Called with what others have found.
        self.on_learnt: Callable[[ContentDigest], None] = lambda c: None
        # Called with ends that others have seen.
        self.on_end_learnt: Callable[[CrashReport], None] = lambda report: None
        # Contents that are not clear and run for this instance.
        self._parting = suspect_runs.SuspectRuns()
        self.abandoned = abandoned.AbandonedRuns()
        self.doubts = unconfirmed_losses.UnconfirmedLosses()
        self._spared = last_target_guard.LastTargetGuard(
            self.ledger, self.doubts
        )
        # Until when suspects are held back that others have sent on.
        self._tried_until: dict[ContentDigest, Instant] = {}
        self._names_by_content: dict[ContentDigest, str] = {}
        self._known: set[ContentDigest] = set()

    def admit(self, content: ContentDigest, service: ServiceName) -> None:
        """Let a content be sent on now.

        Raises RequestQuarantined if it may not.
        """
        if self.is_admitted(content, service):
            return
        verdict = self.ledger.verdict(content)
        meters.HELD_BACK.labels(verdict.value).inc()
        seconds = TRIAL_RETRY
        if verdict is Verdict.QUARANTINED:
            seconds = self.ledger.seconds_left(content, self.now())
        targets = ', '.join(self.ledger.targets(content)[-SHOWN_TARGETS:])
        raise errors.RequestQuarantined(
            f'The request was not run: targets ended under its like '
            f'(content {content}: {targets or "seen elsewhere"}).',
            seconds,
        )

    def is_admitted(
        self, content: ContentDigest, service: ServiceName
    ) -> bool:
        """Tell whether a content may be sent on now."""
        verdict = self.ledger.verdict(content)
        if verdict is Verdict.QUARANTINED:
            return False
        if verdict is Verdict.SUSPECT and not self._may_try(content):
            return False
        if verdict is Verdict.CLEAR and self.doubts.is_empty:
            return True
        ready = self._state.targets.ready(service).keys()
        return not self._spared.must_hold(content, ready, self.now())

    def elsewhere(self, content: ContentDigest) -> frozenset[TargetId]:
        """Return the targets that a content had better not share.

        A request that was beside the cause of an end would be beside it at
        the next target too, where both are sent at once, and look the same.
        """
        return frozenset(self.others(content))

    def may_run_twice(self, content: ContentDigest) -> bool:
        """Tell whether two targets may run a content at once."""
        is_clear = self.ledger.verdict(content) is Verdict.CLEAR
        return is_clear and not self.doubts.losses_of(content, self.now())

    def others(self, content: ContentDigest) -> Mapping[TargetId, int]:
        """Count the contents at each target that a content might end with."""
        return (
            {}
            if self.ledger.is_clear
            else self._parting.other_counts_by_target(content)
        )

    def barred(self, content: ContentDigest) -> frozenset[TargetId]:
        """Return the targets that a content may not share.

        Two suspects that run beside each other would tell nothing.
        """
        if self.ledger.verdict(content) is not Verdict.SUSPECT:
            return frozenset()
        return self._parting.targets_with(self.ledger.suspects() - {content})

    def begin(self, target: TargetId, content: ContentDigest) -> bool:
        """Note a run of a content that is not clear; tell if it was noted."""
        verdict = self.ledger.verdict(content)
        if verdict is Verdict.CLEAR:
            return False
        if verdict is Verdict.SUSPECT:
            self.on_trial(content)
        self._parting.begin(target, content)
        return True

    def finish(self, target: TargetId, content: ContentDigest) -> None:
        """Note that a run which was noted is over."""
        self._parting.finish(target, content)

    def gave_up(
        self,
        target: TargetId,
        content: ContentDigest,
        request: RequestId,
        is_failed: bool,
        began_at: Instant,
    ) -> None:
        """Note a run that is broken off here, and may go on there."""
        self.abandoned.add(
            target, content, request, is_failed, began_at, self.now()
        )

    def doubted_elsewhere(self, reports: Iterable[CrashReport]) -> None:
        """Take calls that another instance lost."""
        now = self.now()
        for report in reports:
            target = self._state.targets.targets_by_id.get(report.target)
            if target is not None:
                lost = dict.fromkeys(report.contents, RequestId(''))
                self.doubts.add(target, lost, Instant(now - report.age))

    def is_unsettled(self, content: ContentDigest) -> bool:
        """Tell whether targets may yet end under runs that failed."""
        count = self.abandoned.failed_run_count(content, self.now())
        is_clear = self.ledger.verdict(content) is Verdict.CLEAR
        return count >= (abandoned.MAX_FAILED_RUNS if is_clear else 1)

    def tried_elsewhere(self, content: ContentDigest) -> None:
        """Hold a suspect back that another instance has sent on."""
        until = Instant(self.now() + TRIAL_SECONDS)
        self._tried_until[content] = until

    def completed(self, content: ContentDigest) -> None:
        """Note that a target finished a run of a content."""
        self.doubts.completed(content)
        if self.ledger.completed(content, self.now()):
            log.info('Cleared by a finished run.', content=content)
            self.on_completed(content)
        self._tell_quarantined()

    def completed_elsewhere(self, content: ContentDigest) -> None:
        """Take a run that a target finished for another instance."""
        self.doubts.completed(content)
        self.ledger.completed(content, self.now())
        self._note_learnt()

    def name(self, content: ContentDigest, name: str) -> None:
        """Keep host and path of a content for people to read."""
        self._names_by_content[content] = name
        while len(self._names_by_content) > MAX_NAMES:
            del self._names_by_content[next(iter(self._names_by_content))]

    def name_of(self, content: ContentDigest) -> str:
        """Return host and path of a content, as far as they are known."""
        return self._names_by_content.get(content, '')

    def target_ended(self, report: CrashReport) -> None:
        """Take an end that this instance has seen, and tell the others."""
        completed = self.ledger.known_completed(report.contents, self.now())
        suspected = tuple(c for c in report.contents if c not in completed)
        if not suspected:
            return
        told = msgspec.structs.replace(report, contents=suspected)
        self.ledger.report(told, self.now())
        self.on_end(told)
        self._tell_quarantined()

    def take(self, reports: Iterable[CrashReport]) -> None:
        """Take ends that others have seen."""
        now = self.now()
        for report in reports:
            self.ledger.report(report, now)
            self.on_end_learnt(report)
        self._note_learnt()

    def quarantine(self, content: ContentDigest, seconds: float) -> None:
        """Refuse a content that another instance found to be a cause."""
        self.ledger.quarantine(content, seconds, self.now())
        self._note_learnt()

    def release(self, content: ContentDigest) -> None:
        """Let a content be sent on again."""
        self.ledger.release(content, self.now())
        self._known.discard(content)
        log.info('Released.', content=content)
        self._count()

    def expire(self) -> None:
        """Drop what no longer counts."""
        for content in self.ledger.expire(self.now()):
            self._known.discard(content)
            log.info('Quarantine over.', content=content)
        now = self.now()
        self._tried_until = {
            content: until
            for content, until in self._tried_until.items()
            if now < until
        }
        self._count()

    def _may_try(self, content: ContentDigest) -> bool:
        if self._parting.is_running(content) or self.is_unsettled(content):
            # One run tells as much as two, and ends one target less.
            return False
        now = self.now()
        return now >= self._tried_until.get(content, now)

    def _tell_quarantined(self) -> None:
        for content in self._note_quarantined():
            self.on_quarantined(content)

    def _note_learnt(self) -> None:
        for content in self._note_quarantined():
            self.on_learnt(content)

    def _note_quarantined(self) -> list[ContentDigest]:
        """Log what is newly refused, and return it."""
        new = [c for c in self.ledger.quarantined() if c not in self._known]
        for content in new:
            log.warning(
                'Request quarantined.',
                content=content,
                request=self.name_of(content),
                targets=self.ledger.targets(content),
                seconds=self.ledger.seconds_left(content, self.now()),
            )
        self._known = set(self.ledger.quarantined())
        self._count()
        return new

    def _count(self) -> None:
        meters.QUARANTINED.set(len(self.ledger.quarantined()))

    def now(self) -> Instant:
        return Instant(self._clock.seconds())
