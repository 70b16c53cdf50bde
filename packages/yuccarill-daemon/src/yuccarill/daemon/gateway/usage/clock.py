"""Keep the true time of the fleet on this process's steady clock."""

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

# Seconds for which an instance's clock counts after it was last heard: three
# of its messages at two years' size.
HEARD_SECONDS = 60.0


class FleetClock:
    """Tell the true time, whatever this machine's wall clock does.

    The wall clock of a machine may jump by seconds and back. An offset to the
    steady clock is kept instead; the holder of the usage duty agrees on it
    from the clocks of all instances, and tells the others.
    """

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        # What to add to the steady clock; none as long as nothing was agreed.
        self._agreed: float | None = None
        self._offsets_by_instance: dict[InstanceId, tuple[float, Instant]] = {}

    @property
    def is_agreed(self) -> bool:
        """Tell whether more is known than this machine's wall clock."""
        return self._agreed is not None

    def now(self) -> WallTime:
        """Return the true time."""
        if self._agreed is None:
            return self.wall()
        return WallTime(lease.boot_time() + self._agreed)

    def wall(self) -> WallTime:
        """Return what this machine's wall clock shows."""
        return WallTime(self._wall())

    def follow(self, told: WallTime, seconds: float) -> None:
        """Take the time that the holder told in an answer of some seconds."""
        self._agreed = told + seconds / 2.0 - lease.boot_time()

    def hear(self, instance: InstanceId, wall: WallTime) -> None:
        """Note what the wall clock of an instance shows."""
        now = lease.boot_time()
        self._offsets_by_instance[instance] = (wall - now, now)

    def agree(self) -> None:
        """Agree on the time from what was heard."""
        now = lease.boot_time()
        self._offsets_by_instance = {
            instance: (offset, at)
            for instance, (offset, at) in self._offsets_by_instance.items()
            if now < at + HEARD_SECONDS
        }
        offsets = [o for o, _ in self._offsets_by_instance.values()]
        if offsets:
            self._agreed = fleet_time.agreed_offset(offsets, self._agreed)
