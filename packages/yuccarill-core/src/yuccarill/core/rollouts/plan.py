"""Which places of a step wait, run or are done."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core.rollouts import engines as engines_module
from yuccarill.core.rollouts import sample as sample_module

if TYPE_CHECKING:
    from yuccarill.core.ids import GroupNumber
    from yuccarill.core.ids import Instant
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.sample import Span
    from yuccarill.core.rollouts.work import StepWork


MIN_SECONDS = 0.001


class Attempt:
    """Be one generation of one sample on one engine."""

    __slots__ = (
        'number',
        'plan',
        'place',
        'engine',
        'spans',
        'started_at',
        'made',
    )

    def __init__(
        self,
        number: int,
        plan: StepPlan,
        place: Place,
        engine: TargetId,
        spans: tuple[Span, ...],
        started_at: Instant,
    ) -> None:
        self.number = number
        self.plan = plan
        self.place = place
        self.engine = engine
        # What this and earlier attempts have made, with its versions.
        self.spans = spans
        self.started_at = started_at
        # Tokens that this attempt itself has made.
        self.made = 0

    def rate(self, now: Instant) -> float:
        """Return the tokens a second since the start."""
        return self.made / max(now - self.started_at, MIN_SECONDS)

    @property
    def oldest_version(self) -> WeightVersion | None:
        return self.spans[0].weight_version if self.spans else None


class StepPlan:
    """Hold the places of one step that are not filled yet."""

    def __init__(self, work: StepWork, finish_tag: float) -> None:
        self.work = work
        # Adding up the groups at each decision would cost more the larger
        # the step.
        self.size = work.request.size
        # Steps are served in the order of their virtual finish.
        self.finish_tag = finish_tag
        self.attempts_by_place: dict[Place, list[Attempt]] = {}
        self.spans_by_place: dict[Place, tuple[Span, ...]] = {}
        self.failures_by_place: collections.Counter[Place] = (
            collections.Counter()
        )
        self._waiting_by_group: dict[GroupNumber, list[Place]] = {}
        # Those of which no engine has the prompt yet, the next one last.
        self._untouched: list[GroupNumber] = []
        self._prefixes = [
            engines_module.prefix_key(group.prompt)
            for group in work.request.groups
        ]
        self.unfilled: set[Place] = set()
        for place in work.missing():
            self.add(place)
        self._untouched = list(reversed(self._waiting_by_group))

    @property
    def has_waiting(self) -> bool:
        return bool(self._waiting_by_group)

    def prefix(self, place: Place) -> int:
        """Return the key of a place's prompt."""
        return self._prefixes[place.group]

    def add(self, place: Place, spans: tuple[Span, ...] = ()) -> None:
        """Let a place wait, with what was made of it so far."""
        self.unfilled.add(place)
        if spans:
            self.spans_by_place[place] = spans
        waiting = self._waiting_by_group.setdefault(place.group, [])
        if place not in waiting:
            waiting.append(place)

    def head(self, warm: GroupNumber | None = None) -> Place:
        """Return the place to start next, of the warm group if it waits.

        Else one of a group that no engine has begun, so that the engines
        which have begun the others find them when they are free again.
        """
        group = warm
        if group is None or group not in self._waiting_by_group:
            group = self._next_group()
        return self._waiting_by_group[group][-1]

    def _next_group(self) -> GroupNumber:
        while self._untouched:
            group = self._untouched[-1]
            if group in self._waiting_by_group:
                return group
            self._untouched.pop()
        return next(iter(self._waiting_by_group))

    def remove(self, place: Place) -> tuple[Span, ...]:
        """Take a place from those that wait; return what it goes on from."""
        waiting = self._waiting_by_group.get(place.group, [])
        if place in waiting:
            waiting.remove(place)
        if self._untouched and self._untouched[-1] == place.group:
            self._untouched.pop()
        if not waiting:
            self._waiting_by_group.pop(place.group, None)
        return self.spans_by_place.pop(place, ())

    def fill(self, place: Place) -> None:
        """Count a place as done."""
        self.unfilled.discard(place)
        self.remove(place)

    def clear(self) -> None:
        """Let no place wait any more."""
        self.unfilled.clear()
        self.spans_by_place.clear()
        self._waiting_by_group.clear()

    def drop_stale_spans(self, newest: WeightVersion, bound: int) -> None:
        """Forget beginnings that could only become stale samples."""
        for place, spans in list(self.spans_by_place.items()):
            oldest = spans[0].weight_version
            if not sample_module.is_fresh(oldest, newest, bound):
                del self.spans_by_place[place]
