"""Admit calls up to a limit and queue the rest, by class and share."""

from __future__ import annotations

import collections
import itertools
import math
from typing import Generic
from typing import TypeVar

import msgspec

from yuccarill.core.config.inventory import CallerClass
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import Instant

T = TypeVar('T')

_ORDER = (CallerClass.LATENCY, CallerClass.INTERNAL)


class AdmissionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what waits."""

    queued: int = 1024
    # One admission in so many goes to the internal class if it waits, so
    # that calls which may wait are not starved.
    internal_turn: int = 10
    # Times the limit up to which the latency class goes on.
    headroom: float = 2.0
    # Seconds that a call with no measured latency is taken to need.
    latency: float = 0.1


class Waiting(msgspec.Struct, Generic[T], eq=False):
    """Hold one call that waits."""

    item: T
    caller: CallerId
    caller_class: CallerClass
    share: int
    deadline: Instant
    is_queued: bool = False


class _ClassQueue(Generic[T]):
    """Take turns between callers by their shares."""

    def __init__(self) -> None:
        self._waiting_by_caller: dict[
            CallerId, collections.deque[Waiting[T]]
        ] = {}
        self._time_by_caller: dict[CallerId, float] = {}
        self._time = 0.0
        self.count = 0

    def push(self, waiting: Waiting[T]) -> None:
        queue = self._waiting_by_caller.get(waiting.caller)
        if queue is None:
            queue = collections.deque()
            self._waiting_by_caller[waiting.caller] = queue
            self._time_by_caller[waiting.caller] = self._time
        queue.append(waiting)
        self.count += 1

    def pop(self) -> Waiting[T] | None:
        """Return the next call of the caller that got least so far."""
        while self._waiting_by_caller:
            caller = min(
                self._waiting_by_caller,
                key=lambda c: (self._time_by_caller[c], c),
            )
            queue = self._waiting_by_caller[caller]
            waiting = queue.popleft()
            self._time = self._time_by_caller[caller]
            if waiting.is_queued:
                self._time_by_caller[caller] += 1.0 / waiting.share
                self.count -= 1
            if not queue:
                self._drop(caller)
            if waiting.is_queued:
                return waiting
        return None

    def shed(self) -> Waiting[T] | None:
        """Take the newest call of the caller that waits with most."""
        while self._waiting_by_caller:
            caller = max(
                self._waiting_by_caller,
                key=lambda c: (self._weight(c), c),
            )
            queue = self._waiting_by_caller[caller]
            waiting = queue.pop()
            if not queue:
                self._drop(caller)
            if waiting.is_queued:
                self.count -= 1
                return waiting
        return None

    def _weight(self, caller: CallerId) -> float:
        queue = self._waiting_by_caller[caller]
        return len(queue) / queue[0].share

    def _drop(self, caller: CallerId) -> None:
        del self._waiting_by_caller[caller]
        del self._time_by_caller[caller]


class Admission(Generic[T]):
    """Decide which calls go on, wait or are refused."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._queues = {c: _ClassQueue[T]() for c in _ORDER}
        self._turns = itertools.count(1)
        self._gap = 0.0
        self._admitted_at: Instant | None = None
        self.in_flight = 0

    @property
    def queued(self) -> int:
        return sum(queue.count for queue in self._queues.values())

    def offer(
        self,
        waiting: Waiting[T],
        limit: float,
        latency: float,
        now: Instant,
    ) -> list[Waiting[T]]:
        """Queue a call; return calls that are refused instead.

        The refused one may be the call itself.
        """
        latency = latency or self._policy.latency
        if self.in_flight >= limit * self._headroom(waiting.caller_class):
            wait = self.expected_wait(waiting.caller_class)
            if now + wait + latency > waiting.deadline:
                # It would be late after waiting and after running. Told
                # now, its caller still has the time to come back.
                return [waiting]
        waiting.is_queued = True
        self._queues[waiting.caller_class].push(waiting)
        if self.queued <= self._policy.queued:
            return []
        for caller_class in reversed(_ORDER):
            shed = self._queues[caller_class].shed()
            if shed is not None:
                shed.is_queued = False
                return [shed]
        return []

    def admit(
        self, limit: float, latency: float, now: Instant
    ) -> tuple[list[Waiting[T]], list[Waiting[T]]]:
        """Return the calls that go on now, and those given up."""
        latency = latency or self._policy.latency
        admitted: list[Waiting[T]] = []
        given_up: list[Waiting[T]] = []
        while (waiting := self._next(limit)) is not None:
            waiting.is_queued = False
            if now + latency > waiting.deadline:
                given_up.append(waiting)
                continue
            self.in_flight += 1
            admitted.append(waiting)
            self._note_gap(now)
        return admitted, given_up

    def finish(self) -> None:
        """Free the place of an admitted call."""
        self.in_flight -= 1

    def withdraw(self, waiting: Waiting[T]) -> None:
        """Take back a call that no longer waits."""
        if waiting.is_queued:
            waiting.is_queued = False
            self._queues[waiting.caller_class].count -= 1

    def expected_wait(self, caller_class: CallerClass) -> float:
        """Return the seconds that a new call of a class would wait."""
        ahead = self._queues[CallerClass.LATENCY].count
        gap = self._gap
        if caller_class is CallerClass.INTERNAL:
            ahead += self._queues[CallerClass.INTERNAL].count
        else:
            gap *= 1.0 + 1.0 / self._policy.internal_turn
        return ahead * gap

    def _headroom(self, caller_class: CallerClass) -> float:
        # An instance whose limit came out low by chance would let riders
        # wait while others send calls that may wait. What its latency
        # class takes beyond the limit shows up at the targets, and all
        # instances then send less of the internal class.
        if caller_class is CallerClass.LATENCY:
            return self._policy.headroom
        return 1.0

    def _next(self, limit: float) -> Waiting[T] | None:
        latency = self._queues[CallerClass.LATENCY]
        if self.in_flight >= limit:
            if self.in_flight < limit * self._policy.headroom:
                return latency.pop()
            return None
        internal = self._queues[CallerClass.INTERNAL]
        if next(self._turns) % self._policy.internal_turn == 0:
            return internal.pop() or latency.pop()
        return latency.pop() or internal.pop()

    def _note_gap(self, now: Instant) -> None:
        """Measure the seconds between admissions."""
        if self._admitted_at is not None and self.queued:
            gap = now - self._admitted_at
            self._gap += 0.05 * (gap - self._gap)
        self._admitted_at = now


def retry_after(wait: float) -> float:
    """Return when a refused caller had best come back, in seconds."""
    return float(min(max(math.ceil(wait), 1), 30))
