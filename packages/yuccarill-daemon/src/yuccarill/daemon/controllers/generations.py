"""Stream model calls from engines, and go on elsewhere when one is cut."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.calls.pool import Failure
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.daemon.controllers import lines
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
        all_lines: lines.Lines,
        engines: EngineAdapter,
        now: Callable[[], Instant],
    ) -> None:
        self._lines = all_lines
        self._engines = engines
        self._now = now

    async def generate(
        self,
        caller: CallerId | None,
        model: ModelName,
        request: dict[str, Any],
        seconds: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation, resumed on other engines if it is cut.

        Raises AnswerCut if no engine could finish it in time, Overloaded
        or NoTarget if none began.
        """
        line = self._lines.of_model(model)
        entry = lines.Entry(
            caller=self._lines.caller(caller),
            deadline=Instant(self._now() + seconds),
        )
        await line.enter(entry)
        try:
            generation = _Generation(
                self._engines, line, entry, request, on_chunk, self._now
            )
            await generation.start()
        finally:
            line.leave()


class _Generation:
    """Make one answer, on one engine after another."""

    def __init__(
        self,
        engines: EngineAdapter,
        line: lines.Line,
        entry: lines.Entry,
        request: dict[str, Any],
        on_chunk: Callable[[Chunk], None],
        now: Callable[[], Instant],
    ) -> None:
        self._engines = engines
        self._line = line
        self._entry = entry
        self._request = request
        self._on_chunk = on_chunk
        self._now = now
        self._tokens: list[int] = []
        self._is_stopped = False

    def start(self) -> defer.Deferred[None]:
        """Run until the answer is whole or the caller is gone."""
        running = defer.ensureDeferred(self._run())

        def stop(_: object) -> None:
            # Cancelling an attempt looks like a cut stream to it. Nobody
            # waits for the rest, so no other engine may go on with it.
            self._is_stopped = True
            running.cancel()

        result: defer.Deferred[None] = defer.Deferred(stop)
        running.chainDeferred(result)
        return result

    async def _run(self) -> None:
        tried: frozenset[TargetId] = frozenset()
        last: errors.YuccarillError = errors.NoTarget(
            'No engine of the model is left to try.', retry_after=1.0
        )
        for number in range(MAX_ATTEMPTS):
            engine = self._line.choose(
                tried, self._entry, self._request['prompt']
            )
            if engine is None or self._now() >= self._entry.deadline:
                break
            if number and not self._may_go_on():
                break
            tried |= {engine.id}
            try:
                await self._attempt(engine)
                return
            except errors.YuccarillError as error:
                last = error
            if self._is_stopped:
                break
        if self._tokens and last.not_run:
            raise errors.AnswerCut(last.message) from last
        raise last

    def _may_go_on(self) -> bool:
        # Tokens that were made are lost unless another engine goes on from
        # them, so a begun answer needs no place in the budget.
        if self._tokens:
            metrics.count(metrics.Metric.CALLS_RESUMED)
            return True
        if self._line.dispatcher.retries.withdraw():
            metrics.count(metrics.Metric.CALLS_RETRIES)
            return True
        return False

    async def _attempt(self, engine: Engine | Target) -> None:
        begun_at = self._now()
        report: LoadReport | None = None
        is_over = False

        def note(received: LoadReport) -> None:
            nonlocal report
            report = received

        self._line.send(engine.id)
        try:
            await self._engines.generate(
                engine.address,
                {
                    **self._request,
                    'priority': self._entry.priority,
                    'resume_tokens': tuple(self._tokens),
                },
                self._entry.deadline - begun_at,
                self._take,
                note,
            )
            is_over = True
            self._line.answer(engine.id, begun_at, report)
        except errors.YuccarillError as error:
            is_over = True
            failure = (
                Failure.REFUSED if error.not_run else Failure.DISCONNECTED
            )
            self._line.fail(engine.id, begun_at, failure)
            raise
        finally:
            if not is_over:
                self._line.give_up(engine.id)

    def _take(self, chunk: Chunk) -> None:
        # Handed on before they count as made: a chunk that its receiver
        # refuses is not part of the answer.
        self._on_chunk(chunk)
        self._tokens.extend(chunk.tokens)
