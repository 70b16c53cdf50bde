"""Track the memory of connections and drop those over a bound."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from yuccarill.core.flow import memory_budget as budget_module
from yuccarill.core.flow.memory_budget import HolderId
from yuccarill.core.flow.memory_budget import Pressure
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.flow.memory_budget import BufferKind
    from yuccarill.core.flow.memory_budget import Drop
    from yuccarill.core.flow.memory_budget import MemoryBudget
    from yuccarill.core.flow.memory_budget import RequestStage
    from yuccarill.core.ids import AccountName

log = logs.for_part('flow')


class BufferTracker:
    """Track the buffers of all connections against one budget."""

    is_bounded = True

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._ids = itertools.count(1)
        self._held_by_id: dict[HolderId, HeldBytes] = {}

    def open(self, give_up: Callable[[Drop], None]) -> HeldBytes:
        """Track a connection; `give_up` is called to free its memory."""
        held = HeldBytes(self, HolderId(next(self._ids)), give_up)
        self._held_by_id[held.holder.id] = held
        return held

    def close(self, held: HeldBytes) -> None:
        """Stop tracking a connection."""
        if self._held_by_id.pop(held.holder.id, None) is not None:
            self.budget.release(held.holder)
            meters.HELD_BYTES.set(self.budget.held)

    def free(self) -> None:
        """Drop connections until every bound holds."""
        for drop in self.budget.choose_drops():
            held = self._held_by_id[drop.holder]
            log.warning(
                'Request dropped to free memory.',
                account=held.holder.account,
                stage=drop.stage.value,
                bound=drop.scope.value,
                bytes=held.holder.held,
                held=self.budget.held,
            )
            meters.DROPPED.labels(drop.stage.value, drop.scope.value).inc()
            held.close()
            held.give_up(drop)


class HeldBytes:
    """Track the buffered bytes of one connection."""

    def __init__(
        self,
        tracker: BufferTracker,
        holder: HolderId,
        give_up: Callable[[Drop], None],
    ) -> None:
        self.holder = budget_module.Holder(id=holder)
        self.give_up = give_up
        self._tracker = tracker
        self._is_open = True
        self._is_paused = False

    def set_buffered(self, holding: BufferKind, count: int) -> bool:
        """Set the buffered bytes of a kind.

        Returns whether reading more of this kind should pause.
        """
        if not self._is_open:
            return False
        budget = self._tracker.budget
        pressure = budget.set_buffered(self.holder, holding, count)
        if pressure is Pressure.DROP:
            self._tracker.free()
        meters.HELD_BYTES.set(budget.held)
        should_pause = count > 0 and pressure is not Pressure.NONE
        self._set_paused(should_pause and holding is _ANSWER)
        return should_pause

    def set_stage(self, stage: RequestStage) -> None:
        """Set the stage of the connection's request."""
        self.holder.stage = stage

    def set_account(self, account: AccountName | None) -> None:
        """Set the client account of the connection's request."""
        if self._is_open:
            self._tracker.budget.set_account(self.holder, account)

    def close(self) -> None:
        """Release all buffered bytes."""
        if self._is_open:
            self._is_open = False
            self._set_paused(False)
            self._tracker.close(self)

    def _set_paused(self, is_paused: bool) -> None:
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            meters.PAUSED_ANSWERS.inc(1 if is_paused else -1)


class UnboundedBuffers:
    """Enforce no bounds, for machines of unknown memory size."""

    is_bounded = False

    def open(self, give_up: Callable[[Drop], None]) -> NothingHeld:
        return NothingHeld()


class NothingHeld:
    """Track nothing."""

    def set_buffered(self, holding: BufferKind, count: int) -> bool:
        return False

    def set_stage(self, stage: RequestStage) -> None:
        pass

    def set_account(self, account: AccountName | None) -> None:
        pass

    def close(self) -> None:
        pass


_ANSWER = budget_module.BufferKind.ANSWER


def for_memory(memory: int | None) -> BufferTracker | UnboundedBuffers:
    """Return a tracker with bounds for the machine's memory in bytes."""
    if memory is None:
        return UnboundedBuffers()
    bounds = budget_module.bounds(memory)
    return BufferTracker(budget_module.MemoryBudget(bounds))
