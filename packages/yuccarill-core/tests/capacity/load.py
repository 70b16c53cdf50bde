"""Simulate gates, brokers and targets, without network or clock.

Targets run `slots` requests at once, queue as many more and refuse the rest.
Messages take a millisecond one way.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls import pool
from yuccarill.core.capacity import broker
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.gate import GateDecision
from yuccarill.core.capacity.gate import GateVerdict
from yuccarill.core.capacity import gate_policy
from yuccarill.core.capacity.messages import DemandClass
from yuccarill.core.capacity import service_gate
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    from yuccarill.core.capacity.messages import DemandReport

SERVICE = ServiceName('shop')
ONE_WAY = 0.001
REPORT_SECONDS = 0.25
ANSWER_SECONDS = 0.3
SUSPECT_SECONDS = 2.0


@dataclasses.dataclass
class Arrival:
    """Store a request and its outcome."""

    request: CapacityRequest
    work: float
    instance: int
    ended_at: float | None = None
    retry_after: float | None = None
    attempts: int = 0
    # Number of earlier retries by the caller.
    retries: int = 0

    @property
    def at(self) -> float:
        return self.request.arrived_at

    @property
    def is_in_time(self) -> bool:
        return self.ended_at is not None and (
            self.ended_at <= self.request.wanted_by
        )


@dataclasses.dataclass
class Target:
    slots: int
    running: int = 0
    queue: collections.deque[Callable[[], None]] = dataclasses.field(
        default_factory=collections.deque
    )
    is_gone: bool = False


@dataclasses.dataclass
class Setting:
    """Configure a simulated service and its admission control."""

    instances: int = 73
    targets: int = 3
    slots: int = 6
    work: float = 0.025
    objective: float = 0.15
    deadline: float = 2.0
    # Whether brokers lend capacity; otherwise each instance decides alone.
    is_shared: bool = True
    # Without gates, each request is sent up to five times.
    has_gates: bool = True
    seed: int = 1

    @property
    def places(self) -> int:
        return self.targets * self.slots

    @property
    def capacity(self) -> float:
        return self.places / self.work


def draw_arrivals(
    setting: Setting,
    rates_by_account: dict[str | None, Callable[[float], float] | float],
    until: float,
    priorities_by_account: dict[str | None, int] | None = None,
) -> list[Arrival]:
    """Draw random requests of each account at its rate over time."""
    rng = random.Random(setting.seed)
    arrivals: list[Arrival] = []
    numbers = itertools.count()
    priorities = priorities_by_account or {}
    for account, given in rates_by_account.items():
        rate = given if callable(given) else lambda _, same=given: same
        highest = max(rate(until * n / 100.0) for n in range(100))
        at = rng.expovariate(highest) if highest else until
        while at < until:
            if rng.random() * highest < rate(at):
                arrivals.append(
                    Arrival(
                        CapacityRequest(
                            id=RequestId(str(next(numbers))),
                            demand_class=DemandClass(
                                priority=priorities.get(account, 5),
                                account=account and AccountName(account),
                            ),
                            arrived_at=Instant(at),
                            wanted_by=Instant(at + setting.objective),
                            deadline=Instant(at + setting.deadline),
                        ),
                        setting.work * rng.uniform(0.5, 1.5),
                        rng.randrange(setting.instances),
                    )
                )
            at += rng.expovariate(highest)
    return sorted(arrivals, key=lambda each: each.at)


def best_in_time(
    setting: Setting,
    arrivals: list[Arrival],
    slowdown: Callable[[float], float] = lambda at: 1.0,
) -> int:
    """Return how many requests one central queue answers in time.

    The queue knows when a slot is released, not the work of a request; the
    best result of several bounds on waiting is returned.
    """
    bounds = [part * setting.objective for part in (0.0, 0.05, 0.2, 0.5)]
    return max(_served(setting, arrivals, slowdown, bound) for bound in bounds)


def _served(
    setting: Setting,
    arrivals: list[Arrival],
    slowdown: Callable[[float], float],
    bound: float,
) -> int:
    free = [0.0] * setting.places
    count = 0
    for each in arrivals:
        start = max(each.at + 2 * ONE_WAY, free[0])
        if start - each.at - 2 * ONE_WAY <= bound:
            end = start + each.work * slowdown(start)
            heapq.heapreplace(free, end)
            count += end + 2 * ONE_WAY <= each.request.wanted_by
    return count


class Model:
    """Simulate arrivals and record their outcomes."""

    def __init__(self, setting: Setting, arrivals: list[Arrival]) -> None:
        self.setting = setting
        self.arrivals = arrivals
        self.rng = random.Random(setting.seed + 1)
        self.now = Instant(0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.targets = [Target(setting.slots) for _ in range(setting.targets)]
        # Factor by which work takes longer, by time.
        self.slowdown: Callable[[float], float] = lambda at: 1.0
        names = [InstanceId(f'i{n}') for n in range(setting.instances)]
        self.names = names
        self.gates = [self._gate(name) for name in names]
        self.pools = [pool.Pool(pool.RoutingPolicy(), self.rng) for _ in names]
        self.list_targets()
        self.brokers = [
            broker.CapacityBroker(SERVICE, broker.BrokerPolicy())
            for _ in range(min(3, len(names)))
        ]
        # Whether the link of an instance to a broker is cut.
        self.is_cut: Callable[[int, int, float], bool] = lambda i, b, at: False
        self._suspected_until = [[0.0] * len(self.brokers) for _ in names]
        self.sent = 0
        self.refused_by_targets = 0
        self.second_at: list[float] = []
        self.first_at: list[float] = []
        self.may_retry: Callable[[Arrival, float], bool] = lambda a, at: False
        self.messages = 0
        self._waiting_by_id: dict[RequestId, Arrival] = {}
        self._notified_at = -1.0

    def _gate(self, name: InstanceId) -> service_gate.ServiceGate:
        return service_gate.ServiceGate(
            SERVICE, name, gate_policy.GatePolicy(), self.rng, Instant(0.0)
        )

    def list_targets(self) -> None:
        """Update the targets of every instance."""
        here = DataCentreId('a')
        centres_by_id = {
            TargetId(str(number)): here
            for number, target in enumerate(self.targets)
            if not target.is_gone
        }
        for each in self.pools:
            each.update(centres_by_id, here, self.now)

    def call_at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self, until: float) -> None:
        for each in self.arrivals:
            self.call_at(each.at, lambda each=each: self._offer(each))
        if self.setting.is_shared and self.setting.has_gates:
            for number in range(self.setting.instances):
                at = self.rng.uniform(0.0, REPORT_SECONDS)
                self.call_at(at, lambda number=number: self._report(number))
        while self._events and self._events[0][0] < until:
            at, _, event = heapq.heappop(self._events)
            self.now = Instant(at)
            event()

    def _offer(self, arrival: Arrival) -> None:
        if not self.setting.has_gates:
            self._send(arrival, frozenset())
            return
        gate = self.gates[arrival.instance]
        gate.congestion.slots = self.setting.places
        self._handle(arrival, gate.offer(arrival.request, self.now))
        self._schedule_wakeup(arrival.instance)

    def _handle(self, arrival: Arrival, decision: GateDecision) -> None:
        match decision.answer:
            case GateVerdict.SEND:
                self._send(arrival, frozenset())
            case GateVerdict.REFUSE:
                self._refuse(arrival, decision.retry_after)
            case GateVerdict.WAIT:
                self._waiting_by_id[arrival.request.id] = arrival

    def _schedule_wakeup(self, number: int) -> None:
        at = self.gates[number].next_wakeup(self.now)
        if at is not None:
            self.call_at(max(at, self.now) + 1e-6, lambda: self._admit(number))

    def _admit(self, number: int) -> None:
        for request, decision in self.gates[number].admit(self.now):
            self._handle(self._waiting_by_id.pop(request.id), decision)
            self._schedule_wakeup(number)

    def _refuse(self, arrival: Arrival, retry_after: float) -> None:
        arrival.retry_after = retry_after
        if not self.may_retry(arrival, self.now + retry_after):
            return
        at = Instant(self.now + retry_after)
        request = CapacityRequest(
            id=RequestId(arrival.request.id + '+'),
            demand_class=arrival.request.demand_class,
            arrived_at=at,
            wanted_by=Instant(at + self.setting.objective),
            deadline=arrival.request.deadline,
        )
        instance = self.rng.randrange(self.setting.instances)
        retry = Arrival(request, arrival.work, instance)
        retry.retries = arrival.retries + 1
        self.arrivals.append(retry)
        self.call_at(at, lambda: self._offer(retry))

    def _send(self, arrival: Arrival, tried: frozenset[TargetId]) -> None:
        number = arrival.instance
        chosen = self.pools[number].choose(self.now, tried)
        chosen = chosen or self.pools[number].choose(self.now)
        if chosen is None:
            return
        arrival.attempts += 1
        self.sent += 1
        times = self.second_at if arrival.attempts > 1 else self.first_at
        times.append(self.now)
        self.pools[number].record_send(chosen)
        self.gates[number].record_start(self.now)
        sent_at = self.now
        self.call_at(
            self.now + ONE_WAY,
            lambda: self._arrive(arrival, chosen, tried | {chosen}, sent_at),
        )

    def _arrive(
        self,
        arrival: Arrival,
        chosen: TargetId,
        tried: frozenset[TargetId],
        sent_at: Instant,
    ) -> None:
        target = self.targets[int(chosen)]
        if target.is_gone or len(target.queue) >= target.slots:
            self.refused_by_targets += 1
            self.call_at(
                self.now + ONE_WAY,
                lambda: self._refused(arrival, chosen, tried),
            )
            return

        def start() -> None:
            target.running += 1
            work = arrival.work * self.slowdown(self.now)
            self.call_at(self.now + work, end)

        def end() -> None:
            target.running -= 1
            if target.queue:
                target.queue.popleft()()
            self.call_at(
                self.now + ONE_WAY,
                lambda: self._answered(arrival, chosen, sent_at),
            )

        if target.running < target.slots:
            start()
        else:
            target.queue.append(start)

    def _answered(
        self, arrival: Arrival, chosen: TargetId, sent_at: Instant
    ) -> None:
        seconds = self.now - sent_at
        arrival.ended_at = self.now + ONE_WAY
        self.pools[arrival.instance].record_answer(
            chosen, seconds, None, self.now
        )
        self.gates[arrival.instance].record_answer(seconds, self.now)

    def _refused(
        self, arrival: Arrival, chosen: TargetId, tried: frozenset[TargetId]
    ) -> None:
        gate = self.gates[arrival.instance]
        gate.record_refusal(self.now)
        self.pools[arrival.instance].record_failure(
            chosen, pool.Failure.REFUSED, self.now
        )
        if not self.setting.has_gates:
            if arrival.attempts < 5:
                self._send(arrival, tried)
            return
        if gate.take_retry(arrival.request, self.now):
            self._send(arrival, tried)
        else:
            self._refuse(arrival, gate.retry_after(arrival.request, self.now))

    def _report(self, number: int) -> None:
        self.call_at(self.now + REPORT_SECONDS, lambda: self._report(number))
        report = self.gates[number].report(self.now)
        if report is None:
            return
        suspected = self._suspected_until[number]
        for rank in range(len(self.brokers)):
            if suspected[rank] > self.now:
                continue
            self.messages += 1
            if self.is_cut(number, rank, self.now):
                suspected[rank] = self.now + SUSPECT_SECONDS
                return
            ranked_report = msgspec.structs.replace(report, passed_over=rank)
            sent_at = self.now
            self.call_at(
                self.now + ONE_WAY,
                lambda: self._lend(number, rank, ranked_report, sent_at),
            )
            return

    def _lend(
        self, number: int, rank: int, report: DemandReport, sent_at: Instant
    ) -> None:
        places = sum(t.slots for t in self.targets if not t.is_gone)
        grant = self.brokers[rank].lend(
            report, places, self.setting.instances, self.now
        )
        self.call_at(
            self.now + ONE_WAY,
            lambda: (
                self.gates[number].apply_grant(grant, sent_at),
                self._schedule_wakeup(number),
            ),
        )
        if grant.is_congested:
            self._notify(rank)

    def _notify(self, rank: int) -> None:
        if self.now < self._notified_at + 0.5:
            return
        self._notified_at = self.now
        leases = self.brokers[rank].leases_by_instance
        for number, name in enumerate(self.names):
            if name not in leases and not self.is_cut(number, rank, self.now):
                self.messages += 1
                self.gates[number].congestion.record_notice(self.now)
