"""Call targets and learn which requests they end under."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import Instant
    from yuccarill.daemon.gateway.quarantine.target_ends import TargetEnds
    from yuccarill.platform.calls import Calls
    from yuccarill.platform.calls import GenerationSink
    from yuccarill.platform.calls import TargetCall


class WatchedCalls:
    """Send calls as `Calls` does, and look after connections that end."""

    def __init__(self, calls: Calls, ends: TargetEnds) -> None:
        self._calls = calls
        self._ends = ends

    def is_connected(self, target: ListedTarget) -> bool:
        """Tell whether a call to a target needs no new connection."""
        return self._calls.is_connected(target)

    def forget(self, target: ListedTarget) -> None:
        """Close the connections that are kept to a target that ended."""
        self._calls.forget(target)

    async def send(
        self,
        target: ListedTarget,
        call: TargetCall,
        answer_by: Instant,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        """Send a call and return its whole answer.

        Raises CallFailed.
        """
        try:
            return await self._calls.send(target, call, answer_by, is_fresh)
        except calls_module.CallFailed as error:
            await self._failed(target, call, error)
            raise

    async def generate(
        self,
        engine: ListedTarget,
        call: TargetCall,
        answer_by: Instant,
        progress_seconds: float,
        sink: GenerationSink,
    ) -> TargetAnswer:
        """Send a generation and hand its events on as they arrive.

        Raises CallFailed.
        """
        try:
            return await self._calls.generate(
                engine, call, answer_by, progress_seconds, sink
            )
        except calls_module.CallFailed as error:
            await self._failed(engine, call, error)
            raise

    async def _failed(
        self,
        target: ListedTarget,
        call: TargetCall,
        error: calls_module.CallFailed,
    ) -> None:
        if error.is_lost:
            await self._ends.lost(target, call.content)
