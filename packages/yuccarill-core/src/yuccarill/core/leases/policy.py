"""Timing of leases."""

from __future__ import annotations

import msgspec


class LeasePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of leases, in seconds.

    time_to_live and drift_margin must be equal on all instances.
    """

    # Lease duration from the sending of a renewal, before drift_margin.
    time_to_live: float = 7.5
    renewal_period: float = 2.5
    # Allows for clock drift: a holder stops this early and a successor
    # waits this much longer.
    drift_margin: float = 0.5
    # How long an instance ranks first for a shard before requesting it.
    settle_time: float = 3.0
    # Additional delay per rank before an instance claims a free shard.
    patience: float = 2.0
    # How long a session without shards is kept open.
    idle_time: float = 10.0
    retry_delay: float = 0.25
    # Renewal periods between reads of a session that a live holder renews,
    # for the first watcher and for each further one.
    watch_paces: tuple[float, ...] = (2.0, 4.0)

    @property
    def usable_time(self) -> float:
        """Return how long a holder may act after sending a renewal."""
        return self.time_to_live - self.drift_margin

    @property
    def revocation_time(self) -> float:
        """Return how long a session must be unchanged to be revoked."""
        return self.time_to_live + self.drift_margin
