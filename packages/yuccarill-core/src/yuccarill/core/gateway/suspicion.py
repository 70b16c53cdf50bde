"""Decide which requests are the cause of targets that ended."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import ContentDigest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

# Ends of targets under one content after which it is refused. Two may be
# chance: a target ends of something else, and the next one that the request
# was sent to is ended by the request beside it.
QUARANTINE_ENDS = 3
# The same where another content was there at each of these ends. One of the
# two may be without fault, and one run of each by itself tells.
SHARED_QUARANTINE_ENDS = 5
# Ends after which a content is sent on only when that can do little harm.
SUSPECT_ENDS = 2


class Verdict(enum.Enum):
    """Say how a content may be sent to targets."""

    CLEAR = 'clear'
    # A target ended under it: one attempt at a time.
    WATCHED = 'watched'
    # Two ended under it: one at a time, and never at the last target.
    SUSPECT = 'suspect'
    # Not sent any more.
    QUARANTINED = 'quarantined'


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the verdicts on all contents that are not clear."""

    verdicts_by_content: dict[ContentDigest, Verdict] = {}

    def verdict(self, content: ContentDigest) -> Verdict:
        return self.verdicts_by_content.get(content, Verdict.CLEAR)

    def suspects(self) -> frozenset[ContentDigest]:
        return frozenset(
            content
            for content, verdict in self.verdicts_by_content.items()
            if verdict is Verdict.SUSPECT
        )


class _End(NamedTuple):
    """Hold the contents of one end, each with the chance it counts for."""

    contents: frozenset[ContentDigest]
    chances: Mapping[ContentDigest, int]


def judge(
    ends: Iterable[frozenset[ContentDigest]],
    quarantined: Iterable[ContentDigest] = (),
    chances: Sequence[Mapping[ContentDigest, int]] = (),
) -> Judgement:
    """Return what is to be thought of the contents under which targets ended.

    Each end is given by the contents that the target was at work on and that
    no target has finished since. Those quarantined before explain the ends
    that they were at. The chances number for each end what
    counts as one for a content; without them each end counts.
    """
    unexplained = [
        _End(end, chances[number] if chances else dict.fromkeys(end, number))
        for number, end in enumerate(ends)
    ]
    found = set(quarantined)
    while True:
        unexplained = [e for e in unexplained if not e.contents & found]
        ends_by_content = _ends_by_content(unexplained)
        caught = _caught(ends_by_content)
        if not caught:
            break
        # The surest first: what it explains may clear the others.
        found |= caught
    verdicts = {
        content: _verdict(content, ends_by_content)
        for content in ends_by_content
    }
    verdicts.update(dict.fromkeys(found, Verdict.QUARANTINED))
    return Judgement(verdicts_by_content=verdicts)


def _ends_by_content(
    ends: list[_End],
) -> dict[ContentDigest, frozenset[int]]:
    numbers: dict[ContentDigest, set[int]] = {}
    for end in ends:
        for content in end.contents:
            numbers.setdefault(content, set()).add(end.chances[content])
    return {content: frozenset(found) for content, found in numbers.items()}


def _caught(
    ends_by_content: dict[ContentDigest, frozenset[int]],
) -> set[ContentDigest]:
    """Return the content with the most ends, if these are enough."""
    most_first = sorted(
        ends_by_content, key=lambda c: (-len(ends_by_content[c]), c)
    )
    for content in most_first:
        count = len(ends_by_content[content])
        if count < QUARANTINE_ENDS:
            return set()
        rivals = _rivals(content, ends_by_content)
        if not rivals or count >= SHARED_QUARANTINE_ENDS:
            return {content, *rivals}
    return set()


def _rivals(
    content: ContentDigest,
    ends_by_content: dict[ContentDigest, frozenset[int]],
) -> list[ContentDigest]:
    """Return the contents that are as likely the cause of one's ends.

    They were at as many ends, and too few of this one's are left without
    them. Whichever of two is without fault is told by a run of each by
    itself.
    """
    own = ends_by_content[content]
    return [
        other
        for other, numbers in ends_by_content.items()
        if other != content
        and len(numbers) >= len(own)
        and len(own - numbers) < QUARANTINE_ENDS
    ]


def _verdict(
    content: ContentDigest,
    ends_by_content: dict[ContentDigest, frozenset[int]],
) -> Verdict:
    own = ends_by_content[content]
    if len(own) < SUSPECT_ENDS:
        return Verdict.WATCHED
    # Another one that was there each time, and at more ends besides, is the
    # likelier cause; this one goes on being served.
    is_behind = any(own < numbers for numbers in ends_by_content.values())
    return Verdict.WATCHED if is_behind else Verdict.SUSPECT
