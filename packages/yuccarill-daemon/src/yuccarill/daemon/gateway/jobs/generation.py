"""Let an engine generate or continue the text of one item."""

from __future__ import annotations

import enum
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import text as text_module
from yuccarill.daemon.adapters import http_exchange
from yuccarill.daemon import logs
from yuccarill.platform import calls as calls_module

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.gateway.requests import TargetAnswer
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.jobs.engines import EngineState
    from yuccarill.core.jobs.job_queue import ItemRun
    from yuccarill.core.jobs.text import StreamEvent
    from yuccarill.daemon.gateway.quarantine.watched_calls import WatchedCalls

log = logs.for_part('generation')

# Time without an event after which a run is abandoned. It is longer than a
# weight change, during which an engine sends no events. Events come every 40
# ms, at a slow engine every 160 ms; a weight change takes about a second.
SILENCE_SECONDS = 2.0
# Deadline of one run.
RUN_SECONDS = 60.0
# Events of a text beyond the tokens of its item. An event has at least one
# token, but an engine can send events without end.
SPARE_EVENTS = 1000


class Outcome(enum.Enum):
    """Describe how a run ended."""

    WHOLE = 'whole'
    # The engine reports that the item failed.
    FAILED = 'failed'
    # The engine reports that the item can never succeed.
    IMPOSSIBLE = 'impossible'
    # Another run continues the text after its last whole event.
    BROKEN = 'broken'
    # The engine did not begin the run.
    NOT_RUN = 'not run'


class Generator:
    """Run single items at engines."""

    def __init__(self, calls: WatchedCalls, clock: Any) -> None:
        self._calls = calls
        self._clock = clock

    async def run(
        self,
        run: ItemRun,
        engine: EngineState,
        on_progress: Callable[[Instant], None],
    ) -> Outcome:
        """Run an item, continuing after the last whole event of its text."""
        sink = _TextSink(run, engine, on_progress, self._clock)
        previous_events = run.text.events
        started_at = self._now()
        outcome, cause = Outcome.BROKEN, 'cancelled'
        try:
            answer = await self._calls.generate(
                engine.target,
                _call(run),
                Instant(self._now() + RUN_SECONDS),
                SILENCE_SECONDS,
                sink,
            )
            outcome, cause = self._outcome_of(answer, engine, run)
        except calls_module.CallFailed as error:
            cause = str(error)
            if error.end is calls_module.CallEnd.NOT_SENT:
                outcome = Outcome.NOT_RUN
            engine.fail(self._now())
            if sink.must_restart:
                run.text.clear()
        finally:
            log.info(
                'Run ended.',
                item=run.item.id,
                job=run.job.id,
                engine=engine.target.id,
                outcome=outcome,
                cause=cause,
                first=previous_events,
                events=run.text.events,
                versions=run.text.versions,
                seconds=round(self._now() - started_at, 3),
            )
        return outcome

    def _outcome_of(
        self, answer: TargetAnswer, engine: EngineState, run: ItemRun
    ) -> tuple[Outcome, str]:
        if answer.is_success:
            engine.succeed()
            return Outcome.WHOLE, ''
        cause = f'status {answer.status}'
        if answer.not_run:
            engine.fail(self._now())
            return Outcome.NOT_RUN, cause
        if answer.status == 422:
            return Outcome.IMPOSSIBLE, cause
        if answer.status == 500:
            return Outcome.FAILED, cause
        engine.fail(self._now())
        return Outcome.BROKEN, cause

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())


class _TextSink(calls_module.GenerationSink):
    """Append the events of a run to the text of its item."""

    def __init__(
        self,
        run: ItemRun,
        engine: EngineState,
        on_progress: Callable[[Instant], None],
        clock: Any,
    ) -> None:
        self._run = run
        self._engine = engine
        self._on_progress = on_progress
        self._clock = clock
        self._last_at: Instant | None = None
        # The text violates the job's weight versions: restart it from empty.
        self.must_restart = False

    def begin(self, answer: TargetAnswer, version: int | None) -> None:
        weights = None if version is None else WeightVersion(version)
        self._record_version(weights)
        if weights is not None and weights < self._run.job.min_version:
            raise http_exchange.ResponseRejected(
                f'weight version {weights} is below the minimum'
            )
        self._run.text.begin_run(weights)

    def event(self, event: StreamEvent) -> None:
        self._record_version(event.version)
        try:
            self._run.text.add_event(event)
        except text_module.TextSequenceError as error:
            # No run can complete a text that is already too long.
            self.must_restart = isinstance(error, text_module.TextTooLong)
            raise http_exchange.ResponseRejected(str(error)) from error
        if self._run.text.events > self._run.item.tokens + SPARE_EVENTS:
            self.must_restart = True
            raise http_exchange.ResponseRejected(
                'more events than the item has tokens'
            )
        job = self._run.job
        if not self._run.text.fits(job.min_version, job.is_single_version):
            self.must_restart = True
            raise http_exchange.ResponseRejected(
                'job forbids this weight version'
            )
        now = Instant(self._clock.seconds())
        self._on_progress(now)
        if self._last_at is not None:
            self._engine.record_gap(now - self._last_at, now)
        self._last_at = now

    def _record_version(self, version: WeightVersion | None) -> None:
        if version is not None and self._run.job.model is not None:
            self._engine.record_version(self._run.job.model, version)


def content_of(run: ItemRun) -> ContentDigest:
    """Return the digest that identifies the request of an item."""
    return _call(run).content


def _call(run: ItemRun) -> calls_module.TargetCall:
    item = run.item
    return calls_module.TargetCall(
        id=RequestId(item.id),
        method='POST',
        target=item.path,
        headers=(('Host', run.job.host), *item.headers),
        body=item.body,
        after_event=run.text.events or None,
        account=run.job.account,
    )
