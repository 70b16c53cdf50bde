"""Decide when an idempotent request is retried or hedged."""

from __future__ import annotations

import enum

import msgspec

from yuccarill.core.ids import Instant

# Fraction of the latency objective after which an attempt is hedged; leaves
# the second attempt enough time to meet the objective. With a mean run of 25
# ms and an objective of 150 ms, a second attempt after 60 ms still meets it.
HEDGE_FRACTION = 0.4
# Seconds; keeps routes with a short objective from doubling their load.
MIN_HEDGE_DELAY_SECONDS = 0.04


class Next(enum.Enum):
    """Name the next action for a request."""

    START = 'start'
    WAIT = 'wait'
    GIVE_UP = 'give up'


class AttemptPlan(msgspec.Struct, kw_only=True):
    """Track the attempts of one idempotent request."""

    deadline: Instant
    max_attempts: int
    hedge_delay: float
    # Whether an attempt may start while another one is in flight.
    may_hedge: bool = True
    started: int = 0
    in_flight: int = 0
    last_start: Instant = Instant(0.0)

    def start(self, now: Instant) -> None:
        """Record the start of an attempt."""
        self.started += 1
        self.in_flight += 1
        self.last_start = now

    def end(self) -> None:
        """Record the end of an unsuccessful attempt."""
        self.in_flight -= 1

    def withdraw(self) -> None:
        """Remove an attempt that reached no target from the counts."""
        self.started -= 1
        self.in_flight -= 1

    def next(self, now: Instant) -> Next:
        """Return the next action; WAIT lasts until `wakes_at()`."""
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
        """Return when `next` may change while no attempt ends."""
        if self.started >= self.max_attempts or not self.may_hedge:
            return self.deadline
        hedge_at = Instant(self.last_start + self.hedge_delay)
        return min(self.deadline, hedge_at)


def hedge_delay(objective: float) -> float:
    """Return the seconds after which an attempt is hedged."""
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_FRACTION * objective)
