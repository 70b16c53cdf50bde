"""Keep requests apart that may be the cause of ended targets."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


class Parting:
    """Track which targets run contents that are not clear.

    Contents that ended a target together end the next one together too, and
    look alike, unless each goes to another target.
    """

    def __init__(self) -> None:
        self._runs_by_target: dict[
            TargetId, collections.Counter[ContentDigest]
        ] = {}

    def begin(self, target: TargetId, content: ContentDigest) -> None:
        """Note that a target begins a run of a content."""
        running = self._runs_by_target.setdefault(
            target, collections.Counter()
        )
        running[content] += 1

    def finish(self, target: TargetId, content: ContentDigest) -> None:
        """Note that a run which was noted is over."""
        running = self._runs_by_target[target]
        running[content] -= 1
        if not running[content]:
            del running[content]
        if not running:
            del self._runs_by_target[target]

    def is_running(self, content: ContentDigest) -> bool:
        """Tell whether any target runs a content."""
        return any(
            content in running for running in self._runs_by_target.values()
        )

    def others(self, content: ContentDigest) -> Mapping[TargetId, int]:
        """Count the other contents at each target that has any."""
        return {
            target: count
            for target, running in self._runs_by_target.items()
            if (count := len(running) - (content in running))
        }

    def targets_with(
        self, contents: Collection[ContentDigest]
    ) -> frozenset[TargetId]:
        """Return the targets that run one of some contents."""
        return frozenset(
            target
            for target, running in self._runs_by_target.items()
            if not running.keys().isdisjoint(contents)
        )
