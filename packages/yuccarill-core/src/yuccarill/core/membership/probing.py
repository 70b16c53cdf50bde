"""Failure detection of one member by direct and indirect probes."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from yuccarill.core.membership.member import MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.member import Member

HELPER_COUNT = 3


class ProbeStep(enum.Enum):
    """Step or result of a probe round."""

    DIRECT = 'direct'
    RETRY = 'retry'
    INDIRECT = 'indirect'
    REACHED = 'reached'
    # This instance cannot reach the member; no helper confirms the failure.
    UNCLEAR = 'unclear'
    SUSPECT = 'suspect'


class HelperAnswer(enum.Enum):
    """Result of an indirect probe by a helper."""

    REACHED = 'reached'
    NOT_REACHED = 'not reached'
    NO_ANSWER = 'no answer'


class ProbeRound:
    """Steps of probing one member."""

    def __init__(self) -> None:
        self._helper_count = 0
        self._answers: list[HelperAnswer] = []
        self.step = ProbeStep.DIRECT

    def on_direct(self, was_reached: bool) -> ProbeStep:
        """Record the outcome of a direct probe; return the next step."""
        if was_reached:
            self.step = ProbeStep.REACHED
        elif self.step is ProbeStep.DIRECT:
            self.step = ProbeStep.RETRY
        elif self.step is ProbeStep.RETRY:
            self.step = ProbeStep.INDIRECT
        return self.step

    def set_helper_count(self, helpers: int) -> ProbeStep:
        """Record how many helpers probe indirectly; return the next step."""
        self._helper_count = helpers
        if self.step is ProbeStep.INDIRECT:
            self._evaluate()
        return self.step

    def on_helper(self, answer: HelperAnswer) -> ProbeStep:
        """Record a helper's answer; return the next step."""
        if self.step is ProbeStep.INDIRECT:
            self._answers.append(answer)
            self._evaluate()
        return self.step

    def _evaluate(self) -> None:
        if HelperAnswer.REACHED in self._answers:
            self.step = ProbeStep.REACHED
            return
        if len(self._answers) < self._helper_count:
            return
        # A partitioned instance would suspect every peer, so a helper must
        # confirm the failure if there is any helper.
        is_confirmed = HelperAnswer.NOT_REACHED in self._answers
        if is_confirmed or not self._helper_count:
            self.step = ProbeStep.SUSPECT
        else:
            self.step = ProbeStep.UNCLEAR


def helpers(
    members: Iterable[Member],
    me: InstanceId,
    target: InstanceId,
    generator: random.Random,
) -> list[Member]:
    """Choose the helpers for an indirect probe, across data centres."""
    candidates = [
        m
        for m in members
        if m.state is MemberState.ALIVE and m.id not in (me, target)
    ]
    generator.shuffle(candidates)
    # In a partition between two data centres, helpers on one side only
    # would confirm a false suspicion; a third data centre reaches both.
    first_by_data_centre: dict[DataCentreId, Member] = {}
    for member in candidates:
        first_by_data_centre.setdefault(member.data_centre, member)
    first = list(first_by_data_centre.values())
    rest = [member for member in candidates if member not in first]
    return (first + rest)[:HELPER_COUNT]
