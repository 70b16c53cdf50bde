"""Read and change the shard table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.leases import operations
from yuccarill.core.leases.operations import Step
from yuccarill.core.leases import table as table_module

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    import random

    from yuccarill.core.ids import ShardNumber
    from yuccarill.core.leases.policy import LeasePolicy
    from yuccarill.core.leases.table import Holder


class TableKeeper:
    """Know the newest table and swap it for changed ones."""

    def __init__(
        self,
        policy: LeasePolicy,
        generator: random.Random,
        numbers: Iterator[int],
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._lane = operations.Lane(numbers)
        self._needs_read = True
        # Shards in a swap that gives them away, by the version it expects.
        self._given_at_by_shard: dict[ShardNumber, int] = {}
        self.table = table_module.EMPTY
        self.version = -1

    @property
    def is_known(self) -> bool:
        """Tell whether any table was seen."""
        return self.version >= 0

    def is_given(self, shard: ShardNumber) -> bool:
        """Tell whether a shard was given away or may yet have been."""
        return shard in self._given_at_by_shard

    def offer(self, version: int, data: bytes) -> bool:
        """Take a table that a peer passed on, if it is newer."""
        return self._take(version, table_module.decode(version, data))

    def request_read(self) -> None:
        """Read the table with the next call."""
        self._needs_read = True

    def read(self, now: Instant) -> operations.Operation | None:
        """Return the read that is due."""
        if not self._needs_read or not self._lane.is_free(now):
            return None
        return self._lane.send(Step.READ_TABLE, table_module.TABLE_KEY, now)

    def can_change(self, now: Instant) -> bool:
        """Tell whether a change may be sent."""
        return not self._needs_read and self._lane.is_free(now)

    def change(
        self,
        step: Step,
        holders_by_shard: Mapping[ShardNumber, Holder | None],
        now: Instant,
    ) -> operations.Operation:
        """Return the swap that puts shards at other holders."""
        if step is Step.GIVE:
            # The holder stops before the swap is sent. If its reply is
            # lost it may still take effect later, and the next holder act
            # at once, so this one stays stopped until a newer table shows
            # which of the two happened.
            for shard in holders_by_shard:
                self._given_at_by_shard[shard] = self.version
        return self._lane.send(
            step,
            table_module.TABLE_KEY,
            now,
            table_module.encode(self.table.moved(holders_by_shard)),
            self.version,
        )

    def complete(
        self,
        operation: operations.Operation,
        outcome: operations.Outcome,
        now: Instant,
    ) -> bool:
        """Take the outcome of a call; tell whether the table is newer."""
        if not self._lane.settle(operation):
            return False
        match outcome:
            case operations.Found(version, value):
                self._needs_read = False
                return self._take(version, table_module.decode(version, value))
            case operations.Written(version):
                assert operation.value is not None
                written = table_module.decode(version, operation.value)
                return self._take(version, written)
            case operations.Conflict():
                self._needs_read = True
                # Those who lost the same race must not meet again at once.
                delay = self._generator.uniform(0, self._policy.retry_delay)
                self._lane.not_before = Instant(now + delay)
            case operations.Unknown():
                self._needs_read = True
                self._lane.not_before = Instant(now + self._policy.retry_delay)
        return False

    def _take(self, version: int, table: table_module.ShardTable) -> bool:
        # Tables come from the store and over several peers, out of order;
        # an older one would bring back holders that are gone.
        if version <= self.version:
            return False
        self.version = version
        self.table = table
        self._given_at_by_shard = {
            shard: given_at
            for shard, given_at in self._given_at_by_shard.items()
            if given_at >= version
        }
        return True
