"""Try quarantined contents again that have to be completed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.gateway import trials
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard

log = logs.for_part('quarantine')


class ContentTrials:
    """Start trials of contents, by service, and release the harmless ones."""

    def __init__(self, guard: ContentGuard) -> None:
        self._guard = guard
        self._trials_by_service: dict[ServiceName, trials.Trials] = (
            collections.defaultdict(trials.Trials)
        )

    def crashes(self, content: ContentDigest, service: ServiceName) -> int:
        """Return how many targets crashed during trials of a content."""
        return self._trials_by_service[service].crashes(content)

    def is_quarantined(self, content: ContentDigest) -> bool:
        """Return whether a content runs in trials only."""
        return self._guard.ledger.verdict(content) is Verdict.QUARANTINED

    def update(self, content: ContentDigest, service: ServiceName) -> None:
        """Learn the crashes under a quarantined content."""
        count, last_at = self._guard.crashes_under(content)
        self._trials_by_service[service].record_crashes(
            content, count, last_at
        )

    def may_start(
        self, content: ContentDigest, service: ServiceName, targets: int
    ) -> bool:
        """Return whether a content may run at one of a service's targets."""
        self.update(content, service)
        return (
            self._trials_by_service[service].may_start(
                content, targets, self._guard.now()
            )
            and not self._guard.has_unresolved_failures(content)
            and self._guard.spares_last_target(content, service)
        )

    def is_overdue(self, content: ContentDigest, service: ServiceName) -> bool:
        """Return whether a content no longer waits for other contents."""
        return self._trials_by_service[service].is_overdue(
            content, self._guard.now()
        )

    def start(self, content: ContentDigest, service: ServiceName) -> None:
        """Record the start of a trial."""
        self._trials_by_service[service].start(content)

    def finish(
        self,
        content: ContentDigest,
        service: ServiceName,
        end: trials.TrialEnd,
    ) -> None:
        """Record the end of a trial, and release a completed content."""
        self.update(content, service)
        self._trials_by_service[service].finish(
            content, end, self._guard.now()
        )
        log.info(
            'Trial ended.',
            content=content,
            service=service,
            end=end.value,
            crashes=self.crashes(content, service),
        )
        if end is trials.TrialEnd.COMPLETED:
            self._guard.release_completed(content)

    def forget_released(self) -> None:
        """Forget the contents that are not quarantined any more."""
        quarantined = self._guard.ledger.quarantined()
        for each in self._trials_by_service.values():
            each.retain(quarantined)
