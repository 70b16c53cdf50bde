"""Run decision procedures against the key-value store."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import task

from yuccarill.core.config import store_actions
from yuccarill.core import errors

if TYPE_CHECKING:
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter


class DecisionRunner:
    """Execute the store actions that a decision procedure yields."""

    def __init__(self, key_value: KeyValueAdapter, clock: Any) -> None:
        self._key_value = key_value
        self._clock = clock

    async def run(self, decision: store_actions.StoreProcedure[Any]) -> Any:
        """Run a decision to its end; errors that it raises propagate."""
        outcome: store_actions.Outcome = None
        while True:
            try:
                action = decision.send(outcome)
            except StopIteration as end:
                return end.value
            outcome = await self._execute(action)

    async def _execute(
        self, action: store_actions.Action
    ) -> store_actions.Outcome:
        try:
            match action:
                case store_actions.Read(key=key):
                    entry = await self._key_value.get(key)
                    return store_actions.Found(entry.version, entry.value)
                case store_actions.Swap(
                    key=key, value=value, expected=expected
                ):
                    return store_actions.Swapped(
                        await self._key_value.swap(key, value, expected)
                    )
                case store_actions.Wait(seconds=seconds):
                    await task.deferLater(self._clock, seconds, lambda: None)
                    return None
        except errors.StoreConflict:
            return store_actions.Conflict()
        except errors.StoreUnavailable:
            return store_actions.NoReply()
