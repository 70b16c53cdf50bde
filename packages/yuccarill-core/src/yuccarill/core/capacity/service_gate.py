"""Decide on one service's requests at one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccarill.core.capacity import congestion
from yuccarill.core.capacity import demand
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.gate import GateDecision
from yuccarill.core.capacity.gate import GateVerdict
from yuccarill.core.capacity.gate_policy import GatePolicy
from yuccarill.core.capacity import lanes
from yuccarill.core.capacity import local_throttle
from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.capacity import second_attempts
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    import random

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ServiceName

_SEND = GateDecision(answer=GateVerdict.SEND)


class ServiceGate:
    """Decide on requests by the broker's grant, or locally without one."""

    def __init__(
        self,
        service: ServiceName,
        instance: InstanceId,
        policy: GatePolicy,
        generator: random.Random,
        now: Instant,
    ) -> None:
        self._service = service
        self._instance = instance
        self._policy = policy
        self._generator = generator
        self.congestion = congestion.CongestionDetector(policy.signs, now)
        self._demand_meter = demand.DemandMeter(policy.demand)
        self._refused_meter = demand.DemandMeter(policy.demand)
        self._throttle = local_throttle.LocalThrottle(
            policy.throttle, generator, now
        )
        self._lanes = lanes.Lanes(policy.lanes, generator)
        self._budget = second_attempts.SecondAttempts(policy.second, now)
        # Requests from removed lanes, sent by the next call of `admit`.
        self._released: list[CapacityRequest] = []
        self._grant: CapacityGrant | None = None
        self._grant_until = Instant(-math.inf)
        self._report_number = 0
        # Seconds within which callers want their answers.
        self._wanted_seconds = 0.0

    def offer(self, request: CapacityRequest, now: Instant) -> GateDecision:
        """Decide on a new request."""
        # Counted last: the decision depends on the demand of earlier requests.
        decision = self._decide(request, now)
        self._demand_meter.record(request.demand_class, now)
        wanted = request.wanted_by - request.arrived_at
        self._wanted_seconds += 0.1 * (wanted - self._wanted_seconds)
        return decision

    def _decide(self, request: CapacityRequest, now: Instant) -> GateDecision:
        if not self.is_congested(now):
            self._throttle.record(now)
            return _SEND
        grant = self._valid_grant(now)
        if grant is None:
            return self._decide_locally(request, now)
        self._throttle.record(now)
        if not grant.is_congested:
            return self._allow()
        return self._decide_by_lane(request, now)

    def admit(
        self, now: Instant
    ) -> list[tuple[CapacityRequest, GateDecision]]:
        """Return waiting requests to send or refuse now, with decisions."""
        if self._grant is not None and self._valid_grant(now) is None:
            self._released += self._lanes.clear()
        decisions = [(each, self._allow()) for each in self._released]
        self._released.clear()
        for lane in list(self._lanes.iterate()):
            decisions += self._admit_from_lane(lane, now)
        return decisions

    def next_wakeup(self, now: Instant) -> Instant | None:
        """Return when to call `admit` next, None if no request waits."""
        if self._released:
            return now
        return min(
            (
                min(
                    Instant(now + lane.bucket.seconds_until(1, now)),
                    self._latest_start(lane.waiting[0]),
                    self._grant_until,
                )
                for lane in self._lanes.iterate()
                if lane.waiting
            ),
            default=None,
        )

    def withdraw(self, request: CapacityRequest) -> None:
        """Remove a waiting request whose caller disconnected."""
        if request in self._released:
            self._released.remove(request)
        for lane in self._lanes.iterate():
            if request in lane.waiting:
                lane.waiting.remove(request)
                return

    def take_retry(self, request: CapacityRequest, now: Instant) -> bool:
        """Return whether a second attempt may be sent, and count it."""
        if not self._is_limited(now):
            return True
        if self._valid_grant(now) is None:
            return self._budget.take_retry()
        # Classes with excess demand get no second attempts; the others share
        # the fleet's budget.
        if self._lanes.is_capped(request.demand_class):
            return False
        return self._budget.take_lent(now)

    def take_hedge(self, request: CapacityRequest, now: Instant) -> bool:
        """Return whether a request may be hedged, and count the hedge."""
        return not self._is_limited(now) or self._budget.take_hedge()

    def record_start(self, now: Instant) -> None:
        """Record that an attempt is sent."""
        self.congestion.record_start(now)

    def record_answer(self, seconds: float, now: Instant) -> None:
        """Record an attempt that a target answered."""
        self.congestion.record_end(now)
        self.congestion.record_answer(seconds, now)

    def record_refusal(self, now: Instant) -> None:
        """Record an attempt that a target refused for lack of capacity."""
        self.congestion.record_end(now)
        self.congestion.record_refusal(now)
        self._throttle.record_refusal(now)

    def record_abandoned(self, now: Instant) -> None:
        """Record an attempt whose target neither answered nor refused."""
        self.congestion.record_end(now)

    def report(self, now: Instant) -> DemandReport | None:
        """Return a report for the broker, None without congestion."""
        if not self.is_congested(now):
            return None
        self._report_number += 1
        return DemandReport(
            service=self._service,
            instance=self._instance,
            number=self._report_number,
            demands=self._demand_meter.demands(now),
            in_flight=self.congestion.mean_in_flight(now),
            wanted_seconds=self._wanted_seconds,
            finished=self.congestion.finished_rate(now),
            refused=self.congestion.refused_rate(now),
        )

    def apply_grant(self, grant: CapacityGrant, sent_at: Instant) -> None:
        """Apply the broker's grant for a report sent at `sent_at`."""
        previous = self._grant
        if previous is not None and grant.number <= previous.number:
            return
        self._grant = grant
        self._grant_until = Instant(sent_at + grant.valid_for)
        self._released += self._lanes.apply_grant(grant, sent_at)
        self._budget.set_lent_rate(grant.second_rate, sent_at)

    def is_congested(self, now: Instant) -> bool:
        """Return whether this instance or the broker detects congestion."""
        return self.congestion.is_congested(now) or self._has_congested_grant(
            now
        )

    def _is_limited(self, now: Instant) -> bool:
        """Return whether second attempts are limited by a budget."""
        return self._budget.update_limited(
            self._has_congested_grant(now) or self._throttle.is_active(now)
        )

    def overview(self, now: Instant) -> tuple[ClassOverview, ...]:
        """Return the demand, lent rate and queue of each class."""
        refused = {
            each.demand_class: each.offered
            for each in self._refused_meter.demands(now)
        }
        return tuple(
            self._lanes.overview(
                each, refused.get(each.demand_class, 0.0), now
            )
            for each in self._demand_meter.demands(now)
        )

    def has_grant(self, now: Instant) -> bool:
        """Return whether a broker's grant is valid."""
        return self._valid_grant(now) is not None

    def retry_after(self, request: CapacityRequest, now: Instant) -> float:
        """Return the seconds after which a refused caller should retry."""
        grant = self._valid_grant(now)
        expected = self._policy.local_retry
        if grant is not None and grant.is_congested:
            expected = grant.retry_after
        # Random, so that refused callers don't retry at the same time.
        left = max(0.0, request.deadline - now) * self._policy.retry_part
        max_delay = min(max(expected, self._policy.local_retry), left)
        return self._generator.uniform(
            min(self._policy.min_retry, max_delay / 4.0), max_delay
        )

    def _has_congested_grant(self, now: Instant) -> bool:
        grant = self._valid_grant(now)
        return grant is not None and grant.is_congested

    def _valid_grant(self, now: Instant) -> CapacityGrant | None:
        return self._grant if now < self._grant_until else None

    def _decide_locally(
        self, request: CapacityRequest, now: Instant
    ) -> GateDecision:
        is_late = (
            self.congestion.service_seconds or 0.0
        ) > self._wanted_seconds
        if self._throttle.offer(
            request.demand_class, self._demand_meter, is_late, now
        ):
            return self._allow()
        return self._refuse(request, 0.0, 'the targets are overloaded', now)

    def _decide_by_lane(
        self, request: CapacityRequest, now: Instant
    ) -> GateDecision:
        seconds = self.congestion.service_seconds or 0.0
        if now + seconds > request.deadline:
            return self._refuse(request, 0.0, 'the deadline is too close', now)
        match self._lanes.draw_admission(request.demand_class):
            case True:
                return self._allow()
            case False:
                return self._refuse(request, 0.0, 'no capacity', now)
        lane = self._lanes.find(request.demand_class, now)
        if lane is None:
            return self._allow()
        if not lane.waiting and lane.bucket.try_take(now):
            return self._allow()
        wait = lane.wait_for_next(now)
        if now + wait > self._latest_start(request):
            return self._refuse(request, wait, 'no capacity in time', now)
        lane.waiting.append(request)
        return GateDecision(answer=GateVerdict.WAIT, predicted_wait=wait)

    def _admit_from_lane(
        self, lane: lanes.Lane, now: Instant
    ) -> list[tuple[CapacityRequest, GateDecision]]:
        decisions: list[tuple[CapacityRequest, GateDecision]] = []
        while lane.waiting:
            head = lane.waiting[0]
            latest = self._latest_start(head)
            if now <= latest and lane.bucket.try_take(now):
                decision = self._allow()
            elif now >= latest:
                decision = self._refuse(head, 0.0, 'no capacity in time', now)
            else:
                break
            lane.waiting.popleft()
            decisions.append((head, decision))
        return decisions

    def _latest_start(self, request: CapacityRequest) -> Instant:
        """Return the latest start for an answer within the wanted time."""
        seconds = self.congestion.service_seconds or 0.0
        # With only the mean reserved, about half of the answers would be late.
        latest = request.wanted_by - self._policy.margin * seconds
        return Instant(max(request.arrived_at, latest))

    def _allow(self) -> GateDecision:
        free_part = 0.0 if self._grant is None else self._grant.free_part
        self._budget.deposit(free_part)
        return _SEND

    def _refuse(
        self, request: CapacityRequest, wait: float, cause: str, now: Instant
    ) -> GateDecision:
        self._refused_meter.record(request.demand_class, now)
        return GateDecision(
            answer=GateVerdict.REFUSE,
            predicted_wait=wait,
            retry_after=self.retry_after(request, now),
            cause=cause,
        )
