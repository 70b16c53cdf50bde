"""Call targets and record which requests crash them."""

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
    from yuccarill.daemon.gateway.quarantine.detector import CrashDetector
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.platform.calls import Calls
    from yuccarill.platform.calls import GenerationSink
    from yuccarill.platform.calls import TargetCall


class WatchedCalls:
    """Send calls and report lost connections to the crash guard."""

    def __init__(
        self,
        calls: Calls,
        detector: CrashDetector,
        guard: ContentGuard,
    ) -> None:
        self._calls = calls
        self._crash_detector = detector
        self._guard = guard

    def is_connected(self, target: ListedTarget) -> bool:
        """Tell whether a connection to the target is already open."""
        return self._calls.is_connected(target)

    def close_idle(self, target: ListedTarget) -> None:
        """Close the pooled connections to a target that has exited."""
        self._calls.close_idle(target)

    async def send(
        self,
        target: ListedTarget,
        call: TargetCall,
        answer_by: Instant,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        """Send a call and return the complete answer.

        Raises CallFailed.
        """
        started_at = self._guard.now()
        with self._track(target, call):
            try:
                answer = await self._calls.send(
                    target, call, answer_by, is_fresh
                )
            except calls_module.CallFailed as error:
                await self._record_failure(target, call, error, started_at)
                raise
        self._record_answer(target, call, answer)
        return answer

    async def generate(
        self,
        engine: ListedTarget,
        call: TargetCall,
        answer_by: Instant,
        progress_seconds: float,
        sink: GenerationSink,
        is_fresh: bool = False,
    ) -> TargetAnswer:
        """Send a generation call and pass its events to `sink` as they arrive.

        Raises CallFailed.
        """
        started_at = self._guard.now()
        with self._track(engine, call):
            try:
                answer = await self._calls.generate(
                    engine, call, answer_by, progress_seconds, sink, is_fresh
                )
            except calls_module.CallFailed as error:
                await self._record_failure(engine, call, error, started_at)
                raise
        self._record_answer(engine, call, answer)
        return answer

    @contextlib.contextmanager
    def _track(self, target: ListedTarget, call: TargetCall) -> Iterator[None]:
        started_at = self._guard.now()
        try:
            with self._track_suspect_run(target, call):
                yield
        except defer.CancelledError:
            self._guard.record_abandoned_run(
                target.id, call.content, call.id, False, started_at
            )
            raise

    @contextlib.contextmanager
    def _track_suspect_run(
        self, target: ListedTarget, call: TargetCall
    ) -> Iterator[None]:
        if self._guard.ledger.is_clear:
            yield
            return
        is_tracked = self._guard.begin_run(target.id, call.content)
        try:
            yield
        finally:
            if is_tracked:
                self._guard.finish_run(target.id, call.content)

    def _record_answer(
        self, target: ListedTarget, call: TargetCall, answer: TargetAnswer
    ) -> None:
        if not answer.is_from_other_process:
            self._guard.unconfirmed_losses.record_response(target.id)
        # Server errors do not clear a content: a 500 can come from a target
        # that fails on every request, a 504 from a run stopped early.
        if not answer.not_run and not answer.is_server_error:
            self._guard.record_completion(call.content)

    async def _record_failure(
        self,
        target: ListedTarget,
        call: TargetCall,
        error: calls_module.CallFailed,
        started_at: Instant,
    ) -> None:
        if error.is_connection_refused:
            self._crash_detector.record_refused_connection(target.id)
        if error.end is calls_module.CallEnd.NOT_SENT:
            return
        self._guard.set_name(call.content, call.name)
        if not error.is_connection_lost:
            self._guard.record_abandoned_run(
                target.id, call.content, call.id, True, started_at
            )
            self._crash_detector.schedule_check(target)
            return
        await self._crash_detector.confirm_loss(target, call.content, call.id)
