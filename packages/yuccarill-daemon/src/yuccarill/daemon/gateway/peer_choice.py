"""Choose another instance for a call, leaving out those that failed."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord


class PeerChoice:
    """Remember which peers are left out, and until when."""

    def __init__(self, state: GatewayState, clock: Any) -> None:
        self._state = state
        self._clock = clock
        self._random = random.Random()
        self._out_until: dict[str, Instant] = {}

    def choose(self) -> InstanceRecord | None:
        """Return any other instance that serves and is not left out."""
        me = self._state.settings.instance
        found = [
            record
            for record in self._state.instances_by_id.values()
            if record.instance != me
            and not record.is_leaving
            and not self.is_out(record.instance)
        ]
        return self._random.choice(found) if found else None

    def is_out(self, instance: str) -> bool:
        """Tell whether a peer is left out now."""
        until = self._out_until.get(instance, Instant(0.0))
        return self._clock.seconds() < until

    def count_out(self) -> int:
        """Return how many peers are left out now."""
        return sum(self.is_out(name) for name in self._out_until)

    def leave_out(self, instance: str, seconds: float) -> None:
        """Leave a peer out for a while."""
        until = self._clock.seconds() + seconds
        self._out_until[instance] = Instant(until)

    def clear(self) -> None:
        """Choose among all again."""
        self._out_until.clear()
