"""Track lost connections whose target process may have exited.

A loss is unconfirmed if the port is open: the process may have been replaced.
"""

from __future__ import annotations

import collections

import msgspec

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

# Seconds for which a loss is kept until the replacement process is listed. The
# replacement is listed some 4 s after the loss.
UNCONFIRMED_SECONDS = 8.0
# Bounds memory if the network drops many connections.
MAX_LOSSES = 256
# Seconds within which all connections of an exited process break. Requests
# lost later, without a response in between, never reached a process.
SAME_EXIT_SECONDS = 0.1


class UnconfirmedLoss(msgspec.Struct, kw_only=True):
    """Describe requests lost at a target whose process may have exited."""

    target: ListedTarget
    requests_by_content: dict[ContentDigest, RequestId]
    at: Instant
    # The target has not responded since the loss.
    is_silent: bool = True


class UnconfirmedLosses:
    """Hold losses until the target list confirms an exit or they expire."""

    def __init__(self) -> None:
        self._losses: collections.deque[UnconfirmedLoss] = collections.deque(
            maxlen=MAX_LOSSES
        )

    @property
    def is_empty(self) -> bool:
        return not self._losses

    def add(
        self,
        target: ListedTarget,
        requests_by_content: dict[ContentDigest, RequestId],
        at: Instant,
    ) -> None:
        """Record requests lost at a target whose port is open."""
        self._expire(at)
        if any(
            loss.is_silent
            and loss.target.id == target.id
            and at >= loss.at + SAME_EXIT_SECONDS
            for loss in self._losses
        ):
            return
        self._losses.append(
            UnconfirmedLoss(
                target=target,
                requests_by_content=requests_by_content,
                at=at,
            )
        )

    def record_response(self, target: TargetId) -> None:
        """Record that a target responded."""
        for loss in self._losses:
            if loss.target.id == target:
                loss.is_silent = False

    def completed(self, content: ContentDigest) -> None:
        """Remove a content that a target completed from all losses."""
        for loss in self._losses:
            loss.requests_by_content.pop(content, None)

    def pop_confirmed(
        self, target: ListedTarget, now: Instant
    ) -> list[UnconfirmedLoss]:
        """Remove and return the losses at a listed target's predecessor."""
        self._expire(now)
        found = [loss for loss in self._losses if _precedes(loss, target)]
        for loss in found:
            self._losses.remove(loss)
        return found

    def silent_targets(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets that have not responded since a loss."""
        self._expire(now)
        return frozenset(
            loss.target.id for loss in self._losses if loss.is_silent
        )

    def losses_of(
        self, content: ContentDigest, now: Instant
    ) -> list[UnconfirmedLoss]:
        """Return the losses at silent targets that include a content."""
        self._expire(now)
        return [
            loss
            for loss in self._losses
            if loss.is_silent and content in loss.requests_by_content
        ]

    def counts(self, now: Instant) -> collections.Counter[ContentDigest]:
        """Count the losses at silent targets by content."""
        self._expire(now)
        return collections.Counter(
            content
            for loss in self._losses
            if loss.is_silent
            for content in loss.requests_by_content
        )

    def reports(
        self, content: ContentDigest, now: Instant
    ) -> tuple[CrashReport, ...]:
        """Return the losses of a content as reports for other instances."""
        return tuple(
            CrashReport(
                target=loss.target.id,
                contents=(content,),
                age=now - loss.at,
            )
            for loss in self.losses_of(content, now)
        )

    def _expire(self, now: Instant) -> None:
        while self._losses and now >= self._losses[0].at + UNCONFIRMED_SECONDS:
            self._losses.popleft()


def _precedes(loss: UnconfirmedLoss, target: ListedTarget) -> bool:
    if loss.target.address != target.address:
        return False
    is_same = loss.target.id == target.id
    return not (is_same and loss.target.is_same_start(target))
