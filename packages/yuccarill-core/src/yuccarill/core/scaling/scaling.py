"""Decide which orders of targets are sent now."""

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
    """Set when numbers change; times are in seconds."""

    sizing: sizing.SizingPolicy = sizing.SizingPolicy()
    # Targets more than are needed that are kept.
    kept_over: int = 1
    # How long fewer targets have to be enough before some are given up.
    shrink_after: float = 4.0
    # Part of the targets that is given up at once.
    shrink_part: float = 0.25
    # Between two orders for one place.
    order_pause: float = 1.0
    # For which a data centre that had none to give is left out.
    unavailable_for: float = 10.0
    # Beyond the time that targets take to start, after which the same number
    # is ordered once more.
    missing_after: float = 4.0


class Scaling:
    """Track the targets that one service's holder has ordered."""

    def __init__(self, service: ServiceName, policy: ScalingPolicy) -> None:
        self._service = service
        self._policy = policy
        # What stands at the platform as far as it is known here.
        self._counts: Counts = {}
        # When the next order may be sent, for places that got one from here.
        self._may_order_at: dict[Place, Instant] = {}
        self._unavailable_until: dict[Place, Instant] = {}
        # Since when a place has had fewer targets than were ordered.
        self._missing_since: dict[Place, Instant] = {}
        # Since when a place has had more targets than were ordered.
        self._surplus_since: dict[Place, Instant] = {}
        self._listed: Counts = {}
        # When all that an earlier holder ordered is listed.
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
        """Return the orders to send, at most one a place."""
        self._listed = _usable(listed, bounds)
        self._counts = _usable(self._counts, bounds)
        if self._settled_at is None:
            self._settled_at = Instant(now + bounds.boot_seconds)
        self._adopt(bounds, now)
        if not self._counts:
            return []
        found = self._missing(bounds, now)
        if now >= self._settled_at:
            found.update(self._changes(bounds, slots, measure, now))
        return [
            TargetOrder(
                service=self._service,
                data_centre=centre,
                kind=kind,
                count=self._within(bounds, (centre, kind), count),
            )
            for (centre, kind), count in found.items()
            if now >= self._may_order_at.get((centre, kind), now)
        ]

    def sent(self, order: TargetOrder, now: Instant) -> None:
        """Note that an order is sent."""
        place = (order.data_centre, order.kind)
        self._may_order_at[place] = Instant(now + self._policy.order_pause)

    def ended(self, order: TargetOrder, end: OrderEnd, now: Instant) -> None:
        """Learn what became of an order.

        One that is unclear or met a busy interface is sent again as long as
        it is wanted: it names a number and not a change.
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
                    # What was ordered before is lost as well.
                    self._counts[place] = self._listed.get(place, 0)
            case OrderEnd.BUSY | OrderEnd.UNKNOWN:
                pass

    def _adopt(self, bounds: ScalingBounds, now: Instant) -> None:
        """Take the most that was listed for ordered, until one is sent.

        Afterwards, what stays listed beyond an order was ordered too: by an
        order without an answer, or by an earlier holder.
        """
        patience = bounds.boot_seconds + self._policy.missing_after
        self._surplus_since = {
            place: self._surplus_since.get(place, now)
            for place, count in self._listed.items()
            if count > self._counts.get(place, 0)
        }
        for place, since in self._surplus_since.items():
            if place not in self._may_order_at or now >= since + patience:
                self._counts[place] = self._listed[place]

    def _changes(
        self,
        bounds: ScalingBounds,
        slots: int,
        measure: WorkMeasure,
        now: Instant,
    ) -> Counts:
        needed = self._needed(bounds, measure.wanted, slots)
        ordered = sum(self._counts.values())
        if needed.total > ordered:
            self._shrink_at = None
            wanted = self._placed(needed, bounds, now)
            # None fewer anywhere while more are needed somewhere.
            return {
                place: count
                for place, count in wanted.items()
                if count > self._counts.get(place, 0)
            }
        if needed.total + self._policy.kept_over >= ordered:
            self._shrink_at = None
            return {}
        if not self._may_shrink(measure, now):
            return {}
        wanted = self._placed(self._smaller(needed, ordered), bounds, now)
        return {
            place: count
            for place, count in wanted.items()
            if count != self._counts.get(place, 0)
        }

    def _needed(
        self, bounds: ScalingBounds, wanted: float, slots: int
    ) -> sizing.Size:
        """Return what serves the work, and the least of each data centre."""
        found = sizing.size(self._policy.sizing, bounds, wanted, slots)
        least = bounds.least * len(self._centres())
        return sizing.Size(
            total=max(found.total, least), regular=max(found.regular, least)
        )

    def _smaller(self, needed: sizing.Size, ordered: int) -> sizing.Size:
        """Return a size on the way to what is needed."""
        least = math.ceil(ordered * (1.0 - self._policy.shrink_part))
        total = max(needed.total, least)
        revocable = needed.total - needed.regular
        return sizing.Size(total=total, regular=total - revocable)

    def _may_shrink(self, measure: WorkMeasure, now: Instant) -> bool:
        if not measure.is_whole(now):
            return False
        if self._shrink_at is None:
            self._shrink_at = Instant(now + self._policy.shrink_after)
        if now < self._shrink_at:
            return False
        self._shrink_at = Instant(now + self._policy.shrink_after)
        return True

    def _placed(
        self, needed: sizing.Size, bounds: ScalingBounds, now: Instant
    ) -> Counts:
        unavailable: dict[TargetKind, set[DataCentreId]] = {}
        for (centre, kind), until in self._unavailable_until.items():
            if now < until:
                unavailable.setdefault(kind, set()).add(centre)
        return sizing.place(
            needed, bounds, self._centres(), unavailable, self._counts
        )

    def _centres(self) -> set[DataCentreId]:
        return {centre for centre, _ in self._counts}

    def _within(self, bounds: ScalingBounds, place: Place, count: int) -> int:
        """Return what an order may name beside those of the other kind."""
        others = sum(
            known
            for other, known in self._counts.items()
            if other[0] == place[0] and other != place
        )
        known = min(bounds.most, self._counts.get(place, 0))
        most = max(known, bounds.most - others)
        least = bounds.least if place[1] is TargetKind.REGULAR else 0
        return min(max(count, least), most)

    def _missing(self, bounds: ScalingBounds, now: Instant) -> Counts:
        """Return the places that still lack what was ordered."""
        found: Counts = {}
        patience = bounds.boot_seconds + self._policy.missing_after
        for place, count in self._counts.items():
            if self._listed.get(place, 0) >= count:
                self._missing_since.pop(place, None)
                continue
            since = self._missing_since.setdefault(place, now)
            if now >= since + patience:
                self._missing_since[place] = now
                found[place] = count
        return found


def _usable(counts: Counts, bounds: ScalingBounds) -> Counts:
    """Return the places of the kinds that may be ordered."""
    return {
        place: count
        for place, count in counts.items()
        if place[1] is TargetKind.REGULAR or bounds.revocable_part is not None
    }
