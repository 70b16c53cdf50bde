"""Try quarantined contents again that have to be completed."""

from __future__ import annotations

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
    """Start trials of one service's contents and release the harmless ones."""

    def __init__(self, guard: ContentGuard) -> None:
        self._guard = guard
        self._trials = trials.Trials()

    def crashes(self, content: ContentDigest) -> int:
        """Return how many targets crashed during trials of a content."""
        return self._trials.crashes(content)

    def is_quarantined(self, content: ContentDigest) -> bool:
        """Return whether a content runs in trials only."""
        return self._guard.ledger.verdict(content) is Verdict.QUARANTINED

    def update(self, content: ContentDigest) -> None:
        """Learn the crashes under a quarantined content."""
        count, last_at = self._guard.crashes_under(content)
        self._trials.record_crashes(content, count, last_at)

    def may_start(
        self, content: ContentDigest, service: ServiceName, targets: int
    ) -> bool:
        """Return whether a content may run at one of a service's targets."""
        self.update(content)
        return (
            self._trials.may_start(content, targets, self._guard.now())
            and not self._guard.has_unresolved_failures(content)
            and self._guard.spares_last_target(content, service)
        )

    def start(self, content: ContentDigest) -> None:
        """Record the start of a trial."""
        self._trials.start(content)

    def finish(self, content: ContentDigest, is_completed: bool) -> None:
        """Record the end of a trial, and release a completed content."""
        self.update(content)
        self._trials.finish(content, is_completed, self._guard.now())
        log.info(
            'Trial ended.',
            content=content,
            is_completed=is_completed,
            crashes=self._trials.crashes(content),
        )
        if is_completed:
            self._guard.release_completed(content)

    def forget_released(self) -> None:
        """Forget the contents that are not quarantined any more."""
        self._trials.retain(self._guard.ledger.quarantined())
