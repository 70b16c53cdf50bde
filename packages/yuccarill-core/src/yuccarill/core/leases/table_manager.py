"""Reads and writes of the shard table."""

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


class TableManager:
    """Cache the newest table and replace it by compare-and-swap."""

    def __init__(
        self,
        policy: LeasePolicy,
        generator: random.Random,
        numbers: Iterator[int],
    ) -> None:
        self._policy = policy
        self._generator = generator
        self._slot = operations.CallSlot(numbers)
        self._needs_read = True
        # Table version that the last swap transferring each shard expects.
        self._expected_by_shard: dict[ShardNumber, int] = {}
        self.table = table_module.EMPTY
        self.version = -1

    @property
    def is_known(self) -> bool:
        """Return whether a table has been read or received."""
        return self.version >= 0

    def is_in_transfer(self, shard: ShardNumber) -> bool:
        """Return whether a pending swap may transfer a shard."""
        return shard in self._expected_by_shard

    def offer(self, version: int, data: bytes) -> bool:
        """Adopt a table received from a peer if it is newer."""
        return self._adopt(version, table_module.decode(version, data))

    def request_read(self) -> None:
        """Read the table before the next write."""
        self._needs_read = True

    def read(self, now: Instant) -> operations.Operation | None:
        """Return the read if one is due."""
        if not self._needs_read or not self._slot.is_free(now):
            return None
        return self._slot.send(Step.READ_TABLE, table_module.TABLE_KEY, now)

    def can_write(self, now: Instant) -> bool:
        """Return whether a write may be sent."""
        return not self._needs_read and self._slot.is_free(now)

    def change(
        self,
        step: Step,
        holders_by_shard: Mapping[ShardNumber, Holder | None],
        now: Instant,
    ) -> operations.Operation:
        """Return the compare-and-swap that sets new holders."""
        if step is Step.TRANSFER:
            # This holder must not act from before the swap is sent until a
            # newer table shows whether the swap took effect: if the reply
            # is lost, the next holder may already act.
            for shard in holders_by_shard:
                self._expected_by_shard[shard] = self.version
        return self._slot.send(
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
        """Process a call's outcome; return whether the table is newer."""
        if not self._slot.release(operation):
            return False
        match outcome:
            case operations.Found(version, value):
                self._needs_read = False
                return self._adopt(
                    version, table_module.decode(version, value)
                )
            case operations.Written(version):
                assert operation.value is not None
                written = table_module.decode(version, operation.value)
                return self._adopt(version, written)
            case operations.Conflict():
                self._needs_read = True
                # Random, so that conflicting writers don't collide again.
                delay = self._generator.uniform(0, self._policy.retry_delay)
                self._slot.not_before = Instant(now + delay)
            case operations.Unknown():
                self._needs_read = True
                self._slot.not_before = Instant(now + self._policy.retry_delay)
        return False

    def _adopt(self, version: int, table: table_module.ShardTable) -> bool:
        # Tables arrive from the store and from peers out of order; an older
        # one would restore former holders.
        if version <= self.version:
            return False
        self.version = version
        self.table = table
        self._expected_by_shard = {
            shard: expected
            for shard, expected in self._expected_by_shard.items()
            if expected >= version
        }
        return True
