"""Stream model calls and resume interrupted ones on other engines."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.calls.pool import Failure
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.daemon.controllers import call_queues
from yuccarill.daemon import metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.calls.load import LoadReport
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.core.ids import CallerId
    from yuccarill.core.ids import ModelName
    from yuccarill.daemon.adapters.engine import EngineAdapter
    from yuccarill.daemon.adapters.token_stream import Chunk

MAX_ATTEMPTS = 4


class GenerationController:
    """Generate tokens on the engines of a model."""

    def __init__(
        self,
        queues: call_queues.CallQueues,
        engines: EngineAdapter,
        now: Callable[[], Instant],
    ) -> None:
        self._queues = queues
        self._engines = engines
        self._now = now

    async def generate(
        self,
        caller: CallerId | None,
        model: ModelName,
        request: dict[str, Any],
        timeout: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation, resumed on other engines if interrupted.

        Raises AnswerCut if no engine finishes it in time, Overloaded or
        NoTarget if none starts it.
        """
        queue = self._queues.for_model(model)
        entry = call_queues.Entry(
            caller=self._queues.caller(caller),
            deadline=Instant(self._now() + timeout),
        )
        await queue.enter(entry)
        try:
            generation = _Generation(
                self._engines, queue, entry, request, on_chunk, self._now
            )
            await generation.start()
        finally:
            queue.leave()


class _Generation:
    """Stream one answer from one engine after another."""

    def __init__(
        self,
        engines: EngineAdapter,
        queue: call_queues.CallQueue,
        entry: call_queues.Entry,
        request: dict[str, Any],
        on_chunk: Callable[[Chunk], None],
        now: Callable[[], Instant],
    ) -> None:
        self._engines = engines
        self._queue = queue
        self._entry = entry
        self._request = request
        self._on_chunk = on_chunk
        self._now = now
        self._tokens: list[int] = []
        self._is_stopped = False

    def start(self) -> defer.Deferred[None]:
        """Run until the answer is complete or the caller cancels."""
        running = defer.ensureDeferred(self._run())

        def stop(_: object) -> None:
            # An attempt can not tell cancellation from an interrupted stream.
            # No other engine may resume an answer that the caller abandoned.
            self._is_stopped = True
            running.cancel()

        result: defer.Deferred[None] = defer.Deferred(stop)
        running.chainDeferred(result)
        return result

    async def _run(self) -> None:
        tried_ids: frozenset[TargetId] = frozenset()
        last_error: errors.YuccarillError = errors.NoTarget(
            'No engine of the model is available.', retry_after=1.0
        )
        for attempt_number in range(MAX_ATTEMPTS):
            engine = self._queue.choose(
                tried_ids, self._entry, self._request['prompt']
            )
            if engine is None or self._now() >= self._entry.deadline:
                break
            if attempt_number and not self._may_resume_or_retry():
                break
            tried_ids |= {engine.id}
            try:
                await self._run_attempt(engine)
                return
            except errors.YuccarillError as error:
                last_error = error
            if self._is_stopped:
                break
        if self._tokens and last_error.not_run:
            raise errors.AnswerCut(last_error.message) from last_error
        raise last_error

    def _may_resume_or_retry(self) -> bool:
        # Generated tokens are lost unless another engine resumes from them, so
        # resuming an answer does not use the retry budget.
        if self._tokens:
            metrics.count(metrics.Metric.CALLS_RESUMED)
            return True
        if self._queue.dispatcher.retries.withdraw():
            metrics.count(metrics.Metric.CALLS_RETRIES)
            return True
        return False

    async def _run_attempt(self, engine: Engine | Target) -> None:
        started_at = self._now()
        report: LoadReport | None = None
        is_recorded = False

        def record_report(received: LoadReport) -> None:
            nonlocal report
            report = received

        self._queue.record_send(engine.id)
        try:
            await self._engines.generate(
                engine.address,
                {
                    **self._request,
                    'priority': self._entry.priority,
                    'resume_tokens': tuple(self._tokens),
                },
                self._entry.deadline - started_at,
                self._handle_chunk,
                record_report,
            )
            is_recorded = True
            self._queue.record_answer(engine.id, started_at, report)
        except errors.YuccarillError as error:
            is_recorded = True
            failure = (
                Failure.REFUSED if error.not_run else Failure.DISCONNECTED
            )
            self._queue.record_failure(engine.id, started_at, failure)
            raise
        finally:
            if not is_recorded:
                self._queue.cancel_attempt(engine.id)

    def _handle_chunk(self, chunk: Chunk) -> None:
        # The tokens count only once delivered: a chunk that the receiver
        # rejects is not part of the answer.
        self._on_chunk(chunk)
        self._tokens.extend(chunk.tokens)
