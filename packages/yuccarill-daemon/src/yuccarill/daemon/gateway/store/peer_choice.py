"""Choose another instance for a call, leaving out those that failed."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Collection

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord


class PeerChoice:
    """Remember which peers are left out, and which one was of use."""

    def __init__(self, state: GatewayState, clock: Any) -> None:
        self._state = state
        self._clock = clock
        self._out_until: dict[str, Instant] = {}
        self._kept = ''

    def choose(
        self, among: Collection[str] | None = None, is_near: bool = False
    ) -> InstanceRecord | None:
        """Return another instance that serves and is not left out.

        The one that was kept last is returned as long as it is among them;
        else one of this data centre, if a near one is wanted and found.
        """
        me = self._state.settings.instance
        found_by_name = {
            record.instance: record
            for record in self._state.serving_instances()
            if record.instance != me
            and (among is None or record.instance in among)
            and not self.is_out(record.instance)
        }
        if self._kept in found_by_name:
            return found_by_name[self._kept]
        if not found_by_name:
            return None
        found = list(found_by_name.values())
        here = self._state.settings.data_centre
        near = [record for record in found if record.data_centre == here]
        return self._state.generator.choice(
            near if is_near and near else found
        )

    def is_out(self, instance: str) -> bool:
        """Tell whether a peer is left out now."""
        until = self._out_until.get(instance, Instant(0.0))
        return self._clock.seconds() < until

    def count_out(self) -> int:
        """Return how many peers are left out now."""
        return sum(self.is_out(name) for name in self._out_until)

    def keep(self, instance: str) -> None:
        """Go on with a peer that was of use."""
        self._kept = instance

    def leave_out(self, instance: str, seconds: float) -> None:
        """Leave a peer out for a while."""
        until = self._clock.seconds() + seconds
        self._out_until[instance] = Instant(until)
        if self._kept == instance:
            self._kept = ''

    def clear(self) -> None:
        """Choose among all again."""
        self._out_until.clear()
