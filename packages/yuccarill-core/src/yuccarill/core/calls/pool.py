"""Choose targets of one service or model, at a cost that does not grow."""

from __future__ import annotations

import collections
import enum
import heapq
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls import member as member_module
from yuccarill.core.calls.member import Member
from yuccarill.core.calls import prefixes
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    import random

    from yuccarill.core.calls.load import LoadReport


class Failure(enum.Enum):
    """Say how a target failed an attempt."""

    NOT_CONNECTED = 'not connected'
    CUT = 'cut'
    TIMED_OUT = 'timed out'
    REFUSED = 'refused'


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how targets are chosen and set aside."""

    # Calls that a target elsewhere must have fewer to be chosen.
    far_penalty: float = 1.5
    # The part of the targets that is never ejected.
    floor: float = 0.5
    # Seconds of the first ejection; each further one in a row doubles it.
    ejection: float = 1.0
    max_ejection: float = 30.0
    # Seconds over which a new or returned target comes to its full share.
    slow_start: float = 10.0
    slow_start_penalty: float = 2.0
    # Calls that a target with a cached prefix may have more.
    prefix_bonus: float = 2.0
    # Calls that a target with an open, idle connection may have more. Less
    # than one, so that none waits behind another for its sake.
    open_bonus: float = 0.5


# A timeout alone may be one long call; a second one in a row is not.
_WEIGHT_BY_FAILURE = {
    Failure.NOT_CONNECTED: 2,
    Failure.CUT: 2,
    Failure.TIMED_OUT: 1,
    Failure.REFUSED: 1,
}
_EJECTION_WEIGHT = 2
_SAMPLES = 2
_REMEMBERED = 64
# Light targets that are kept for urgent calls, and that one looks at.
_RESERVED = 4
_URGENT_LOOKS = 8
_LOAD_PART = 0.02


class Pool:
    """Hold the targets that can answer the same calls."""

    def __init__(
        self, policy: RoutingPolicy, generator: random.Random
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._members_by_id: dict[TargetId, Member] = {}
        self._near: list[Member] = []
        self._far: list[Member] = []
        self._returns: list[tuple[Instant, TargetId]] = []
        self._light: collections.deque[Member] = collections.deque(
            maxlen=_REMEMBERED
        )
        self._latency = 0.0
        self._ring = prefixes.PrefixRing()
        # Calls that other instances usually have at a target.
        self._usual = 0.0

    def __len__(self) -> int:
        return len(self._members_by_id)

    @property
    def usable(self) -> int:
        """Count the targets that are not ejected."""
        return len(self._near) + len(self._far)

    @property
    def latency(self) -> float:
        """Return the usual latency in seconds, 0 if it is not known."""
        return self._latency

    def update(
        self,
        centres_by_id: Mapping[TargetId, DataCentreId],
        here: DataCentreId,
        now: Instant,
    ) -> None:
        """Take the targets of a new configuration."""
        is_first = not self._members_by_id
        for target in self._members_by_id.keys() - centres_by_id.keys():
            # Taken out of the lists that choices are made from: it gets
            # no new work from now on.
            self._take_out(self._members_by_id.pop(target))
        for target, centre in centres_by_id.items():
            if target in self._members_by_id:
                continue
            is_near = centre == here
            penalty = 0.0 if is_near else self._policy.far_penalty
            member = Member(target, penalty)
            self._members_by_id[target] = member
            if not is_first:
                member.started_at = now
            self._put_in(member)
        near = [m.id for m in self._near]
        self._ring.update(near or list(self._members_by_id))

    def forget(self, target: TargetId) -> None:
        """Forget a target, so that it is new at the next update."""
        member = self._members_by_id.pop(target, None)
        if member is not None:
            self._take_out(member)

    def choose(
        self,
        now: Instant,
        tried: frozenset[TargetId] = frozenset(),
        is_urgent: bool = False,
        prefix: str | None = None,
        connected: Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return a target with probably little load, or none.

        A prefix is what engines may have cached of a prompt; connected are
        those to which a connection is open and idle.
        """
        self._return_ejected(now)
        best: Member | None = None
        best_cost = math.inf
        likely = self._ring.find(prefix) if prefix else None
        if likely in tried:
            likely = None
        candidates = self._candidates(tried, is_urgent, likely)
        candidates += self._connected(connected, tried)
        for member in candidates:
            cost = member.cost(now, self._usual, self._latency)
            cost += self._slow_start(member, now)
            if member.id == likely:
                cost -= self._policy.prefix_bonus
            if member.id in connected:
                cost -= self._policy.open_bonus
            if cost < best_cost:
                best, best_cost = member, cost
        return best.id if best is not None else None

    def estimate(self, target: TargetId, now: Instant) -> float:
        """Return the calls that a target probably has."""
        return self._members_by_id[target].load.estimate(now, self._usual)

    def send(self, target: TargetId) -> None:
        """Count an attempt from before its first byte."""
        member = self._members_by_id.get(target)
        if member is not None:
            member.load.own += 1

    def give_up(self, target: TargetId) -> None:
        """Take back an attempt whose end says nothing of its target."""
        member = self._members_by_id.get(target)
        if member is not None:
            member.load.own = max(0, member.load.own - 1)

    def answer(
        self,
        target: TargetId,
        seconds: float,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Learn from an attempt that was answered."""
        self.give_up(target)
        member = self._members_by_id.get(target)
        if member is None:
            return
        member.weight = 0
        member.ejections = 0
        member.latency = member_module.average(member.latency, seconds)
        self._latency = member_module.average(self._latency, seconds)
        if report is not None:
            others = member.load.report(report, now)
            self._usual += _LOAD_PART * (others - self._usual)
            if others <= self._usual and member.group is not None:
                self._light.append(member)

    def fail(self, target: TargetId, failure: Failure, now: Instant) -> None:
        """Learn from an attempt that failed."""
        self.give_up(target)
        member = self._members_by_id.get(target)
        if member is None:
            return
        member.weight += _WEIGHT_BY_FAILURE[failure]
        if member.weight >= _EJECTION_WEIGHT and member.group is not None:
            self._eject(member, now)

    def _candidates(
        self,
        tried: frozenset[TargetId],
        is_urgent: bool,
        likely: TargetId | None,
    ) -> list[Member]:
        found = []
        if likely is not None:
            member = self._members_by_id[likely]
            if member.group is not None:
                found.append(member)
        for group in (self._near, self._far):
            if len(group) <= _SAMPLES:
                found += group
            else:
                found += self._generator.sample(group, _SAMPLES)
        # Two random picks out of many hardly ever hit a target of which
        # something is known. One that just answered has a free place;
        # source: Mitzenmacher, Prabhakar and Shah, Load balancing with
        # memory, 2002.
        looked_at = _URGENT_LOOKS if is_urgent else 1
        if is_urgent or len(self._light) > _RESERVED:
            found += self._take_light(looked_at)
        untried = [member for member in found if member.id not in tried]
        if untried or not tried:
            return untried
        return [m for m in self._near + self._far if m.id not in tried]

    def _connected(
        self, connected: Collection[TargetId], tried: frozenset[TargetId]
    ) -> list[Member]:
        # Sixty instances with a request each four seconds opened a
        # connection for most of them: two random picks out of 17 targets
        # hardly ever hit one that was still open.
        found = [
            self._members_by_id[target]
            for target in connected
            if target in self._members_by_id and target not in tried
        ]
        usable = [member for member in found if member.group is not None]
        if len(usable) <= _SAMPLES:
            return usable
        return self._generator.sample(usable, _SAMPLES)

    def _take_light(self, count: int) -> list[Member]:
        taken: list[Member] = []
        while self._light and len(taken) < count:
            member = self._light.pop()
            if member.group is not None:
                taken.append(member)
        # All but the newest stay for the next calls.
        self._light.extend(reversed(taken[1:]))
        return taken

    def _slow_start(self, member: Member, now: Instant) -> float:
        # All instances see a target come at once; without this it gets
        # their whole load while its caches are still cold.
        left = 1.0 - (now - member.started_at) / self._policy.slow_start
        return max(0.0, left) * self._policy.slow_start_penalty

    def _eject(self, member: Member, now: Instant) -> None:
        # Ejecting most targets sends everybody's load to the last ones,
        # which then fail too; a bad target costs a retry.
        if self.usable - 1 < self._policy.floor * len(self):
            return
        self._take_out(member)
        member.weight = 0
        seconds = min(
            self._policy.ejection * 2.0**member.ejections,
            self._policy.max_ejection,
        )
        member.ejections += 1
        heapq.heappush(self._returns, (Instant(now + seconds), member.id))

    def _return_ejected(self, now: Instant) -> None:
        while self._returns and self._returns[0][0] <= now:
            _, target = heapq.heappop(self._returns)
            member = self._members_by_id.get(target)
            if member is not None and member.group is None:
                member.started_at = now
                self._put_in(member)

    def _put_in(self, member: Member) -> None:
        group = self._far if member.penalty else self._near
        member.group = group
        member.position = len(group)
        group.append(member)

    def _take_out(self, member: Member) -> None:
        group = member.group
        if group is None:
            return
        last = group.pop()
        if last is not member:
            group[member.position] = last
            last.position = member.position
        member.group = None
