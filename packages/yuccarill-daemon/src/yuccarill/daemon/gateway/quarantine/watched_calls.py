"""Call targets and learn which requests they end under."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import Instant
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.daemon.gateway.quarantine.target_ends import TargetEnds
    from yuccarill.platform.calls import Calls
    from yuccarill.platform.calls import GenerationSink
    from yuccarill.platform.calls import TargetCall


class WatchedCalls:
    """Send calls as `Calls` does, and look after connections that end."""

    def __init__(
        self, calls: Calls, ends: TargetEnds, guard: ContentGuard
    ) -> None:
        self._calls = calls
        self._ends = ends
        self._guard = guard

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
        began_at = self._guard.now()
        with self._noted(target, call):
            try:
                answer = await self._calls.send(
                    target, call, answer_by, is_fresh
                )
            except calls_module.CallFailed as error:
                await self._failed(target, call, error, began_at)
                raise
        self._answered(target, call, answer)
        return answer

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
        began_at = self._guard.now()
        with self._noted(engine, call):
            try:
                answer = await self._calls.generate(
                    engine, call, answer_by, progress_seconds, sink
                )
            except calls_module.CallFailed as error:
                await self._failed(engine, call, error, began_at)
                raise
        self._answered(engine, call, answer)
        return answer

    @contextlib.contextmanager
    def _noted(self, target: ListedTarget, call: TargetCall) -> Iterator[None]:
        began_at = self._guard.now()
        try:
            with self._kept_apart(target, call):
                yield
        except defer.CancelledError:
            self._guard.gave_up(
                target.id, call.content, call.id, False, began_at
            )
            raise

    @contextlib.contextmanager
    def _kept_apart(
        self, target: ListedTarget, call: TargetCall
    ) -> Iterator[None]:
        if self._guard.ledger.is_clear:
            yield
            return
        is_noted = self._guard.begin(target.id, call.content)
        try:
            yield
        finally:
            if is_noted:
                self._guard.finish(target.id, call.content)

    def _answered(
        self, target: ListedTarget, call: TargetCall, answer: TargetAnswer
    ) -> None:
        if not answer.is_from_other_process:
            self._guard.doubts.record_response(target.id)
        # A 500 may come from a target that fails whatever it gets, and a 504
        # from one that was stopped before it came to what ends it.
        if not answer.not_run and not answer.is_server_error:
            self._guard.completed(call.content)

    async def _failed(
        self,
        target: ListedTarget,
        call: TargetCall,
        error: calls_module.CallFailed,
        began_at: Instant,
    ) -> None:
        if error.is_refused:
            self._ends.refused(target.id)
        if error.end is calls_module.CallEnd.NOT_SENT:
            return
        self._guard.name(call.content, call.name)
        if not error.is_lost:
            self._guard.gave_up(
                target.id, call.content, call.id, True, began_at
            )
            self._ends.gave_up(target)
            return
        await self._ends.lost(target, call.content, call.id)
