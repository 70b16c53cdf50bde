"""Choose another instance for a call, excluding peers that failed."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant

if TYPE_CHECKING:
    from collections.abc import Collection

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord


class PeerChoice:
    """Remember the excluded peers and the preferred peer."""

    def __init__(self, state: GatewayState, clock: Any) -> None:
        self._state = state
        self._clock = clock
        self._excluded_until_by_name: dict[str, Instant] = {}
        self._preferred = ''

    def choose(
        self, among: Collection[str] | None = None, is_near: bool = False
    ) -> InstanceRecord | None:
        """Return another serving instance that is not excluded.

        The preferred peer comes first; then, with `is_near`, a random peer of
        this data centre; then any random peer.
        """
        own_name = self._state.settings.instance
        found_by_name = {
            record.instance: record
            for record in self._state.serving_instances()
            if record.instance != own_name
            and (among is None or record.instance in among)
            and not self.is_excluded(record.instance)
        }
        if self._preferred in found_by_name:
            return found_by_name[self._preferred]
        if not found_by_name:
            return None
        candidates = list(found_by_name.values())
        own_centre = self._state.settings.data_centre
        near = [
            record for record in candidates if record.data_centre == own_centre
        ]
        return self._state.generator.choice(
            near if is_near and near else candidates
        )

    def is_excluded(self, instance: str) -> bool:
        """Return whether a peer is excluded now."""
        until = self._excluded_until_by_name.get(instance, Instant(0.0))
        return self._clock.seconds() < until

    def count_excluded(self) -> int:
        """Return the number of peers that are excluded now."""
        return sum(
            self.is_excluded(name) for name in self._excluded_until_by_name
        )

    def prefer(self, instance: str) -> None:
        """Prefer a peer that answered."""
        self._preferred = instance

    def exclude(self, instance: str, seconds: float) -> None:
        """Exclude a peer for some seconds."""
        until = self._clock.seconds() + seconds
        self._excluded_until_by_name[instance] = Instant(until)
        if self._preferred == instance:
            self._preferred = ''

    def clear(self) -> None:
        """End all exclusions."""
        self._excluded_until_by_name.clear()
