"""Remember under which requests targets ended, and what became of these."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway import suspicion
from yuccarill.core.gateway.suspicion import Verdict
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# Ends that are kept, and contents of one end. An engine of 16 places ends
# under 16 items; 256 ends are more than a fleet of 1,300 targets has in the
# time for which they count.
MAX_ENDS = 256
MAX_CONTENTS = 64
# Seconds for which an end counts: a caller that sends such a request every
# few minutes is found, one whose target ends twice a day is not.
END_SECONDS = 1800.0
# Seconds within which the ends of two targets of one request are one moment.
# A connection's end is seen within one hop, 2 ms and up to 10 ms between
# regions, and a loop under load is some ms late; a request that ends its
# targets 50 to 350 ms after it began rarely ends two of them so close.
MOMENT_SECONDS = 0.05
# Contents of finished runs that are kept, some 200 bytes each.
MAX_COMPLETED = 1024
# Seconds after a finished run in which its content is no cause of an end. A
# request that many callers send is finished more often; one that began to
# end targets with a new version of its service is found after this time.
COMPLETED_SECONDS = 30.0
# Seconds within which reports tell of one end of a target, which is back
# after some seconds at the earliest, perhaps under the same id.
SAME_END_SECONDS = 1.5
# Contents in quarantine, and seconds that each stays there: a target's
# operators need time to mend it, and a caller that goes on meanwhile ends
# three targets an hour at most.
MAX_QUARANTINED = 512
QUARANTINE_SECONDS = 3600.0


class EndReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tell of a target that ended, and of the contents it was at work on."""

    target: TargetId
    contents: tuple[ContentDigest, ...]
    # Where they are known.
    requests_by_content: dict[ContentDigest, RequestId] = {}
    # Seconds since then, as instances share no clock.
    age: float = 0.0


class QuarantinedContent(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a content that is refused, to operators."""

    content: ContentDigest
    # Host and path, as far as the instance that tells knows them.
    request: str
    # The targets that ended under it.
    targets: tuple[TargetId, ...]
    seconds_left: float


class _End(msgspec.Struct, kw_only=True):
    """Keep one end of a target."""

    target: TargetId
    at: Instant
    # In the order in which they came, with the request of each.
    contents: dict[ContentDigest, RequestId | None]


class EndLedger:
    """Hold what this instance has seen and heard of ends."""

    def __init__(self) -> None:
        self._ends: collections.deque[_End] = collections.deque(
            maxlen=MAX_ENDS
        )
        self._completed_at: collections.OrderedDict[ContentDigest, Instant] = (
            collections.OrderedDict()
        )
        self._until_by_content: dict[ContentDigest, Instant] = {}
        self._judgement = suspicion.Judgement()

    @property
    def is_clear(self) -> bool:
        """Tell whether every request may be sent on."""
        return not self._judgement.verdicts_by_content

    def verdict(self, content: ContentDigest) -> Verdict:
        return self._judgement.verdict(content)

    def report(self, report: EndReport, now: Instant) -> None:
        """Take a report of an end, of which another one may have told."""
        at = Instant(now - report.age)
        end = self._find(report.target, at)
        if end is None:
            end = _End(target=report.target, at=at, contents={})
            self._ends.append(end)
        for content in report.contents[:MAX_CONTENTS]:
            if not self._was_completed(content, end.at):
                request = report.requests_by_content.get(content)
                end.contents[content] = request
        self._judge(now)

    def completed(self, content: ContentDigest, now: Instant) -> bool:
        """Note that a target finished a run; tell if it was suspected."""
        self._completed_at[content] = now
        self._completed_at.move_to_end(content)
        if len(self._completed_at) > MAX_COMPLETED:
            self._completed_at.popitem(last=False)
        was_suspected = self.verdict(content) in (
            Verdict.WATCHED,
            Verdict.SUSPECT,
        )
        if was_suspected:
            for end in self._ends:
                end.contents.pop(content, None)
            self._judge(now)
        return was_suspected

    def known_completed(
        self, contents: Iterable[ContentDigest], now: Instant
    ) -> tuple[ContentDigest, ...]:
        """Return the contents of which a target finished a run lately."""
        return tuple(
            content
            for content in contents
            if self._was_completed(content, now)
        )

    def quarantine(
        self, content: ContentDigest, seconds: float, now: Instant
    ) -> None:
        """Refuse a content for a time, as another instance found."""
        self._until_by_content[content] = Instant(now + seconds)
        while len(self._until_by_content) > MAX_QUARANTINED:
            del self._until_by_content[next(iter(self._until_by_content))]
        self._judge(now)

    def release(self, content: ContentDigest, now: Instant) -> None:
        """Forget what a content did, as an operator wants it."""
        self._until_by_content.pop(content, None)
        for end in self._ends:
            end.contents.pop(content, None)
        self._judge(now)

    def expire(self, now: Instant) -> list[ContentDigest]:
        """Drop what no longer counts; return what left the quarantine."""
        ended = [
            content
            for content, until in self._until_by_content.items()
            if now >= until
        ]
        for content in ended:
            self.release(content, now)
        while self._ends and now >= self._ends[0].at + END_SECONDS:
            self._ends.popleft()
            self._judge(now)
        return ended

    def seconds_left(self, content: ContentDigest, now: Instant) -> float:
        """Return how long a content will be refused."""
        until = self._until_by_content.get(content, now)
        return max(0.0, until - now)

    def targets_since(
        self, content: ContentDigest, since: Instant
    ) -> dict[TargetId, Instant]:
        """Return the targets that ended under a content, with the times."""
        return {
            end.target: end.at
            for end in self._ends
            if end.at >= since and content in end.contents
        }

    def counts_since(
        self, since: Instant
    ) -> collections.Counter[ContentDigest]:
        """Count the ends of each content at an instant or later."""
        return collections.Counter(
            content
            for end in self._ends
            if end.at >= since
            for content in end.contents
        )

    def ended_since(self, since: Instant) -> set[TargetId]:
        """Return the targets that ended at an instant or later."""
        return {end.target for end in self._ends if end.at >= since}

    def targets(self, content: ContentDigest) -> tuple[TargetId, ...]:
        """Return the targets that ended under a content."""
        return tuple(
            end.target for end in self._ends if content in end.contents
        )

    def suspects(self) -> frozenset[ContentDigest]:
        return self._judgement.suspects()

    def quarantined(self) -> Collection[ContentDigest]:
        return self._until_by_content.keys()

    def reports(self, now: Instant) -> tuple[EndReport, ...]:
        """Return what an instance has to know that has just started."""
        return tuple(
            EndReport(
                target=end.target,
                contents=tuple(end.contents),
                requests_by_content={
                    content: request
                    for content, request in end.contents.items()
                    if request is not None
                },
                age=now - end.at,
            )
            for end in self._ends
            if end.contents
        )

    def _find(self, target: TargetId, at: Instant) -> _End | None:
        for end in self._ends:
            if end.target == target and abs(end.at - at) < SAME_END_SECONDS:
                return end
        return None

    def _was_completed(self, content: ContentDigest, at: Instant) -> bool:
        completed_at = self._completed_at.get(content)
        return (
            completed_at is not None and at < completed_at + COMPLETED_SECONDS
        )

    def _judge(self, now: Instant) -> None:
        ends = [end for end in self._ends if end.contents]
        self._judgement = suspicion.judge(
            [frozenset(end.contents) for end in ends],
            self._until_by_content,
            _chances(ends),
        )
        for content, verdict in self._judgement.verdicts_by_content.items():
            if verdict is Verdict.QUARANTINED:
                until = Instant(now + QUARANTINE_SECONDS)
                self._until_by_content.setdefault(content, until)


def _chances(ends: list[_End]) -> list[dict[ContentDigest, int]]:
    """Number what counts as one for the contents of each end.

    A request may be at two targets, the second attempt beside the first. A
    service whose targets all ended in one moment had such a request two
    thirds of the way into quarantine by one chance, and the next such moment
    had it refused for an hour. What really ends its targets is found all the
    same, by one end more where both attempts ended theirs together. Ends that
    such a request joins are one for all that was there: a sound content that
    two requests have would count twice beside it.
    """
    numbers: list[int] = []
    first_by_request: dict[tuple[ContentDigest, RequestId], int] = {}
    for number, end in enumerate(ends):
        numbers.append(number)
        for content, request in end.contents.items():
            if request is None:
                continue
            first = first_by_request.setdefault((content, request), number)
            if abs(end.at - ends[first].at) < MOMENT_SECONDS:
                numbers[number] = min(numbers[number], numbers[first])
    return [
        dict.fromkeys(end.contents, chance)
        for end, chance in zip(ends, numbers, strict=True)
    ]
