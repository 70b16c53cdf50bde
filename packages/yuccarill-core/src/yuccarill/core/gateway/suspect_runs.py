"""Track suspected contents so that each runs at a different target."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping


class SuspectRuns:
    """Track which targets run suspected contents.

    The cause of a crash among contents that ran together is only found if
    each of them is sent to a different target.
    """

    def __init__(self) -> None:
        self._runs_by_target: dict[
            TargetId, collections.Counter[ContentDigest]
        ] = {}

    def begin(self, target: TargetId, content: ContentDigest) -> None:
        """Record the start of a run of a content at a target."""
        running = self._runs_by_target.setdefault(
            target, collections.Counter()
        )
        running[content] += 1

    def finish(self, target: TargetId, content: ContentDigest) -> None:
        """Record the end of a run passed to `begin`."""
        running = self._runs_by_target[target]
        running[content] -= 1
        if not running[content]:
            del running[content]
        if not running:
            del self._runs_by_target[target]

    def is_running(self, content: ContentDigest) -> bool:
        """Return whether any target runs a content."""
        return any(
            content in running for running in self._runs_by_target.values()
        )

    def other_counts_by_target(
        self, content: ContentDigest
    ) -> Mapping[TargetId, int]:
        """Count the other contents by target; omit targets without any."""
        return {
            target: count
            for target, running in self._runs_by_target.items()
            if (count := len(running) - (content in running))
        }

    def targets_with(
        self, contents: Collection[ContentDigest]
    ) -> frozenset[TargetId]:
        """Return the targets that run any of the given contents."""
        return frozenset(
            target
            for target, running in self._runs_by_target.items()
            if not running.keys().isdisjoint(contents)
        )
