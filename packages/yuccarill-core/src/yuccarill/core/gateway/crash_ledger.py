"""Record target exits and the requests that were running at each.

An end is the unexpected exit of a target process, such as a crash.
"""

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

# More ends than a fleet of 1,300 targets has in END_SECONDS.
MAX_ENDS = 256
MAX_CONTENTS_PER_END = 64
# Seconds for which an end counts; covers a request sent every few minutes and
# excludes targets that crash twice a day for another reason.
END_SECONDS = 1800.0
# Seconds within which the ends of two targets of one request are one incident.
# Covers the network and scheduling delay of detection; a request that crashes
# its targets rarely crashes two of them so close together. Detection takes 2
# to 10 ms plus some ms of a loaded event loop; a request that crashes its
# target does so 50 to 350 ms after its start.
SAME_INCIDENT_SECONDS = 0.05
MAX_COMPLETED_CONTENTS = 1024
# Seconds for which a completed run clears its content of blame for an end.
# Bounded, since a new version of the service may crash on the same content.
COMPLETED_SECONDS = 30.0
# Seconds within which reports about one target id describe the same end;
# shorter than the restart of a target, which may keep its id.
SAME_END_SECONDS = 1.5
MAX_QUARANTINED = 512
# Gives operators time for a fix and limits the crashes by a caller that keeps
# sending the request.
QUARANTINE_SECONDS = 3600.0


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the end of a target and the contents that it was running."""

    target: TargetId
    contents: tuple[ContentDigest, ...]
    # Only the contents whose request id is known.
    requests_by_content: dict[ContentDigest, RequestId] = {}
    # Seconds since the end; relative, since instances share no clock.
    age: float = 0.0


class QuarantinedContent(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a quarantined content for operators."""

    content: ContentDigest
    # Host and path, if known to the reporting instance.
    request: str
    # The targets that ended while they ran the content.
    targets: tuple[TargetId, ...]
    seconds_left: float


class _End(msgspec.Struct, kw_only=True):
    """Record one end of a target."""

    target: TargetId
    at: Instant
    # Request ids by content, in order of arrival.
    contents: dict[ContentDigest, RequestId | None]


class CrashLedger:
    """Hold the ends that this instance or its peers detected."""

    def __init__(self) -> None:
        self._ends: collections.deque[_End] = collections.deque(
            maxlen=MAX_ENDS
        )
        self._completed_at: collections.OrderedDict[ContentDigest, Instant] = (
            collections.OrderedDict()
        )
        self._quarantined_until: dict[ContentDigest, Instant] = {}
        self._judgement = suspicion.Judgement()

    @property
    def is_clear(self) -> bool:
        """Return whether no content is suspected."""
        return not self._judgement.verdicts_by_content

    def verdict(self, content: ContentDigest) -> Verdict:
        return self._judgement.verdict(content)

    def report(self, report: CrashReport, now: Instant) -> None:
        """Add a report, merged with an earlier one of the same end."""
        at = Instant(now - report.age)
        end = self._find_end(report.target, at)
        if end is None:
            end = _End(target=report.target, at=at, contents={})
            self._ends.append(end)
        for content in report.contents[:MAX_CONTENTS_PER_END]:
            if not self._was_completed(content, end.at):
                request = report.requests_by_content.get(content)
                end.contents[content] = request
        self._judge(now)

    def completed(self, content: ContentDigest, now: Instant) -> bool:
        """Record a completed run; return whether its content was suspected."""
        self._completed_at[content] = now
        self._completed_at.move_to_end(content)
        if len(self._completed_at) > MAX_COMPLETED_CONTENTS:
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
        """Return those of the contents that a target recently completed."""
        return tuple(
            content
            for content in contents
            if self._was_completed(content, now)
        )

    def quarantine(
        self, content: ContentDigest, seconds: float, now: Instant
    ) -> None:
        """Quarantine a content on the report of another instance."""
        self._quarantined_until[content] = Instant(now + seconds)
        while len(self._quarantined_until) > MAX_QUARANTINED:
            del self._quarantined_until[next(iter(self._quarantined_until))]
        self._judge(now)

    def release(self, content: ContentDigest, now: Instant) -> None:
        """Lift the quarantine of a content and remove it from all ends."""
        self._quarantined_until.pop(content, None)
        for end in self._ends:
            end.contents.pop(content, None)
        self._judge(now)

    def expire(self, now: Instant) -> list[ContentDigest]:
        """Drop expired ends and quarantines; return the released contents."""
        ended = [
            content
            for content, until in self._quarantined_until.items()
            if now >= until
        ]
        for content in ended:
            self.release(content, now)
        while self._ends and now >= self._ends[0].at + END_SECONDS:
            self._ends.popleft()
            self._judge(now)
        return ended

    def seconds_left(self, content: ContentDigest, now: Instant) -> float:
        """Return the remaining seconds of a content's quarantine."""
        until = self._quarantined_until.get(content, now)
        return max(0.0, until - now)

    def end_times_since(
        self, content: ContentDigest, since: Instant
    ) -> dict[TargetId, Instant]:
        """Return the end times of targets that ran a content, by target."""
        return {
            end.target: end.at
            for end in self._ends
            if end.at >= since and content in end.contents
        }

    def end_times(self, content: ContentDigest) -> list[Instant]:
        """Return when targets ended while they ran a content."""
        return [end.at for end in self._ends if content in end.contents]

    def counts_since(
        self, since: Instant
    ) -> collections.Counter[ContentDigest]:
        """Count the ends since an instant by content."""
        return collections.Counter(
            content
            for end in self._ends
            if end.at >= since
            for content in end.contents
        )

    def ended_since(self, since: Instant) -> set[TargetId]:
        """Return the targets that ended since an instant."""
        return {end.target for end in self._ends if end.at >= since}

    def targets(self, content: ContentDigest) -> tuple[TargetId, ...]:
        """Return the targets that ended while they ran a content."""
        return tuple(
            end.target for end in self._ends if content in end.contents
        )

    def suspects(self) -> frozenset[ContentDigest]:
        return self._judgement.suspects()

    def quarantined(self) -> Collection[ContentDigest]:
        return self._quarantined_until.keys()

    def reports(self, now: Instant) -> tuple[CrashReport, ...]:
        """Return the ends as reports that a new instance can load."""
        return tuple(
            CrashReport(
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

    def _find_end(self, target: TargetId, at: Instant) -> _End | None:
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
            self._quarantined_until,
            _incidents(ends),
        )
        for content, verdict in self._judgement.verdicts_by_content.items():
            if verdict is Verdict.QUARANTINED:
                until = Instant(now + QUARANTINE_SECONDS)
                self._quarantined_until.setdefault(content, until)


def _incidents(ends: list[_End]) -> list[dict[ContentDigest, int]]:
    """Return the incident number of each end's contents.

    A hedged request runs at two targets. If both end at the same moment for an
    unrelated reason, the two ends are one incident, so that a harmless request
    is not quarantined after two such moments. The number applies to all
    contents of these ends, so that a harmless content of two requests is not
    counted twice.
    """
    numbers: list[int] = []
    first_by_request: dict[tuple[ContentDigest, RequestId], int] = {}
    for number, end in enumerate(ends):
        numbers.append(number)
        for content, request in end.contents.items():
            if request is None:
                continue
            first = first_by_request.setdefault((content, request), number)
            if abs(end.at - ends[first].at) < SAME_INCIDENT_SECONDS:
                numbers[number] = min(numbers[number], numbers[first])
    return [
        dict.fromkeys(end.contents, incident)
        for end, incident in zip(ends, numbers, strict=True)
    ]
