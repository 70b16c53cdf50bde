"""Derive a wall time agreed by the fleet from the monotonic clock."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.usage import fleet_time
from yuccarill.daemon.gateway.duty import lease

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds for which the last wall time that an instance sent is used.
CLOCK_TTL_SECONDS = 60.0


class FleetClock:
    """Return the fleet's wall time, unaffected by jumps of the local clock.

    The holder of the usage duty derives an offset to the monotonic clock from
    the wall clocks of all instances, and sends the time to them.
    """

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        # Seconds from the monotonic clock to the fleet's time.
        self._offset: float | None = None
        self._offsets_by_instance: dict[InstanceId, tuple[float, Instant]] = {}

    @property
    def is_agreed(self) -> bool:
        """Tell whether the fleet's time is known."""
        return self._offset is not None

    def now(self) -> WallTime:
        """Return the fleet's time, or local wall time until it is known."""
        if self._offset is None:
            return self.wall()
        return WallTime(lease.seconds_since_boot() + self._offset)

    def wall(self) -> WallTime:
        """Return the time of this machine's wall clock."""
        return WallTime(self._wall())

    def adopt(self, holder_time: WallTime, round_trip_seconds: float) -> None:
        """Adopt the holder's time from an answer with this round-trip time."""
        self._offset = (
            holder_time + round_trip_seconds / 2.0 - lease.seconds_since_boot()
        )

    def record(self, instance: InstanceId, wall: WallTime) -> None:
        """Record the wall time of an instance."""
        now = lease.seconds_since_boot()
        self._offsets_by_instance[instance] = (wall - now, now)

    def agree(self) -> None:
        """Derive the fleet's time from the recorded wall times."""
        now = lease.seconds_since_boot()
        self._offsets_by_instance = {
            instance: (offset, at)
            for instance, (offset, at) in self._offsets_by_instance.items()
            if now < at + CLOCK_TTL_SECONDS
        }
        offsets = [o for o, _ in self._offsets_by_instance.values()]
        if offsets:
            self._offset = fleet_time.agreed_offset(offsets, self._offset)
