"""Rule on one service's requests at one instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from yuccarill.core.capacity import congestion
from yuccarill.core.capacity import demand
from yuccarill.core.capacity.gate import Answer
from yuccarill.core.capacity.gate import CapacityRequest
from yuccarill.core.capacity.gate import Ruling
from yuccarill.core.capacity.gate_policy import GatePolicy
from yuccarill.core.capacity import lanes
from yuccarill.core.capacity import local_limit
from yuccarill.core.capacity.messages import CapacityGrant
from yuccarill.core.capacity.messages import DemandReport
from yuccarill.core.capacity.overview import ClassOverview
from yuccarill.core.capacity import second_attempts
from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    import random

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import ServiceName

_SEND = Ruling(answer=Answer.SEND)


class ServiceGate:
    """Decide at an instance by what the broker lent, or locally."""

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
        self.signs = congestion.CongestionSigns(policy.signs, now)
        self._demand = demand.DemandMeter(policy.demand)
        self._refused = demand.DemandMeter(policy.demand)
        self._throttle = local_limit.LocalThrottle(
            policy.throttle, generator, now
        )
        self._lanes = lanes.Lanes(policy.lanes, generator)
        self._second = second_attempts.SecondAttempts(policy.second, now)
        # Requests that waited in a lane that is gone.
        self._freed: list[CapacityRequest] = []
        self._grant: CapacityGrant | None = None
        self._grant_until = Instant(-math.inf)
        self._number = 0
        # Seconds within which callers want their answers.
        self._wanted_seconds = 0.0

    def offer(self, request: CapacityRequest, now: Instant) -> Ruling:
        """Rule on a request that has just come."""
        # Counted afterwards: else whoever asks seems to ask for more.
        ruling = self._rule(request, now)
        self._demand.note(request.demand_class, now)
        wanted = request.wanted_by - request.arrived_at
        self._wanted_seconds += 0.1 * (wanted - self._wanted_seconds)
        return ruling

    def _rule(self, request: CapacityRequest, now: Instant) -> Ruling:
        if not self.is_congested(now):
            self._throttle.note(now)
            return _SEND
        grant = self._valid_grant(now)
        if grant is None:
            return self._local(request, now)
        self._throttle.note(now)
        if not grant.is_congested:
            return self._sent()
        return self._by_lane(request, now)

    def admit(self, now: Instant) -> list[tuple[CapacityRequest, Ruling]]:
        """Return the waiting requests on which there is a ruling now."""
        if self._grant is not None and self._valid_grant(now) is None:
            self._freed += self._lanes.clear()
        ruled = [(each, self._sent()) for each in self._freed]
        self._freed.clear()
        for lane in list(self._lanes.all()):
            ruled += self._admit(lane, now)
        return ruled

    def wakes_at(self, now: Instant) -> Instant | None:
        """Return when `admit` has something new to say by itself."""
        if self._freed:
            return now
        return min(
            (
                min(
                    Instant(now + lane.bucket.seconds_until(1, now)),
                    self._latest_start(lane.waiting[0]),
                    self._grant_until,
                )
                for lane in self._lanes.all()
                if lane.waiting
            ),
            default=None,
        )

    def withdraw(self, request: CapacityRequest) -> None:
        """Forget a waiting request whose caller has left."""
        if request in self._freed:
            self._freed.remove(request)
        for lane in self._lanes.all():
            if request in lane.waiting:
                lane.waiting.remove(request)
                return

    def may_try_again(self, request: CapacityRequest, now: Instant) -> bool:
        """Tell whether a second attempt may be sent, and count it."""
        if not self._is_bounded(now):
            return True
        if self._valid_grant(now) is None:
            return self._second.may_try_again()
        # Those who ask for more than their part come back later; for the
        # others the fleet's budget counts, not this instance's alone.
        if self._lanes.is_short(request.demand_class):
            return False
        return self._second.may_use_lent(now)

    def may_hedge(self, request: CapacityRequest, now: Instant) -> bool:
        """Tell whether a second target may run a request, and count it."""
        return not self._is_bounded(now) or self._second.may_hedge()

    def started(self, now: Instant) -> None:
        """Learn that an attempt is sent."""
        self.signs.started(now)

    def finished(self, seconds: float, now: Instant) -> None:
        """Learn that a target has answered an attempt."""
        self.signs.ended(now)
        self.signs.finished(seconds, now)

    def refused(self, now: Instant) -> None:
        """Learn that a target had no room for an attempt."""
        self.signs.ended(now)
        self.signs.refused(now)
        self._throttle.refused(now)

    def gave_up(self, now: Instant) -> None:
        """Learn that an attempt ended with no word of its target."""
        self.signs.ended(now)

    def report(self, now: Instant) -> DemandReport | None:
        """Return what the broker has to know now, none while all is quiet."""
        if not self.is_congested(now):
            return None
        self._number += 1
        return DemandReport(
            service=self._service,
            instance=self._instance,
            number=self._number,
            demands=self._demand.demands(now),
            in_flight=self.signs.mean_in_flight(now),
            wanted_seconds=self._wanted_seconds,
            finished=self.signs.finished_rate(now),
            refused=self.signs.refused_rate(now),
        )

    def grant(self, grant: CapacityGrant, sent_at: Instant) -> None:
        """Take what the broker lends, in answer to a report sent then."""
        known = self._grant
        if known is not None and grant.number <= known.number:
            return
        self._grant = grant
        self._grant_until = Instant(sent_at + grant.valid_for)
        self._freed += self._lanes.take(grant, sent_at)
        self._second.lend(grant.second_rate, sent_at)

    def is_congested(self, now: Instant) -> bool:
        """Tell whether there is a sign of congestion, here or elsewhere."""
        return self.signs.is_congested(now) or self._is_lent(now)

    def _is_bounded(self, now: Instant) -> bool:
        """Tell whether second attempts come out of a budget."""
        return self._second.bound(
            self._is_lent(now) or self._throttle.is_bounding(now)
        )

    def overview(self, now: Instant) -> tuple[ClassOverview, ...]:
        """Return what each class asks for, gets and waits for here."""
        refused = {
            each.demand_class: each.offered
            for each in self._refused.demands(now)
        }
        return tuple(
            self._lanes.overview(
                each, refused.get(each.demand_class, 0.0), now
            )
            for each in self._demand.demands(now)
        )

    def has_grant(self, now: Instant) -> bool:
        """Tell whether a broker's answer is in force."""
        return self._valid_grant(now) is not None

    def retry_after(self, request: CapacityRequest, now: Instant) -> float:
        """Return when a refused caller had best come back, in seconds."""
        grant = self._valid_grant(now)
        expected = self._policy.local_retry
        if grant is not None and grant.is_congested:
            expected = grant.retry_after
        # At any moment of this time, so that callers don't meet again.
        left = max(0.0, request.deadline - now) * self._policy.retry_part
        longest = min(max(expected, self._policy.local_retry), left)
        return self._generator.uniform(
            min(self._policy.min_retry, longest / 4.0), longest
        )

    def _is_lent(self, now: Instant) -> bool:
        grant = self._valid_grant(now)
        return grant is not None and grant.is_congested

    def _valid_grant(self, now: Instant) -> CapacityGrant | None:
        return self._grant if now < self._grant_until else None

    def _local(self, request: CapacityRequest, now: Instant) -> Ruling:
        is_late = (self.signs.service_seconds or 0.0) > self._wanted_seconds
        if self._throttle.offer(
            request.demand_class, self._demand, is_late, now
        ):
            return self._sent()
        return self._refusal(request, 0.0, 'targets refuse', now)

    def _by_lane(self, request: CapacityRequest, now: Instant) -> Ruling:
        seconds = self.signs.service_seconds or 0.0
        if now + seconds > request.deadline:
            return self._refusal(request, 0.0, 'service takes too long', now)
        match self._lanes.is_drawn(request.demand_class):
            case True:
                return self._sent()
            case False:
                return self._refusal(request, 0.0, 'no capacity', now)
        lane = self._lanes.find(request.demand_class, now)
        if lane is None:
            return self._sent()
        if not lane.waiting and lane.bucket.take(now):
            return self._sent()
        wait = lane.wait_for_next(now)
        if now + wait > self._latest_start(request):
            return self._refusal(request, wait, 'no capacity in time', now)
        lane.waiting.append(request)
        return Ruling(answer=Answer.WAIT, predicted_wait=wait)

    def _admit(
        self, lane: lanes.Lane, now: Instant
    ) -> list[tuple[CapacityRequest, Ruling]]:
        ruled: list[tuple[CapacityRequest, Ruling]] = []
        while lane.waiting:
            head = lane.waiting[0]
            latest = self._latest_start(head)
            if now <= latest and lane.bucket.take(now):
                ruling = self._sent()
            elif now >= latest:
                ruling = self._refusal(head, 0.0, 'no capacity in time', now)
            else:
                break
            lane.waiting.popleft()
            ruled.append((head, ruling))
        return ruled

    def _latest_start(self, request: CapacityRequest) -> Instant:
        """Return until when waiting leaves an answer its worth."""
        seconds = self.signs.service_seconds or 0.0
        # Half of all take longer than the mean.
        in_time = request.wanted_by - self._policy.margin * seconds
        return Instant(max(request.arrived_at, in_time))

    def _sent(self) -> Ruling:
        free_part = 0.0 if self._grant is None else self._grant.free_part
        self._second.deposit(free_part)
        return _SEND

    def _refusal(
        self, request: CapacityRequest, wait: float, cause: str, now: Instant
    ) -> Ruling:
        self._refused.note(request.demand_class, now)
        return Ruling(
            answer=Answer.REFUSE,
            predicted_wait=wait,
            retry_after=self.retry_after(request, now),
            cause=cause,
        )
