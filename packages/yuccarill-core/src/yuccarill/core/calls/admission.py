"""Admit calls up to a concurrency limit; queue the rest by caller share."""

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

_CLASSES_BY_PRIORITY = (CallerClass.LATENCY, CallerClass.INTERNAL)


class AdmissionPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure admission and its queue."""

    # Maximum number of queued calls.
    queued: int = 1024
    # Number of admissions of which one prefers the internal class.
    internal_turn: int = 10
    # Multiple of the limit up to which the latency class is admitted.
    headroom: float = 2.0
    # Seconds assumed for a call while no latency is measured.
    latency: float = 0.1


class QueuedCall(msgspec.Struct, Generic[T], eq=False):
    """Describe a call that is offered for admission."""

    item: T
    caller: CallerId
    caller_class: CallerClass
    share: int
    deadline: Instant
    is_queued: bool = False


class _ClassQueue(Generic[T]):
    """Queue calls of one class with fair queueing by caller share."""

    def __init__(self) -> None:
        self._waiting_by_caller: dict[
            CallerId, collections.deque[QueuedCall[T]]
        ] = {}
        self._virtual_time_by_caller: dict[CallerId, float] = {}
        self._virtual_time = 0.0
        self.count = 0

    def push(self, waiting: QueuedCall[T]) -> None:
        queue = self._waiting_by_caller.get(waiting.caller)
        if queue is None:
            queue = collections.deque()
            self._waiting_by_caller[waiting.caller] = queue
            self._virtual_time_by_caller[waiting.caller] = self._virtual_time
        queue.append(waiting)
        self.count += 1

    def pop(self) -> QueuedCall[T] | None:
        """Remove and return the next call of the caller served least."""
        while self._waiting_by_caller:
            caller = min(
                self._waiting_by_caller,
                key=lambda c: (self._virtual_time_by_caller[c], c),
            )
            queue = self._waiting_by_caller[caller]
            waiting = queue.popleft()
            self._virtual_time = self._virtual_time_by_caller[caller]
            if waiting.is_queued:
                self._virtual_time_by_caller[caller] += 1.0 / waiting.share
                self.count -= 1
            if not queue:
                self._remove_caller(caller)
            if waiting.is_queued:
                return waiting
        return None

    def shed(self) -> QueuedCall[T] | None:
        """Remove and return the newest call of the caller with most queued."""
        while self._waiting_by_caller:
            caller = max(
                self._waiting_by_caller,
                key=lambda c: (self._queued_per_share(c), c),
            )
            queue = self._waiting_by_caller[caller]
            waiting = queue.pop()
            if not queue:
                self._remove_caller(caller)
            if waiting.is_queued:
                self.count -= 1
                return waiting
        return None

    def _queued_per_share(self, caller: CallerId) -> float:
        queue = self._waiting_by_caller[caller]
        return len(queue) / queue[0].share

    def _remove_caller(self, caller: CallerId) -> None:
        del self._waiting_by_caller[caller]
        del self._virtual_time_by_caller[caller]


class Admission(Generic[T]):
    """Decide which calls are admitted, queued or refused."""

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._queues = {c: _ClassQueue[T]() for c in _CLASSES_BY_PRIORITY}
        self._admission_numbers = itertools.count(1)
        self._mean_interval = 0.0
        self._last_admitted_at: Instant | None = None
        self.in_flight = 0

    @property
    def queued(self) -> int:
        return sum(queue.count for queue in self._queues.values())

    def offer(
        self,
        waiting: QueuedCall[T],
        limit: float,
        latency: float,
        now: Instant,
    ) -> list[QueuedCall[T]]:
        """Queue or refuse a call; return the refused calls.

        If the queue is full, a queued call may be refused instead.
        """
        latency = latency or self._policy.latency
        if self.in_flight >= limit * self._headroom(waiting.caller_class):
            wait = self.expected_wait(waiting.caller_class)
            if now + wait + latency > waiting.deadline:
                # An early refusal leaves the caller time to retry.
                return [waiting]
        waiting.is_queued = True
        self._queues[waiting.caller_class].push(waiting)
        if self.queued <= self._policy.queued:
            return []
        for caller_class in reversed(_CLASSES_BY_PRIORITY):
            shed = self._queues[caller_class].shed()
            if shed is not None:
                shed.is_queued = False
                return [shed]
        return []

    def admit(
        self, limit: float, latency: float, now: Instant
    ) -> tuple[list[QueuedCall[T]], list[QueuedCall[T]]]:
        """Return the calls to start now and those given up as too late."""
        latency = latency or self._policy.latency
        admitted: list[QueuedCall[T]] = []
        given_up: list[QueuedCall[T]] = []
        while (waiting := self._pop_next(limit)) is not None:
            waiting.is_queued = False
            if now + latency > waiting.deadline:
                given_up.append(waiting)
                continue
            self.in_flight += 1
            admitted.append(waiting)
            self._record_admission(now)
        return admitted, given_up

    def release(self) -> None:
        """Release the slot of an admitted call."""
        self.in_flight -= 1

    def withdraw(self, waiting: QueuedCall[T]) -> None:
        """Remove a call from the queue if it is still queued."""
        if waiting.is_queued:
            waiting.is_queued = False
            self._queues[waiting.caller_class].count -= 1

    def expected_wait(self, caller_class: CallerClass) -> float:
        """Return the seconds that a new call of a class would be queued."""
        ahead = self._queues[CallerClass.LATENCY].count
        interval = self._mean_interval
        if caller_class is CallerClass.INTERNAL:
            ahead += self._queues[CallerClass.INTERNAL].count
        else:
            interval *= 1.0 + 1.0 / self._policy.internal_turn
        return ahead * interval

    def _headroom(self, caller_class: CallerClass) -> float:
        # An instance with too low a limit would queue latency calls while
        # other instances run internal ones. Latency calls above the limit
        # raise the load that targets report, and all instances then admit
        # fewer internal calls.
        if caller_class is CallerClass.LATENCY:
            return self._policy.headroom
        return 1.0

    def _pop_next(self, limit: float) -> QueuedCall[T] | None:
        latency_queue = self._queues[CallerClass.LATENCY]
        if self.in_flight >= limit:
            if self.in_flight < limit * self._policy.headroom:
                return latency_queue.pop()
            return None
        internal_queue = self._queues[CallerClass.INTERNAL]
        if next(self._admission_numbers) % self._policy.internal_turn == 0:
            return internal_queue.pop() or latency_queue.pop()
        return latency_queue.pop() or internal_queue.pop()

    def _record_admission(self, now: Instant) -> None:
        """Update the mean seconds between admissions."""
        if self._last_admitted_at is not None and self.queued:
            interval = now - self._last_admitted_at
            self._mean_interval += 0.05 * (interval - self._mean_interval)
        self._last_admitted_at = now


def retry_after(wait: float) -> float:
    """Return the seconds after which a refused caller should retry."""
    return float(min(max(math.ceil(wait), 1), 30))
