"""Load weight versions into an engine stand-in by order."""

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
    """Say how an order ended, by the status of its reply."""

    DONE = 200
    OLD_EPOCH = 409
    FAILED = 500


class WeightFaults(msgspec.Struct):
    """Name the faults of loading weights."""

    stage_seconds: float = 0.02
    # Seconds for which no token is made while versions are swapped.
    swap_seconds: float = 0.05
    fail_stages: int = 0
    # The next switches fail, and the old version serves on.
    fail_swaps: int = 0


class EngineWeights:
    """Hold the version that serves and the one that is staged."""

    def __init__(
        self,
        checks_fencing: bool,
        switch: faults.FaultSwitch[Any],
        on_swapped: Callable[[], None],
    ) -> None:
        self._checks_fencing = checks_fencing
        self._faults = switch
        self._on_swapped = on_swapped
        self._is_swapping = False
        self.version = 1
        self.staged_version: int | None = None
        self.epoch = 0
        self.orders: list[dict[str, Any]] = []

    async def order(self, kind: str, version: int, epoch: int) -> Outcome:
        """Stage or switch to a version; the old one serves till then."""
        if self._checks_fencing and epoch < self.epoch:
            outcome = Outcome.OLD_EPOCH
        else:
            self.epoch = max(self.epoch, epoch)
            is_done = await self._carry_out(kind, version)
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

    async def ready(self) -> None:
        """Wait while versions are swapped."""
        await server.until(lambda: not self._is_swapping)

    async def _carry_out(self, kind: str, version: int) -> bool:
        if version == self.version:
            return True
        if version != self.staged_version and not await self._stage(version):
            return False
        return kind == 'stage' or await self._switch(version)

    async def _stage(self, version: int) -> bool:
        await server.sleep(self._faults.now.stage_seconds)
        if self._faults.take('fail_stages'):
            return False
        self.staged_version = version
        return True

    async def _switch(self, version: int) -> bool:
        await self.ready()
        self._is_swapping = True
        await server.sleep(self._faults.now.swap_seconds)
        self._is_swapping = False
        if self._faults.take('fail_swaps'):
            return False
        self.version = version
        self.staged_version = None
        self._on_swapped()
        return True
