"""Track lost connections whose target process may have exited.

A doubt is a lost connection to a target whose port is still open, so that it
is unknown whether the target process exited.
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

# Seconds for which a doubt waits for the replacement process to be listed.
DOUBT_SECONDS = 8.0
# Bounds memory while the network drops many connections.
MAX_DOUBTS = 256
# Seconds within which all connections of an exited process break. Requests
# that are lost later, at a target still silent, never reached a process.
LOSS_SECONDS = 0.1


class UnconfirmedLoss(msgspec.Struct, kw_only=True):
    """Describe requests lost at a target whose process may have exited."""

    target: ListedTarget
    requests_by_content: dict[ContentDigest, RequestId]
    at: Instant
    # The target has not responded since the loss.
    is_silent: bool = True


class UnconfirmedLosses:
    """Hold the doubts until the target list confirms or refutes an exit."""

    def __init__(self) -> None:
        self._doubts: collections.deque[UnconfirmedLoss] = collections.deque(
            maxlen=MAX_DOUBTS
        )

    @property
    def is_empty(self) -> bool:
        return not self._doubts

    def add(
        self,
        target: ListedTarget,
        requests_by_content: dict[ContentDigest, RequestId],
        at: Instant,
    ) -> None:
        """Record requests lost at a target whose port is open."""
        self._expire(at)
        if any(
            doubt.is_silent
            and doubt.target.id == target.id
            and at >= doubt.at + LOSS_SECONDS
            for doubt in self._doubts
        ):
            return
        self._doubts.append(
            UnconfirmedLoss(
                target=target,
                requests_by_content=requests_by_content,
                at=at,
            )
        )

    def record_response(self, target: TargetId) -> None:
        """Record that a target responded."""
        for doubt in self._doubts:
            if doubt.target.id == target:
                doubt.is_silent = False

    def completed(self, content: ContentDigest) -> None:
        """Drop a content that a target completed from all doubts."""
        for doubt in self._doubts:
            doubt.requests_by_content.pop(content, None)

    def pop_confirmed(
        self, target: ListedTarget, now: Instant
    ) -> list[UnconfirmedLoss]:
        """Remove and return the doubts about a listed target's predecessor."""
        self._expire(now)
        found = [doubt for doubt in self._doubts if _precedes(doubt, target)]
        for doubt in found:
            self._doubts.remove(doubt)
        return found

    def silent_targets(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets that have not responded since a loss."""
        self._expire(now)
        return frozenset(e.target.id for e in self._doubts if e.is_silent)

    def losses_of(
        self, content: ContentDigest, now: Instant
    ) -> list[UnconfirmedLoss]:
        """Return the doubts at silent targets that include a content."""
        self._expire(now)
        return [
            doubt
            for doubt in self._doubts
            if doubt.is_silent and content in doubt.requests_by_content
        ]

    def counts(self, now: Instant) -> collections.Counter[ContentDigest]:
        """Count the doubts at silent targets by content."""
        self._expire(now)
        return collections.Counter(
            content
            for doubt in self._doubts
            if doubt.is_silent
            for content in doubt.requests_by_content
        )

    def reports(
        self, content: ContentDigest, now: Instant
    ) -> tuple[CrashReport, ...]:
        """Return the doubts about a content as reports for other instances."""
        return tuple(
            CrashReport(
                target=doubt.target.id,
                contents=(content,),
                age=now - doubt.at,
            )
            for doubt in self.losses_of(content, now)
        )

    def _expire(self, now: Instant) -> None:
        while self._doubts and now >= self._doubts[0].at + DOUBT_SECONDS:
            self._doubts.popleft()


def _precedes(doubt: UnconfirmedLoss, target: ListedTarget) -> bool:
    if doubt.target.address != target.address:
        return False
    is_same = doubt.target.id == target.id
    return not (is_same and doubt.target.is_same_start(target))
