"""Play requests against gates and a broker, without network or clock.

Targets run `slots` requests at once, queue as many more, and refuse what
comes beyond that. Messages take a millisecond one way.
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
from yuccarill.core.capacity.gate import Answer
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.gate import Ruling
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
    """Hold a request, and what became of it."""

    request: CapacityRequest
    work: float
    instance: int
    ended_at: float | None = None
    retry_after: float | None = None
    attempts: int = 0
    # How often its caller came back before.
    returned: int = 0

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
    """Describe a service and how requests are ruled on."""

    instances: int = 73
    targets: int = 3
    slots: int = 6
    work: float = 0.025
    objective: float = 0.15
    deadline: float = 2.0
    # Whether there is a broker; without it each instance is alone.
    is_shared: bool = True
    # Without gates all is sent, five times if need be.
    has_gates: bool = True
    seed: int = 1

    @property
    def places(self) -> int:
        return self.targets * self.slots

    @property
    def capacity(self) -> float:
        return self.places / self.work


def requests(
    setting: Setting,
    rates_by_account: dict[str | None, Callable[[float], float] | float],
    until: float,
    priorities_by_account: dict[str | None, int] | None = None,
) -> list[Arrival]:
    """Draw the requests of each account at its rate over time."""
    draw = random.Random(setting.seed)
    found: list[Arrival] = []
    numbers = itertools.count()
    priorities = priorities_by_account or {}
    for account, given in rates_by_account.items():
        rate = given if callable(given) else lambda _, same=given: same
        highest = max(rate(until * n / 100.0) for n in range(100))
        at = draw.expovariate(highest) if highest else until
        while at < until:
            if draw.random() * highest < rate(at):
                found.append(
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
                        setting.work * draw.uniform(0.5, 1.5),
                        draw.randrange(setting.instances),
                    )
                )
            at += draw.expovariate(highest)
    return sorted(found, key=lambda each: each.at)


def best(
    setting: Setting,
    arrivals: list[Arrival],
    speed: Callable[[float], float] = lambda at: 1.0,
) -> int:
    """Count what one queue serves in time that knows every place.

    It knows when a place gets free, and not how long a request will take;
    of several bounds of waiting the one that serves most counts.
    """
    bounds = [part * setting.objective for part in (0.0, 0.05, 0.2, 0.5)]
    return max(_served(setting, arrivals, speed, bound) for bound in bounds)


def _served(
    setting: Setting,
    arrivals: list[Arrival],
    speed: Callable[[float], float],
    bound: float,
) -> int:
    free = [0.0] * setting.places
    count = 0
    for each in arrivals:
        start = max(each.at + 2 * ONE_WAY, free[0])
        if start - each.at - 2 * ONE_WAY <= bound:
            end = start + each.work * speed(start)
            heapq.heapreplace(free, end)
            count += end + 2 * ONE_WAY <= each.request.wanted_by
    return count


class Load:
    """Play arrivals and keep what became of them."""

    def __init__(self, setting: Setting, arrivals: list[Arrival]) -> None:
        self.setting = setting
        self.arrivals = arrivals
        self.draw = random.Random(setting.seed + 1)
        self.now = Instant(0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.targets = [Target(setting.slots) for _ in range(setting.targets)]
        # How many times the usual seconds work takes.
        self.speed: Callable[[float], float] = lambda at: 1.0
        names = [InstanceId(f'i{n}') for n in range(setting.instances)]
        self.names = names
        self.gates = [self._gate(name) for name in names]
        self.pools = [
            pool.Pool(pool.RoutingPolicy(), self.draw) for _ in names
        ]
        self.list_targets()
        self.brokers = [
            broker.CapacityBroker(SERVICE, broker.BrokerPolicy())
            for _ in range(min(3, len(names)))
        ]
        # Calls of an instance to a broker that get no answer.
        self.is_cut: Callable[[int, int, float], bool] = lambda i, b, at: False
        self._suspected = [[0.0] * len(self.brokers) for _ in names]
        self.sent = 0
        self.refused_by_targets = 0
        self.second_at: list[float] = []
        self.first_at: list[float] = []
        self.returns: Callable[[Arrival, float], bool] = lambda a, at: False
        self.messages = 0
        self._waiting_by_id: dict[RequestId, Arrival] = {}
        self._notified_at = -1.0

    def _gate(self, name: InstanceId) -> service_gate.ServiceGate:
        return service_gate.ServiceGate(
            SERVICE, name, gate_policy.GatePolicy(), self.draw, Instant(0.0)
        )

    def list_targets(self) -> None:
        """Let every instance know the targets that are there."""
        here = DataCentreId('a')
        centres_by_id = {
            TargetId(str(number)): here
            for number, target in enumerate(self.targets)
            if not target.is_gone
        }
        for each in self.pools:
            each.update(centres_by_id, here, self.now)

    def at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def play(self, until: float) -> None:
        for each in self.arrivals:
            self.at(each.at, lambda each=each: self._offer(each))
        if self.setting.is_shared and self.setting.has_gates:
            for number in range(self.setting.instances):
                at = self.draw.uniform(0.0, REPORT_SECONDS)
                self.at(at, lambda number=number: self._report(number))
        while self._events and self._events[0][0] < until:
            at, _, event = heapq.heappop(self._events)
            self.now = Instant(at)
            event()

    def _offer(self, arrival: Arrival) -> None:
        if not self.setting.has_gates:
            self._send(arrival, frozenset())
            return
        gate = self.gates[arrival.instance]
        gate.signs.places = self.setting.places
        self._rule(arrival, gate.offer(arrival.request, self.now))
        self._wake(arrival.instance)

    def _rule(self, arrival: Arrival, ruling: Ruling) -> None:
        match ruling.answer:
            case Answer.SEND:
                self._send(arrival, frozenset())
            case Answer.REFUSE:
                self._refuse(arrival, ruling.retry_after)
            case Answer.WAIT:
                self._waiting_by_id[arrival.request.id] = arrival

    def _wake(self, number: int) -> None:
        at = self.gates[number].wakes_at(self.now)
        if at is not None:
            self.at(max(at, self.now) + 1e-6, lambda: self._admit(number))

    def _admit(self, number: int) -> None:
        for request, ruling in self.gates[number].admit(self.now):
            self._rule(self._waiting_by_id.pop(request.id), ruling)
            self._wake(number)

    def _refuse(self, arrival: Arrival, retry_after: float) -> None:
        arrival.retry_after = retry_after
        if not self.returns(arrival, self.now + retry_after):
            return
        at = Instant(self.now + retry_after)
        again = CapacityRequest(
            id=RequestId(arrival.request.id + '+'),
            demand_class=arrival.request.demand_class,
            arrived_at=at,
            wanted_by=Instant(at + self.setting.objective),
            deadline=arrival.request.deadline,
        )
        other = self.draw.randrange(self.setting.instances)
        back = Arrival(again, arrival.work, other)
        back.returned = arrival.returned + 1
        self.arrivals.append(back)
        self.at(at, lambda: self._offer(back))

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
        self.pools[number].send(chosen)
        self.gates[number].started(self.now)
        sent_at = self.now
        self.at(
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
            self.at(
                self.now + ONE_WAY,
                lambda: self._refused(arrival, chosen, tried),
            )
            return

        def run() -> None:
            target.running += 1
            work = arrival.work * self.speed(self.now)
            self.at(self.now + work, end)

        def end() -> None:
            target.running -= 1
            if target.queue:
                target.queue.popleft()()
            self.at(
                self.now + ONE_WAY,
                lambda: self._answered(arrival, chosen, sent_at),
            )

        if target.running < target.slots:
            run()
        else:
            target.queue.append(run)

    def _answered(
        self, arrival: Arrival, chosen: TargetId, sent_at: Instant
    ) -> None:
        seconds = self.now - sent_at
        arrival.ended_at = self.now + ONE_WAY
        self.pools[arrival.instance].answer(chosen, seconds, None, self.now)
        self.gates[arrival.instance].finished(seconds, self.now)

    def _refused(
        self, arrival: Arrival, chosen: TargetId, tried: frozenset[TargetId]
    ) -> None:
        gate = self.gates[arrival.instance]
        gate.refused(self.now)
        self.pools[arrival.instance].fail(
            chosen, pool.Failure.REFUSED, self.now
        )
        if not self.setting.has_gates:
            if arrival.attempts < 5:
                self._send(arrival, tried)
            return
        if gate.may_try_again(arrival.request, self.now):
            self._send(arrival, tried)
        else:
            self._refuse(arrival, gate.retry_after(arrival.request, self.now))

    def _report(self, number: int) -> None:
        self.at(self.now + REPORT_SECONDS, lambda: self._report(number))
        report = self.gates[number].report(self.now)
        if report is None:
            return
        suspected = self._suspected[number]
        for rank in range(len(self.brokers)):
            if suspected[rank] > self.now:
                continue
            self.messages += 1
            if self.is_cut(number, rank, self.now):
                suspected[rank] = self.now + SUSPECT_SECONDS
                return
            told = msgspec.structs.replace(report, passed_over=rank)
            sent_at = self.now
            self.at(
                self.now + ONE_WAY,
                lambda: self._lend(number, rank, told, sent_at),
            )
            return

    def _lend(
        self, number: int, rank: int, report: DemandReport, sent_at: Instant
    ) -> None:
        places = sum(t.slots for t in self.targets if not t.is_gone)
        grant = self.brokers[rank].lend(
            report, places, self.setting.instances, self.now
        )
        self.at(
            self.now + ONE_WAY,
            lambda: (
                self.gates[number].grant(grant, sent_at),
                self._wake(number),
            ),
        )
        if grant.is_congested:
            self._notify(rank)

    def _notify(self, rank: int) -> None:
        if self.now < self._notified_at + 0.5:
            return
        self._notified_at = self.now
        asking = self.brokers[rank].leases_by_instance
        for number, name in enumerate(self.names):
            if name not in asking and not self.is_cut(number, rank, self.now):
                self.messages += 1
                self.gates[number].signs.told(self.now)
