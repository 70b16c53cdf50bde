"""In-memory key-value store that injects faults at any step."""

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
from yuccarill.core.config import store_actions
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

# Changes by other operators; more than a head holds in these tests.
RACE_COUNT = 5


class Fault(enum.Enum):
    """Fault to inject at a step."""

    # The call takes effect, but its reply is lost or exceeds the timeout.
    REPLY_LOST = 'reply lost'
    # Only this call is lost.
    DROPPED = 'call lost'
    # The call is lost and the store stays down.
    DOWN = 'down before'
    DOWN_AFTER = 'down after it took effect'
    # A write takes effect before the next call, or after the apply ends.
    DELAYED_A_LITTLE = 'delayed until the next call'
    DELAYED = 'delayed past the answer'
    DOUBLED = 'write arrives twice'
    # Another operator's change, several changes or a fence precede the call.
    RACE = 'operator race'
    RACES = 'operators race past a checkpoint'
    FENCE_RACE = 'another fences its own'
    CRASH = 'applier dies before'
    CRASH_AFTER = 'applier dies after'


class Crashed(Exception):
    """Raised when the applier crashes."""


class FakeStore:
    """In-memory store that can delay writes."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.delayed: list[store_actions.Swap] = []
        self.is_down = False
        self.writes = 0

    def perform(self, action: store_actions.Action) -> store_actions.Outcome:
        match action:
            case store_actions.Wait():
                return None
            case _ if self.is_down:
                return store_actions.NoReply()
            case store_actions.Read(key=key):
                return store_actions.Found(*self.entries.get(key, (0, b'')))
            case store_actions.Swap():
                return self._write(action)

    def deliver_delayed(self) -> None:
        for swap in self.delayed:
            self._write(swap)
        self.delayed = []

    def head(self) -> head_module.Head:
        return self.run(
            documents.read_head(store_actions.StoreStep.READ_HEAD)
        )[0]

    def run(self, decision: store_actions.StoreProcedure[Any]) -> Any:
        """Run a decision without faults."""
        return Run(self, {}).run(decision)

    def audit_trail(self) -> list[head_module.Change]:
        """Return the whole audit trail, oldest first."""
        page = documents.head_audit_page(self.head())
        found = list(page.changes)
        while page.previous:
            page = self.run(documents.read_page(page.previous))
            found = [*page.changes, *found]
        return found

    def _write(self, swap: store_actions.Swap) -> store_actions.Outcome:
        version, _ = self.entries.get(swap.key, (0, b''))
        if version != swap.expected:
            return store_actions.Conflict()
        self.version += 1
        self.writes += 1
        self.entries[swap.key] = (self.version, swap.value)
        return store_actions.Swapped(self.version)


class Run:
    """Run of one decision, with faults injected as their steps occur."""

    def __init__(
        self,
        fake: FakeStore,
        faults: dict[store_actions.StoreStep, list[Fault]],
    ) -> None:
        self.store = fake
        self.faults = {step: list(f) for step, f in faults.items()}
        self.visited: list[store_actions.StoreStep] = []

    def run(self, decision: store_actions.StoreProcedure[Any]) -> Any:
        """Return the result of a decision; raises its errors, or Crashed."""
        outcome: store_actions.Outcome = None
        due: list[store_actions.Swap] = []
        while True:
            try:
                action = decision.send(outcome)
            except StopIteration as end:
                return end.value
            self.store.delayed, later = due, self.store.delayed
            self.store.deliver_delayed()
            self.store.delayed, due = later, []
            fault = None
            if not isinstance(action, store_actions.Wait):
                self.visited.append(action.step)
                step_faults = self.faults.get(action.step)
                fault = step_faults.pop(0) if step_faults else None
            outcome = self._perform(action, fault, due)

    def _perform(
        self, action: Any, fault: Fault | None, due: list[store_actions.Swap]
    ) -> store_actions.Outcome:
        fake, is_write = self.store, isinstance(action, store_actions.Swap)
        match fault:
            case Fault.REPLY_LOST | Fault.DOWN_AFTER:
                fake.perform(action)
                fake.is_down |= fault is Fault.DOWN_AFTER
                return store_actions.NoReply()
            case Fault.DROPPED:
                return store_actions.NoReply()
            case Fault.DOWN:
                fake.is_down = True
            case Fault.DELAYED | Fault.DELAYED_A_LITTLE:
                if is_write and not fake.is_down:
                    queue = fake.delayed if fault is Fault.DELAYED else due
                    queue.append(action)
                return store_actions.NoReply()
            case Fault.DOUBLED:
                fake.perform(action)
            case Fault.RACE | Fault.RACES:
                for _ in range(1 if fault is Fault.RACE else RACE_COUNT):
                    _apply_other_change(fake)
            case Fault.FENCE_RACE:
                _fence_head(fake)
            case Fault.CRASH | Fault.CRASH_AFTER:
                if fault is Fault.CRASH_AFTER:
                    fake.perform(action)
                raise Crashed
        return fake.perform(action)


def request(
    base: int, name: str, inventory: inventory_module.Inventory | None = None
) -> apply_module.ApplyRequest:
    """Return a request that adds a model of the given name."""
    current = inventory or inventory_module.Inventory()
    model = inventory_module.Model(name=name)
    return apply_module.ApplyRequest(
        change_id=ChangeId(f'change-{name}'),
        author=name,
        applied_at=WallTime(0.0),
        base=Revision(base),
        inventory=deltas.canonical(
            inventory_module.Inventory(models=(*current.models, model))
        ),
    )


def store_with(revisions: int) -> FakeStore:
    fake = FakeStore()
    for _ in range(revisions):
        _apply_other_change(fake)
    return fake


def copy_store(original: FakeStore) -> FakeStore:
    return copy.deepcopy(original)


def _apply_other_change(fake: FakeStore) -> None:
    # The store can be down for the applier under test only.
    is_down, fake.is_down = fake.is_down, False
    loaded = fake.run(documents.load())
    base = loaded.head.revision
    fake.run(apply_module.apply(request(base, f'o{base}', loaded.inventory)))
    fake.is_down = is_down


def _fence_head(fake: FakeStore) -> None:
    _, value = fake.entries[head_module.HEAD_KEY]
    head = head_module.decode(value)
    fenced = msgspec.structs.replace(head, fence=head.fence + 1)
    fake.version += 1
    fake.entries[head_module.HEAD_KEY] = (
        fake.version,
        head_module.encode(fenced),
    )
