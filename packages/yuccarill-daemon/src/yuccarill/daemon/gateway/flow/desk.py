"""Account for what connections hold and free what is over a bound."""

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


class FlowDesk:
    """Hand out the accounts of connections within one budget."""

    is_bounded = True

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._ids = itertools.count(1)
        self._held_by_id: dict[HolderId, HeldBytes] = {}

    def open(self, give_up: Callable[[Drop], None]) -> HeldBytes:
        """Begin a connection; `give_up` is called to free what it holds."""
        held = HeldBytes(self, HolderId(next(self._ids)), give_up)
        self._held_by_id[held.holder.id] = held
        return held

    def close(self, held: HeldBytes) -> None:
        """End a connection's account."""
        if self._held_by_id.pop(held.holder.id, None) is not None:
            self.budget.release(held.holder)
            meters.HELD_BYTES.set(self.budget.held)

    def free(self) -> None:
        """Give up connections until every bound holds."""
        for drop in self.budget.choose_drops():
            held = self._held_by_id[drop.holder]
            log.warning(
                'Request given up for memory.',
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
    """Account for what one connection holds."""

    def __init__(
        self,
        desk: FlowDesk,
        holder: HolderId,
        give_up: Callable[[Drop], None],
    ) -> None:
        self.holder = budget_module.Holder(id=holder)
        self.give_up = give_up
        self._desk = desk
        self._is_open = True
        self._is_paused = False

    def hold(self, holding: BufferKind, count: int) -> bool:
        """Note how many bytes of a kind are held now.

        Returns whether no more of them should be taken in.
        """
        if not self._is_open:
            return False
        budget = self._desk.budget
        pressure = budget.set_buffered(self.holder, holding, count)
        if pressure is Pressure.DROP:
            self._desk.free()
        meters.HELD_BYTES.set(budget.held)
        should_pause = count > 0 and pressure is not Pressure.NONE
        self._note_pause(should_pause and holding is _ANSWER)
        return should_pause

    def enter(self, stage: RequestStage) -> None:
        """Note how far the connection's request is."""
        self.holder.stage = stage

    def own(self, account: AccountName | None) -> None:
        """Note whose request it is."""
        if self._is_open:
            self._desk.budget.set_account(self.holder, account)

    def close(self) -> None:
        """Hold nothing any more."""
        if self._is_open:
            self._is_open = False
            self._note_pause(False)
            self._desk.close(self)

    def _note_pause(self, is_paused: bool) -> None:
        if is_paused != self._is_paused:
            self._is_paused = is_paused
            meters.PAUSED_ANSWERS.inc(1 if is_paused else -1)


class NoFlow:
    """Bound nothing, where the machine's memory is not known."""

    is_bounded = False

    def open(self, give_up: Callable[[Drop], None]) -> NothingHeld:
        return NothingHeld()


class NothingHeld:
    """Account for nothing."""

    def hold(self, holding: BufferKind, count: int) -> bool:
        return False

    def enter(self, stage: RequestStage) -> None:
        pass

    def own(self, account: AccountName | None) -> None:
        pass

    def close(self) -> None:
        pass


_ANSWER = budget_module.BufferKind.ANSWER


def for_memory(memory: int | None) -> FlowDesk | NoFlow:
    """Return a desk with the bounds of a machine's memory."""
    if memory is None:
        return NoFlow()
    bounds = budget_module.bounds(memory)
    return FlowDesk(budget_module.MemoryBudget(bounds))
