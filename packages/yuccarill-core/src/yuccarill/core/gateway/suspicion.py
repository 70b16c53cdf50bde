"""Decide which contents are the likely cause of target crashes.

An end is the unexpected exit of a target process, such as a crash.
"""

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

# Ends after which a content that was running at each is quarantined. Two may
# be a coincidence: each of the two ends may have a different cause.
QUARANTINE_ENDS = 3
# Replaces QUARANTINE_ENDS if another content is equally likely the cause: one
# of the two may be harmless, and running each alone finds the cause.
SHARED_QUARANTINE_ENDS = 5
# Ends after which a content is not sent to the last live target.
SUSPECT_ENDS = 2


class Verdict(enum.Enum):
    """State how a content may be sent to targets."""

    CLEAR = 'clear'
    # Was running at one end, or is unlikely the cause: one attempt at a time.
    WATCHED = 'watched'
    # Was running at more ends: one at a time, never at the last target.
    SUSPECT = 'suspect'
    # Not sent to any target.
    QUARANTINED = 'quarantined'


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the verdicts on all contents except the clear ones."""

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
    """Hold the contents of one end and the incident it counts for."""

    contents: frozenset[ContentDigest]
    incidents: Mapping[ContentDigest, int]


def judge(
    ends: Iterable[frozenset[ContentDigest]],
    quarantined: Iterable[ContentDigest] = (),
    incidents: Sequence[Mapping[ContentDigest, int]] = (),
) -> Judgement:
    """Return the verdicts on the contents that were running at ends.

    Each end is given by the contents that the target was running and that no
    target has completed since. An end with a quarantined content is explained
    and does not count for other contents. `incidents` has the incident number
    of each end by content; a content counts once per incident. Without it,
    each end is an incident.
    """
    unexplained = [
        _End(end, incidents[i] if incidents else dict.fromkeys(end, i))
        for i, end in enumerate(ends)
    ]
    found = set(quarantined)
    while True:
        unexplained = [e for e in unexplained if not e.contents & found]
        ends_by_content = _ends_by_content(unexplained)
        to_quarantine = _contents_to_quarantine(ends_by_content)
        if not to_quarantine:
            break
        # Repeated, since the ends of these contents stop counting for others.
        found |= to_quarantine
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
            numbers.setdefault(content, set()).add(end.incidents[content])
    return {content: frozenset(found) for content, found in numbers.items()}


def _contents_to_quarantine(
    ends_by_content: dict[ContentDigest, frozenset[int]],
) -> set[ContentDigest]:
    """Return the likeliest content with enough ends, and its rivals."""
    by_end_count = sorted(
        ends_by_content, key=lambda c: (-len(ends_by_content[c]), c)
    )
    for content in by_end_count:
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
    """Return the contents that are equally likely the cause of the same ends.

    A rival was running at no fewer ends, and the content was running at fewer
    than QUARANTINE_ENDS ends without it. Running each alone finds the cause.
    """
    own = ends_by_content[content]
    return [
        other
        for other, ends in ends_by_content.items()
        if other != content
        and len(ends) >= len(own)
        and len(own - ends) < QUARANTINE_ENDS
    ]


def _verdict(
    content: ContentDigest,
    ends_by_content: dict[ContentDigest, frozenset[int]],
) -> Verdict:
    own = ends_by_content[content]
    if len(own) < SUSPECT_ENDS:
        return Verdict.WATCHED
    # Another content that was running at all these ends and at further ones is
    # the likelier cause.
    is_unlikely = any(own < ends for ends in ends_by_content.values())
    return Verdict.WATCHED if is_unlikely else Verdict.SUSPECT
