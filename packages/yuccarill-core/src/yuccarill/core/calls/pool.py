"""Choose targets at a cost that does not grow with their number."""

from __future__ import annotations

import collections
import enum
import heapq
import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls import pool_member as member_module
from yuccarill.core.calls.pool_member import Member
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
    """List the ways in which a target fails an attempt."""

    NOT_CONNECTED = 'not connected'
    DISCONNECTED = 'cut'
    TIMED_OUT = 'timed out'
    REFUSED = 'refused'


class RoutingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure how targets are chosen and ejected."""

    # Cost of a target in another data centre, in calls.
    far_penalty: float = 1.5
    # Minimum fraction of the targets that stays available.
    floor: float = 0.5
    # Seconds of the first ejection, doubled by each consecutive one.
    ejection: float = 1.0
    max_ejection: float = 30.0
    # Seconds in which a new or returned target ramps up to its full share.
    slow_start: float = 10.0
    slow_start_penalty: float = 2.0
    # Cost reduction of a target with a cached prefix, in calls.
    prefix_bonus: float = 2.0
    # Cost reduction of a target with an open, idle connection, in calls; less
    # than 1, so that no call queues for the sake of a connection.
    open_bonus: float = 0.5


# A timeout may be caused by a long call, so one alone ejects no target.
_WEIGHT_BY_FAILURE = {
    Failure.NOT_CONNECTED: 2,
    Failure.DISCONNECTED: 2,
    Failure.TIMED_OUT: 1,
    Failure.REFUSED: 1,
}
_EJECTION_WEIGHT = 2
_SAMPLE_SIZE = 2
_MAX_LIGHTLY_LOADED = 64
# Lightly loaded targets: reserved for urgent calls; considered for each one.
_RESERVED_FOR_URGENT = 4
_URGENT_CANDIDATES = 8
_LOAD_SMOOTHING = 0.02


class Pool:
    """Track and choose among the targets of one service or model."""

    def __init__(
        self, policy: RoutingPolicy, generator: random.Random
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._members_by_id: dict[TargetId, Member] = {}
        self._near: list[Member] = []
        self._far: list[Member] = []
        self._ejection_ends: list[tuple[Instant, TargetId]] = []
        self._lightly_loaded: collections.deque[Member] = collections.deque(
            maxlen=_MAX_LIGHTLY_LOADED
        )
        self._latency = 0.0
        self._ring = prefixes.PrefixRing()
        # Mean number of calls of other instances at a target.
        self._mean_others = 0.0

    def __len__(self) -> int:
        return len(self._members_by_id)

    @property
    def usable(self) -> int:
        """Return the number of targets that are not ejected."""
        return len(self._near) + len(self._far)

    @property
    def latency(self) -> float:
        """Return the mean latency in seconds, 0 if unknown."""
        return self._latency

    def update(
        self,
        centres_by_id: Mapping[TargetId, DataCentreId],
        here: DataCentreId,
        now: Instant,
    ) -> None:
        """Apply the targets of a new configuration."""
        is_first = not self._members_by_id
        for target in self._members_by_id.keys() - centres_by_id.keys():
            self._remove_from_group(self._members_by_id.pop(target))
        for target, centre in centres_by_id.items():
            if target in self._members_by_id:
                continue
            is_near = centre == here
            penalty = 0.0 if is_near else self._policy.far_penalty
            member = Member(target, penalty)
            self._members_by_id[target] = member
            if not is_first:
                member.added_at = now
            self._add_to_group(member)
        near = [m.id for m in self._near]
        self._ring.update(near or list(self._members_by_id))

    def remove(self, target: TargetId) -> None:
        """Remove a target, so that the next update adds it as new."""
        member = self._members_by_id.pop(target, None)
        if member is not None:
            self._remove_from_group(member)

    def choose(
        self,
        now: Instant,
        tried: frozenset[TargetId] = frozenset(),
        is_urgent: bool = False,
        prefix: str | None = None,
        connected: Collection[TargetId] = (),
    ) -> TargetId | None:
        """Return a target with a low estimated cost, or None.

        `prefix` is the start of a prompt that engines may have cached;
        `connected` are the targets with an open, idle connection.
        """
        self._return_ejected(now)
        best: Member | None = None
        best_cost = math.inf
        prefix_target = self._ring.find(prefix) if prefix else None
        if prefix_target in tried:
            prefix_target = None
        candidates = self._candidates(tried, is_urgent, prefix_target)
        candidates += self._connected_members(connected, tried)
        for member in candidates:
            cost = member.cost(now, self._mean_others, self._latency)
            cost += self._slow_start_cost(member, now)
            if member.id == prefix_target:
                cost -= self._policy.prefix_bonus
            if member.id in connected:
                cost -= self._policy.open_bonus
            if cost < best_cost:
                best, best_cost = member, cost
        return best.id if best is not None else None

    def estimate(self, target: TargetId, now: Instant) -> float:
        """Return the estimated number of calls at a target."""
        return self._members_by_id[target].load.estimate(
            now, self._mean_others
        )

    def record_send(self, target: TargetId) -> None:
        """Count an attempt; call this before its first byte is sent."""
        member = self._members_by_id.get(target)
        if member is not None:
            member.load.own += 1

    def cancel_attempt(self, target: TargetId) -> None:
        """Stop counting an attempt that was neither answered nor failed."""
        member = self._members_by_id.get(target)
        if member is not None:
            member.load.own = max(0, member.load.own - 1)

    def record_answer(
        self,
        target: TargetId,
        seconds: float,
        report: LoadReport | None,
        now: Instant,
    ) -> None:
        """Record an answered attempt."""
        self.cancel_attempt(target)
        member = self._members_by_id.get(target)
        if member is None:
            return
        member.failures = 0
        member.ejections = 0
        member.latency = member_module.update_average(member.latency, seconds)
        self._latency = member_module.update_average(self._latency, seconds)
        if report is not None:
            others = member.load.record_report(report, now)
            self._mean_others += _LOAD_SMOOTHING * (others - self._mean_others)
            if others <= self._mean_others and member.group is not None:
                self._lightly_loaded.append(member)

    def record_failure(
        self, target: TargetId, failure: Failure, now: Instant
    ) -> None:
        """Record a failed attempt."""
        self.cancel_attempt(target)
        member = self._members_by_id.get(target)
        if member is None:
            return
        member.failures += _WEIGHT_BY_FAILURE[failure]
        if member.failures >= _EJECTION_WEIGHT and member.group is not None:
            self._eject(member, now)

    def _candidates(
        self,
        tried: frozenset[TargetId],
        is_urgent: bool,
        prefix_target: TargetId | None,
    ) -> list[Member]:
        candidates = []
        if prefix_target is not None:
            member = self._members_by_id[prefix_target]
            if member.group is not None:
                candidates.append(member)
        for group in (self._near, self._far):
            if len(group) <= _SAMPLE_SIZE:
                candidates += group
            else:
                candidates += self._generator.sample(group, _SAMPLE_SIZE)
        # Random samples of many targets rarely include one with a recent
        # report. A target that just answered has a free slot. Source:
        # Mitzenmacher, Prabhakar, Shah, Load balancing with memory, 2002.
        count = _URGENT_CANDIDATES if is_urgent else 1
        if is_urgent or len(self._lightly_loaded) > _RESERVED_FOR_URGENT:
            candidates += self._pop_lightly_loaded(count)
        untried = [m for m in candidates if m.id not in tried]
        if untried or not tried:
            return untried
        return [m for m in self._near + self._far if m.id not in tried]

    def _connected_members(
        self, connected: Collection[TargetId], tried: frozenset[TargetId]
    ) -> list[Member]:
        # Random samples rarely include a connected target, so instances with
        # few requests would open a connection for most of them.
        found = [
            self._members_by_id[target]
            for target in connected
            if target in self._members_by_id and target not in tried
        ]
        usable = [member for member in found if member.group is not None]
        if len(usable) <= _SAMPLE_SIZE:
            return usable
        return self._generator.sample(usable, _SAMPLE_SIZE)

    def _pop_lightly_loaded(self, count: int) -> list[Member]:
        taken: list[Member] = []
        while self._lightly_loaded and len(taken) < count:
            member = self._lightly_loaded.pop()
            if member.group is not None:
                taken.append(member)
        # Keep all but the most recent one for later calls.
        self._lightly_loaded.extend(reversed(taken[1:]))
        return taken

    def _slow_start_cost(self, member: Member, now: Instant) -> float:
        # All instances discover a target at once; without a slow start it
        # would get their whole load while its caches are cold.
        remaining = 1.0 - (now - member.added_at) / self._policy.slow_start
        return max(0.0, remaining) * self._policy.slow_start_penalty

    def _eject(self, member: Member, now: Instant) -> None:
        # Ejecting most targets would overload the remaining ones; keeping a
        # failing target costs only a retry.
        if self.usable - 1 < self._policy.floor * len(self):
            return
        self._remove_from_group(member)
        member.failures = 0
        seconds = min(
            self._policy.ejection * 2.0**member.ejections,
            self._policy.max_ejection,
        )
        member.ejections += 1
        heapq.heappush(
            self._ejection_ends, (Instant(now + seconds), member.id)
        )

    def _return_ejected(self, now: Instant) -> None:
        while self._ejection_ends and self._ejection_ends[0][0] <= now:
            _, target = heapq.heappop(self._ejection_ends)
            member = self._members_by_id.get(target)
            if member is not None and member.group is None:
                member.added_at = now
                self._add_to_group(member)

    def _add_to_group(self, member: Member) -> None:
        group = self._far if member.penalty else self._near
        member.group = group
        member.group_index = len(group)
        group.append(member)

    def _remove_from_group(self, member: Member) -> None:
        group = member.group
        if group is None:
            return
        last = group.pop()
        if last is not member:
            group[member.group_index] = last
            last.group_index = member.group_index
        member.group = None
