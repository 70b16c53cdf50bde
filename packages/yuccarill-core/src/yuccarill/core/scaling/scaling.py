"""Decide which orders for targets are sent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import Instant
from yuccarill.core.ids import ServiceName
from yuccarill.core.scaling.plan import OrderEnd
from yuccarill.core.scaling.plan import TargetKind
from yuccarill.core.scaling.plan import TargetOrder
from yuccarill.core.scaling import sizing

if TYPE_CHECKING:
    from yuccarill.core.ids import DataCentreId
    from yuccarill.core.scaling.measure import WorkMeasure
    from yuccarill.core.scaling.plan import ScalingBounds
    from yuccarill.core.scaling.sizing import Counts
    from yuccarill.core.scaling.sizing import Place


class ScalingPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure when target counts change; times are in seconds."""

    sizing: sizing.SizingPolicy = sizing.SizingPolicy()
    # Surplus targets that are kept.
    max_surplus_targets: int = 1
    # Time for which fewer targets must suffice before the service shrinks.
    shrink_after: float = 4.0
    # Fraction of the targets that one step may release.
    max_shrink_fraction: float = 0.25
    # Minimum time between two orders for one data centre and kind.
    order_pause: float = 1.0
    # Time for which a data centre without capacity is skipped.
    unavailable_for: float = 10.0
    # Time after `boot_seconds` until unlisted targets are ordered again.
    missing_after: float = 4.0


class Scaling:
    """Track the targets ordered by the lease holder of one service."""

    def __init__(self, service: ServiceName, policy: ScalingPolicy) -> None:
        self._service = service
        self._policy = policy
        # Ordered targets, as far as known to this holder.
        self._counts: Counts = {}
        # Earliest next order to each place that this holder sent one to.
        self._may_order_at: dict[Place, Instant] = {}
        self._unavailable_until: dict[Place, Instant] = {}
        # When a place began to have fewer targets than ordered.
        self._missing_since: dict[Place, Instant] = {}
        # When a place began to have more targets than ordered.
        self._surplus_since: dict[Place, Instant] = {}
        self._listed: Counts = {}
        # When all targets ordered by an earlier holder are listed.
        self._settled_at: Instant | None = None
        self._shrink_at: Instant | None = None

    def orders(
        self,
        bounds: ScalingBounds,
        slots: int,
        measure: WorkMeasure,
        listed: Counts,
        now: Instant,
    ) -> list[TargetOrder]:
        """Return the orders to send, at most one per place."""
        self._listed = _orderable(listed, bounds)
        self._counts = _orderable(self._counts, bounds)
        if self._settled_at is None:
            self._settled_at = Instant(now + bounds.boot_seconds)
        self._adopt_listed(bounds, now)
        if not self._counts:
            return []
        found = self._overdue(bounds, now)
        if now >= self._settled_at:
            found.update(self._changed_counts(bounds, slots, measure, now))
        return [
            TargetOrder(
                service=self._service,
                data_centre=centre,
                kind=kind,
                count=self._clamp(bounds, (centre, kind), count),
            )
            for (centre, kind), count in found.items()
            if now >= self._may_order_at.get((centre, kind), now)
        ]

    def record_sent(self, order: TargetOrder, now: Instant) -> None:
        """Record that an order is sent."""
        place = (order.data_centre, order.kind)
        self._may_order_at[place] = Instant(now + self._policy.order_pause)

    def record_result(
        self, order: TargetOrder, end: OrderEnd, now: Instant
    ) -> None:
        """Record the result of an order.

        An order with an unknown result or over the rate limit is repeated,
        which is idempotent: an order sets a count instead of changing it.
        """
        place = (order.data_centre, order.kind)
        match end:
            case OrderEnd.ACCEPTED | OrderEnd.REFUSED:
                self._counts[place] = order.count
                self._missing_since.pop(place, None)
            case OrderEnd.UNAVAILABLE:
                until = Instant(now + self._policy.unavailable_for)
                self._unavailable_until[place] = until
                if order.count <= self._counts.get(place, 0):
                    # Unlisted targets are not replaced without capacity.
                    self._counts[place] = self._listed.get(place, 0)
            case OrderEnd.BUSY | OrderEnd.UNKNOWN:
                pass

    def _adopt_listed(self, bounds: ScalingBounds, now: Instant) -> None:
        """Raise the ordered counts to the listed ones.

        A place without an order of this holder is raised at once, others after
        the start timeout: a lasting surplus stems from an order without a
        response or from an earlier holder.
        """
        start_timeout = bounds.boot_seconds + self._policy.missing_after
        self._surplus_since = {
            place: self._surplus_since.get(place, now)
            for place, count in self._listed.items()
            if count > self._counts.get(place, 0)
        }
        for place, since in self._surplus_since.items():
            if place not in self._may_order_at or now >= since + start_timeout:
                self._counts[place] = self._listed[place]

    def _changed_counts(
        self,
        bounds: ScalingBounds,
        slots: int,
        measure: WorkMeasure,
        now: Instant,
    ) -> Counts:
        needed = self._needed(bounds, measure.demand, slots)
        ordered = sum(self._counts.values())
        if needed.total > ordered:
            self._shrink_at = None
            wanted = self._placement(needed, bounds, now)
            # No place shrinks while the service grows.
            return {
                place: count
                for place, count in wanted.items()
                if count > self._counts.get(place, 0)
            }
        if needed.total + self._policy.max_surplus_targets >= ordered:
            self._shrink_at = None
            return {}
        if not self._may_shrink(measure, now):
            return {}
        wanted = self._placement(self._shrink(needed, ordered), bounds, now)
        return {
            place: count
            for place, count in wanted.items()
            if count != self._counts.get(place, 0)
        }

    def _needed(
        self, bounds: ScalingBounds, demand: float, slots: int
    ) -> sizing.Size:
        """Return the size for the demand, at least the configured minimum."""
        found = sizing.size(self._policy.sizing, bounds, demand, slots)
        least = bounds.least * len(self._centres())
        return sizing.Size(
            total=max(found.total, least), regular=max(found.regular, least)
        )

    def _shrink(self, needed: sizing.Size, ordered: int) -> sizing.Size:
        """Return the size after one step towards the needed size."""
        least = math.ceil(ordered * (1.0 - self._policy.max_shrink_fraction))
        total = max(needed.total, least)
        revocable = needed.total - needed.regular
        return sizing.Size(total=total, regular=total - revocable)

    def _may_shrink(self, measure: WorkMeasure, now: Instant) -> bool:
        if not measure.has_full_window(now):
            return False
        if self._shrink_at is None:
            self._shrink_at = Instant(now + self._policy.shrink_after)
        if now < self._shrink_at:
            return False
        self._shrink_at = Instant(now + self._policy.shrink_after)
        return True

    def _placement(
        self, needed: sizing.Size, bounds: ScalingBounds, now: Instant
    ) -> Counts:
        unavailable: dict[TargetKind, set[DataCentreId]] = {}
        for (centre, kind), until in self._unavailable_until.items():
            if now < until:
                unavailable.setdefault(kind, set()).add(centre)
        return sizing.place_targets(
            needed, bounds, self._centres(), unavailable, self._counts
        )

    def _centres(self) -> set[DataCentreId]:
        return {centre for centre, _ in self._counts}

    def _clamp(self, bounds: ScalingBounds, place: Place, count: int) -> int:
        """Limit a count to the bounds of its data centre."""
        other_count = sum(
            known
            for other, known in self._counts.items()
            if other[0] == place[0] and other != place
        )
        known = min(bounds.most, self._counts.get(place, 0))
        most = max(known, bounds.most - other_count)
        least = bounds.least if place[1] is TargetKind.REGULAR else 0
        return min(max(count, least), most)

    def _overdue(self, bounds: ScalingBounds, now: Instant) -> Counts:
        """Return the ordered counts of places whose targets are overdue."""
        found: Counts = {}
        start_timeout = bounds.boot_seconds + self._policy.missing_after
        for place, count in self._counts.items():
            if self._listed.get(place, 0) >= count:
                self._missing_since.pop(place, None)
                continue
            since = self._missing_since.setdefault(place, now)
            if now >= since + start_timeout:
                self._missing_since[place] = now
                found[place] = count
        return found


def _orderable(counts: Counts, bounds: ScalingBounds) -> Counts:
    """Return the counts of the kinds that may be ordered."""
    return {
        place: count
        for place, count in counts.items()
        if place[1] is TargetKind.REGULAR or bounds.revocable_part is not None
    }
