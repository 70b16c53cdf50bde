"""Decide when an idempotent request is sent to one more target."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import Instant

# Part of the objective after which a first attempt counts as slow. Work
# takes 25 ms on the average against an objective of 150 ms: a second attempt
# that begins after 60 ms still ends in time.
HEDGE_PART = 0.4
# Seconds, so that routes with a tight objective don't double their load.
MIN_HEDGE_DELAY = 0.04


class Next(enum.Enum):
    """Say what to do for a request now."""

    START = 'start'
    WAIT = 'wait'
    GIVE_UP = 'give up'


class AttemptPlan(msgspec.Struct, kw_only=True):
    """Track the attempts of one idempotent request."""

    deadline: Instant
    max_attempts: int
    hedge_delay: float
    # A further attempt may start beside one that is under way.
    may_hedge: bool = True
    started: int = 0
    in_flight: int = 0
    last_start: Instant = Instant(0.0)

    def start(self, now: Instant) -> None:
        """Note that an attempt starts."""
        self.started += 1
        self.in_flight += 1
        self.last_start = now

    def end(self) -> None:
        """Note that an attempt ended without a success."""
        self.in_flight -= 1

    def withdraw(self) -> None:
        """Note that an attempt reached no target, and does not count."""
        self.started -= 1
        self.in_flight -= 1

    def next(self, now: Instant) -> Next:
        """Return what to do; `wakes_at` tells until when to wait."""
        if now >= self.deadline:
            return Next.GIVE_UP
        if self.started >= self.max_attempts:
            return Next.WAIT if self.in_flight else Next.GIVE_UP
        if self.in_flight and not self.may_hedge:
            return Next.WAIT
        if self.in_flight and now < self.last_start + self.hedge_delay:
            return Next.WAIT
        return Next.START

    def wakes_at(self) -> Instant:
        """Return when the plan has something new to say by itself."""
        if self.started >= self.max_attempts or not self.may_hedge:
            return self.deadline
        hedge_at = Instant(self.last_start + self.hedge_delay)
        return min(self.deadline, hedge_at)


def hedge_delay(objective: float) -> float:
    """Return the seconds after which a further attempt is started."""
    return max(MIN_HEDGE_DELAY, HEDGE_PART * objective)
