"""Judge one member by direct and indirect probes."""

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

HELPERS = 3


class ProbeStep(enum.Enum):
    """Say how far the judgement of a member got."""

    DIRECT = 'direct'
    RETRY = 'retry'
    INDIRECT = 'indirect'
    REACHED = 'reached'
    # Not reached from here, but nobody else confirmed it.
    UNCLEAR = 'unclear'
    SUSPECT = 'suspect'


class HelperAnswer(enum.Enum):
    """Say what came of asking a helper to probe."""

    REACHED = 'reached'
    NOT_REACHED = 'not reached'
    NO_ANSWER = 'no answer'


class ProbeRound:
    """Walk one member's judgement through its steps."""

    def __init__(self) -> None:
        self._helpers = 0
        self._answers: list[HelperAnswer] = []
        self.step = ProbeStep.DIRECT

    def on_direct(self, was_reached: bool) -> ProbeStep:
        """Take the outcome of a direct probe."""
        if was_reached:
            self.step = ProbeStep.REACHED
        elif self.step is ProbeStep.DIRECT:
            self.step = ProbeStep.RETRY
        elif self.step is ProbeStep.RETRY:
            self.step = ProbeStep.INDIRECT
        return self.step

    def ask(self, helpers: int) -> ProbeStep:
        """Note how many helpers are asked."""
        self._helpers = helpers
        if self.step is ProbeStep.INDIRECT:
            self._judge()
        return self.step

    def on_helper(self, answer: HelperAnswer) -> ProbeStep:
        """Take what a helper found."""
        if self.step is ProbeStep.INDIRECT:
            self._answers.append(answer)
            self._judge()
        return self.step

    def _judge(self) -> None:
        if HelperAnswer.REACHED in self._answers:
            self.step = ProbeStep.REACHED
            return
        if len(self._answers) < self._helpers:
            return
        # Silence towards this instance alone may be its own cut link: it
        # would take every peer for dead. A second one must have tried.
        is_confirmed = HelperAnswer.NOT_REACHED in self._answers
        if is_confirmed or not self._helpers:
            self.step = ProbeStep.SUSPECT
        else:
            self.step = ProbeStep.UNCLEAR


def helpers(
    members: Iterable[Member],
    me: InstanceId,
    target: InstanceId,
    chance: random.Random,
) -> list[Member]:
    """Choose who probes a silent member, in different data centres."""
    fit = [
        m
        for m in members
        if m.state is MemberState.ALIVE and m.id not in (me, target)
    ]
    chance.shuffle(fit)
    # A cut between two data centres leaves a third that reaches both;
    # helpers that all stand on one side would confirm a false suspicion.
    first_by_data_centre: dict[DataCentreId, Member] = {}
    for each in fit:
        first_by_data_centre.setdefault(each.data_centre, each)
    first = list(first_by_data_centre.values())
    rest = [each for each in fit if each not in first]
    return (first + rest)[:HELPERS]
