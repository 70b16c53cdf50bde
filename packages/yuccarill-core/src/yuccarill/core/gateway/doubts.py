"""Remember lost connections whose target may have ended behind its port."""

from __future__ import annotations

import collections

import msgspec

from yuccarill.core.gateway.end_ledger import EndReport
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

# Seconds for which a lost connection waits for word that its process ended:
# another one is there and listed some 4 s after it.
LISTED_SECONDS = 8.0
# Losses that wait so; a network that cuts connections makes many.
MAX_DOUBTS = 256
# Seconds within which the connections of one process break. What is lost at a
# silent target later met no process.
LOSS_SECONDS = 0.1


class Doubt(msgspec.Struct, kw_only=True):
    """Keep a loss whose process may have ended all the same."""

    target: ListedTarget
    requests_by_content: dict[ContentDigest, RequestId]
    at: Instant
    # Nothing was answered there since.
    is_silent: bool = True


class Doubts:
    """Hold the losses that may be ends, until the list tells."""

    def __init__(self) -> None:
        self._doubts: collections.deque[Doubt] = collections.deque(
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
        """Note calls that were lost at a target whose port is open."""
        self._expire(at)
        if any(
            each.is_silent
            and each.target.id == target.id
            and at >= each.at + LOSS_SECONDS
            for each in self._doubts
        ):
            return
        self._doubts.append(
            Doubt(
                target=target,
                requests_by_content=requests_by_content,
                at=at,
            )
        )

    def answered(self, target: TargetId) -> None:
        """Note that a target lives."""
        for doubt in self._doubts:
            if doubt.target.id == target:
                doubt.is_silent = False

    def completed(self, content: ContentDigest) -> None:
        """Note that a target finished a run of a content."""
        for doubt in self._doubts:
            doubt.requests_by_content.pop(content, None)

    def settle(self, target: ListedTarget, now: Instant) -> list[Doubt]:
        """Return and forget the losses of the process before a new one."""
        self._expire(now)
        found = [each for each in self._doubts if _is_before(each, target)]
        for each in found:
            self._doubts.remove(each)
        return found

    def silent_targets(self, now: Instant) -> frozenset[TargetId]:
        """Return the targets that answered nothing since a loss."""
        self._expire(now)
        return frozenset(e.target.id for e in self._doubts if e.is_silent)

    def lost(self, content: ContentDigest, now: Instant) -> list[Doubt]:
        """Return the losses of a content at targets that are silent."""
        self._expire(now)
        return [
            each
            for each in self._doubts
            if each.is_silent and content in each.requests_by_content
        ]

    def counts(self, now: Instant) -> collections.Counter[ContentDigest]:
        """Count the losses of each content at targets that are silent."""
        self._expire(now)
        return collections.Counter(
            content
            for each in self._doubts
            if each.is_silent
            for content in each.requests_by_content
        )

    def reports(
        self, content: ContentDigest, now: Instant
    ) -> tuple[EndReport, ...]:
        """Return the losses of a content in the form that is told."""
        return tuple(
            EndReport(
                target=each.target.id,
                contents=(content,),
                age=now - each.at,
            )
            for each in self.lost(content, now)
        )

    def _expire(self, now: Instant) -> None:
        while self._doubts and now >= self._doubts[0].at + LISTED_SECONDS:
            self._doubts.popleft()


def _is_before(doubt: Doubt, target: ListedTarget) -> bool:
    if doubt.target.address != target.address:
        return False
    is_same = doubt.target.id == target.id
    return not (is_same and doubt.target.is_same_start(target))
