"""Run apply decisions on a store in memory, with a fault at any step."""

from __future__ import annotations

import copy
import enum
from typing import Any

import msgspec

from yuccarill.core.config import apply as apply_module
from yuccarill.core.config import deltas
from yuccarill.core.config import documents
from yuccarill.core.config import head as head_module
from yuccarill.core.config import inventory as inventory_module
from yuccarill.core.config import store
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

# More than a head carries before the next checkpoint, in these tests.
MANY_RACES = 5


class Fault(enum.Enum):
    """Say what happens at a step."""

    # The call takes effect, its reply is lost or later than the timeout.
    REPLY_LOST = 'reply lost'
    # The call is lost, the next ones are not.
    DROPPED = 'call lost'
    # The call is lost and the store answers nothing more.
    DOWN = 'down before'
    DOWN_AFTER = 'down after it took effect'
    # A write arrives right before the next call, or after the answer.
    DELAYED_A_LITTLE = 'delayed until the next call'
    DELAYED = 'delayed past the answer'
    DOUBLED = 'write arrives twice'
    # Another operator's change, or several, or only its fence, come first.
    RACE = 'operator race'
    RACES = 'operators race past a checkpoint'
    FENCE_RACE = 'another fences its own'
    CRASH = 'applier dies before'
    CRASH_AFTER = 'applier dies after'


class Crashed(Exception):
    """Report an applier that died."""


class FakeStore:
    """Hold keys; land delayed writes when told."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.delayed: list[store.Swap] = []
        self.is_down = False
        self.writes = 0

    def perform(self, action: store.Action) -> store.Outcome:
        """Carry out one action."""
        match action:
            case store.Wait():
                return None
            case _ if self.is_down:
                return store.NoReply()
            case store.Read(key=key):
                return store.Found(*self.entries.get(key, (0, b'')))
            case store.Swap():
                return self._write(action)

    def land(self) -> None:
        """Let delayed writes arrive."""
        for swap in self.delayed:
            self._write(swap)
        self.delayed = []

    def head(self) -> head_module.Head:
        """Return the head that stands."""
        return self.run(documents.read_head(store.Step.READ_HEAD))[0]

    def run(self, decision: store.Decision[Any]) -> Any:
        """Run a decision with no fault."""
        return Run(self, {}).run(decision)

    def trail(self) -> list[head_module.Change]:
        """Return the whole audit trail, oldest first."""
        page = documents.newest_page(self.head())
        found = list(page.changes)
        while page.previous:
            page = self.run(documents.read_page(page.previous))
            found = [*page.changes, *found]
        return found

    def _write(self, swap: store.Swap) -> store.Outcome:
        version, _ = self.entries.get(swap.key, (0, b''))
        if version != swap.expected:
            return store.Conflict()
        self.version += 1
        self.writes += 1
        self.entries[swap.key] = (self.version, swap.value)
        return store.Swapped(self.version)


class Run:
    """Run one decision with faults at the first visit of their steps."""

    def __init__(
        self, on: FakeStore, faults: dict[store.Step, list[Fault]]
    ) -> None:
        self.store = on
        self.faults = {step: list(f) for step, f in faults.items()}
        self.visited: list[store.Step] = []

    def run(self, decision: store.Decision[Any]) -> Any:
        """Return the decision's result; raises what it raises, or Crashed."""
        outcome: store.Outcome = None
        late: list[store.Swap] = []
        while True:
            try:
                action = decision.send(outcome)
            except StopIteration as end:
                return end.value
            self.store.delayed, held = late, self.store.delayed
            self.store.land()
            self.store.delayed, late = held, []
            fault = None
            if not isinstance(action, store.Wait):
                self.visited.append(action.step)
                waiting = self.faults.get(action.step)
                fault = waiting.pop(0) if waiting else None
            outcome = self._perform(action, fault, late)

    def _perform(
        self, action: Any, fault: Fault | None, late: list[store.Swap]
    ) -> store.Outcome:
        on, is_write = self.store, isinstance(action, store.Swap)
        match fault:
            case Fault.REPLY_LOST | Fault.DOWN_AFTER:
                on.perform(action)
                on.is_down |= fault is Fault.DOWN_AFTER
                return store.NoReply()
            case Fault.DROPPED:
                return store.NoReply()
            case Fault.DOWN:
                on.is_down = True
            case Fault.DELAYED | Fault.DELAYED_A_LITTLE:
                if is_write and not on.is_down:
                    queue = on.delayed if fault is Fault.DELAYED else late
                    queue.append(action)
                return store.NoReply()
            case Fault.DOUBLED:
                on.perform(action)
            case Fault.RACE | Fault.RACES:
                for _ in range(1 if fault is Fault.RACE else MANY_RACES):
                    _apply_another(on)
            case Fault.FENCE_RACE:
                _fence_another(on)
            case Fault.CRASH | Fault.CRASH_AFTER:
                if fault is Fault.CRASH_AFTER:
                    on.perform(action)
                raise Crashed
        return on.perform(action)


def request(
    base: int, name: str, inventory: inventory_module.Inventory | None = None
) -> apply_module.ApplyRequest:
    """Ask for one more model of that name."""
    held = inventory or inventory_module.Inventory()
    model = inventory_module.Model(name=name)
    return apply_module.ApplyRequest(
        change_id=ChangeId(f'change-{name}'),
        author=name,
        applied_at=WallTime(0.0),
        base=Revision(base),
        inventory=deltas.canonical(
            inventory_module.Inventory(models=(*held.models, model))
        ),
    )


def store_with(revisions: int) -> FakeStore:
    """Return a store to which some changes were applied."""
    made = FakeStore()
    for _ in range(revisions):
        _apply_another(made)
    return made


def copied(original: FakeStore) -> FakeStore:
    """Return a copy to break."""
    return copy.deepcopy(original)


def _apply_another(on: FakeStore) -> None:
    # The other operator reaches the store though this applier may not.
    is_down, on.is_down = on.is_down, False
    loaded = on.run(documents.load())
    base = loaded.head.revision
    on.run(apply_module.apply(request(base, f'o{base}', loaded.inventory)))
    on.is_down = is_down


def _fence_another(on: FakeStore) -> None:
    _, value = on.entries[head_module.HEAD_KEY]
    head = head_module.decode(value)
    fenced = msgspec.structs.replace(head, fence=head.fence + 1)
    on.version += 1
    on.entries[head_module.HEAD_KEY] = (
        on.version,
        head_module.encode(fenced),
    )
