"""What leases weigh: calls to the store against time without a holder."""

from __future__ import annotations

import msgspec


class LeasePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set the times of leases, all in seconds.

    The time to live and the drift margin must be the same everywhere.
    """

    # From sending a renewal until a successor may revoke the session.
    time_to_live: float = 7.5
    renewal_period: float = 2.5
    # A holder stops this much early and a successor waits this much on
    # top, for clocks that run at different speeds.
    drift_margin: float = 0.5
    # For how long a shard must be placed here before it is asked for.
    settle_time: float = 3.0
    # How much longer each further candidate waits for a free shard.
    patience: float = 2.0
    # For how long a session without shards is kept.
    idle_time: float = 10.0
    retry_delay: float = 0.25
    # For each of the instances that watch a session: how many renewal
    # periods it waits between reads while nothing points to a loss.
    watch_paces: tuple[float, ...] = (2.0, 4.0)

    @property
    def usable_time(self) -> float:
        """Return for how long a holder relies on a sent renewal."""
        return self.time_to_live - self.drift_margin

    @property
    def revocation_time(self) -> float:
        """Return for how long a session must be unchanged to be revoked."""
        return self.time_to_live + self.drift_margin
