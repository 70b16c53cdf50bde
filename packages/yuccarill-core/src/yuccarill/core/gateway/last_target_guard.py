"""Protect the last live target from requests that may crash it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Set

    from yuccarill.core.gateway.crash_ledger import CrashLedger
    from yuccarill.core.gateway.unconfirmed_losses import UnconfirmedLosses
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import TargetId

# Seconds after a crash in which a request that may be its cause is not sent to
# the last live target; crashed targets restart within this time, and other
# clients need the live one.
HOLD_SECONDS = 5.0
# Replaces HOLD_SECONDS if another request is at least as likely the cause;
# shorter than a caller's timeout, since the request may be harmless.
SHARED_HOLD_SECONDS = 2.8
# A request is not held while at least this many targets are live.
MIN_LIVE_TARGETS = 2
# A request is not held before this many targets were lost while they ran it.
LOST_TARGETS = 2
# A request is held from all live targets once this many were lost while they
# ran it, at least one of them without a confirmed exit.
UNCONFIRMED_LOSSES = 3


class LastTargetGuard:
    """Decide which requests put a service's last live target at risk."""

    def __init__(self, ledger: CrashLedger, losses: UnconfirmedLosses) -> None:
        self._ledger = ledger
        self._losses = losses

    def must_hold(
        self, content: ContentDigest, ready: Set[TargetId], now: Instant
    ) -> bool:
        """Return whether a request must not be sent to the ready targets.

        Two simultaneous exits do not prove that the request is the cause, but
        are reason enough to keep the last live target for other clients.
        """
        since = Instant(now - HOLD_SECONDS)
        lost = self._ledger.end_times_since(content, since)
        silent = {
            loss.target.id: loss.at
            for loss in self._losses.losses_of(content, now)
        }
        lost |= silent
        if len(lost) < LOST_TARGETS:
            return False
        is_likeliest = self._is_likeliest(content, since, now)
        hold_seconds = HOLD_SECONDS if is_likeliest else SHARED_HOLD_SECONDS
        if now >= max(lost.values()) + hold_seconds:
            return False
        end_count = len(self._ledger.targets(content))
        if silent and len(silent) + end_count >= UNCONFIRMED_LOSSES:
            return True
        ended = self._ledger.ended_since(since)
        live = ready - ended - self._losses.silent_targets(now)
        return len(live) < MIN_LIVE_TARGETS

    def _is_likeliest(
        self, content: ContentDigest, since: Instant, now: Instant
    ) -> bool:
        counts = self._ledger.counts_since(since) + self._losses.counts(now)
        own_count = counts.pop(content)
        return own_count > max(counts.values(), default=0)
