"""Execute the weight orders of an engine stand-in."""

from __future__ import annotations

import enum
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.standins import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.standins import faults


class Outcome(enum.Enum):
    """Result of an order; the value is the HTTP status of the reply."""

    DONE = 200
    OLD_EPOCH = 409
    FAILED = 500


class WeightFaults(msgspec.Struct):
    """Faults and delays of loading weights."""

    stage_seconds: float = 0.02
    # No tokens are generated during a swap.
    swap_seconds: float = 0.05
    fail_stages: int = 0
    # Number of next swaps that fail; the old version stays active.
    fail_swaps: int = 0


class EngineWeights:
    """Active and staged weight version of an engine."""

    def __init__(
        self,
        checks_fencing: bool,
        fault_control: faults.FaultControl[Any],
        on_swapped: Callable[[], None],
    ) -> None:
        self._checks_fencing = checks_fencing
        self._faults = fault_control
        self._on_swapped = on_swapped
        self._is_swapping = False
        self.version = 1
        self.staged_version: int | None = None
        self.epoch = 0
        self.orders: list[dict[str, Any]] = []

    async def execute_order(
        self, kind: str, version: int, epoch: int
    ) -> Outcome:
        """Stage a version or switch to it; record the result."""
        if self._checks_fencing and epoch < self.epoch:
            outcome = Outcome.OLD_EPOCH
        else:
            self.epoch = max(self.epoch, epoch)
            is_done = await self._stage_or_switch(kind, version)
            outcome = Outcome.DONE if is_done else Outcome.FAILED
        self.orders.append(
            {
                'kind': kind,
                'weight_version': version,
                'epoch': epoch,
                'outcome': outcome.name,
                'ended_at': time.time(),
            }
        )
        return outcome

    async def wait_for_swap(self) -> None:
        """Wait until no swap is in progress."""
        await server.wait_until(lambda: not self._is_swapping)

    async def _stage_or_switch(self, kind: str, version: int) -> bool:
        if version == self.version:
            return True
        if version != self.staged_version and not await self._stage(version):
            return False
        return kind == 'stage' or await self._switch(version)

    async def _stage(self, version: int) -> bool:
        await server.sleep(self._faults.current.stage_seconds)
        if self._faults.consume('fail_stages'):
            return False
        self.staged_version = version
        return True

    async def _switch(self, version: int) -> bool:
        await self.wait_for_swap()
        self._is_swapping = True
        await server.sleep(self._faults.current.swap_seconds)
        self._is_swapping = False
        if self._faults.consume('fail_swaps'):
            return False
        self.version = version
        self.staged_version = None
        self._on_swapped()
        return True
