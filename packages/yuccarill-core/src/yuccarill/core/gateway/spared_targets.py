"""Keep the last living target from requests under which others ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Set

    from yuccarill.core.gateway.doubts import Doubts
    from yuccarill.core.gateway.end_ledger import EndLedger
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import TargetId

# Seconds after an end in which a request that may be its cause is kept from
# the last target that lives: crashed processes are back after some seconds,
# and whoever else calls the service needs that one.
TRIAL_PAUSE = 5.0
# The same where others are as likely the cause: a sound request must not wait
# for longer than its caller can bear, 3 s.
SHARED_TRIAL_PAUSE = 2.8
# Living targets that there have to be for it to go out earlier.
TRIAL_TARGETS = 2
# Targets that ended under a request, or fell silent, before it is kept back.
LOST_TARGETS = 2
# Ends, of which some are not certain, after which a request is kept from all
# targets until the list tells.
DOUBTFUL_ENDS = 3


class SparedTargets:
    """Tell which requests would put a service's last target at risk."""

    def __init__(self, ledger: EndLedger, doubts: Doubts) -> None:
        self._ledger = ledger
        self._doubts = doubts

    def are_at_risk(
        self, content: ContentDigest, ready: Set[TargetId], now: Instant
    ) -> bool:
        """Tell whether a request has to leave the ready targets alone.

        Two ends of one moment are one chance and no proof. They are reason
        enough to keep the third target for the others meanwhile.
        """
        since = Instant(now - TRIAL_PAUSE)
        lost = self._ledger.targets_since(content, since)
        silent = {
            doubt.target.id: doubt.at
            for doubt in self._doubts.lost(content, now)
        }
        lost |= silent
        if len(lost) < LOST_TARGETS:
            return False
        is_alone = self._is_likeliest(content, since, now)
        pause = TRIAL_PAUSE if is_alone else SHARED_TRIAL_PAUSE
        if now >= max(lost.values()) + pause:
            return False
        ends = len(self._ledger.targets(content))
        if silent and len(silent) + ends >= DOUBTFUL_ENDS:
            return True
        ended = self._ledger.ended_since(since)
        living = ready - ended - self._doubts.silent_targets(now)
        return len(living) < TRIAL_TARGETS

    def _is_likeliest(
        self, content: ContentDigest, since: Instant, now: Instant
    ) -> bool:
        counts = self._ledger.counts_since(since) + self._doubts.counts(now)
        own = counts.pop(content)
        return own > max(counts.values(), default=0)
