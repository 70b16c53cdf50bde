"""Execute the scheduler's decisions on sample generation."""

from __future__ import annotations

import collections
import functools
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts import scheduler
from yuccarill.core.rollouts import stages
from yuccarill.daemon.controllers import sample_finisher
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.calls import load
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Trainer
    from yuccarill.core.ids import GroupNumber
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import SampleId
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.plan import Attempt
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.stages import SampleStage
    from yuccarill.core.rollouts.work import StepWork
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.engine import EngineAdapter
    from yuccarill.daemon.adapters.scorer import ScorerAdapter
    from yuccarill.daemon.controllers.sample_store import SampleStore

log = logs.for_part('rollouts')

# Time limit of a generation; a stalled stream times out much earlier.
SAMPLE_SECONDS = 600.0
# Engines serve lower values first; calls have lower values than samples.
PRIORITY = 20
# Interval for rechecking paused engines and aging attempts.
PUMP_SECONDS = 0.25


class SampleMaker:
    """Generate the samples of steps."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        engines: EngineAdapter,
        scorer: ScorerAdapter,
        store: SampleStore,
        clock: Any = reactor,
    ) -> None:
        self._blackboard = blackboard
        self._incarnation = incarnation
        self._engines = engines
        self._clock = clock
        self._finisher = sample_finisher.SampleFinisher(
            blackboard, scorer, store, clock
        )
        self._scheduler = scheduler.Scheduler()
        self._streams_by_attempt: dict[Attempt, defer.Deferred[None]] = {}
        self._on_change_by_work: dict[
            StepWork, Callable[[StepWork], None]
        ] = {}
        self._is_pumping = False
        self._generating = 0

    @property
    def active(self) -> int:
        """Return the number of samples being generated, scored or stored."""
        return self._generating + self._finisher.active

    async def follow(self) -> None:
        """Run the scheduler periodically until the process ends."""
        while True:
            self.pump()
            await task.deferLater(self._clock, PUMP_SECONDS, lambda: None)

    def start_step(
        self,
        trainer: Trainer,
        work: StepWork,
        on_change: Callable[[StepWork], None],
    ) -> None:
        """Start generating a step's samples; call back on each change."""
        self._on_change_by_work[work] = on_change
        self._scheduler.open_step(trainer, work)
        self.pump()

    def requeue(self, work: StepWork, places: Iterable[Place]) -> None:
        """Regenerate dropped samples."""
        self._scheduler.requeue_places(work, places)
        self.pump()

    def cancel_step(self, work: StepWork) -> None:
        """Cancel the attempts of a step that needs no more samples."""
        self._on_change_by_work.pop(work, None)
        self._finisher.forget(work)
        self._scheduler.close_step(work)
        self.pump()

    def raise_newest(self, trainer: TrainerId, version: WeightVersion) -> None:
        """Cancel attempts too old for a trainer's newest version."""
        self._scheduler.raise_newest(trainer, version)
        self.pump()

    def stages(self, work: StepWork) -> collections.Counter[SampleStage]:
        """Count a step's samples by stage."""
        plan = self._scheduler.plan_of(work)
        finishing_stages = self._finisher.stages_by_place(work)
        return stages.count(work, plan, finishing_stages)

    def pump(self) -> None:
        """Start and cancel attempts as the scheduler decides."""
        # An attempt that ends at once would run this method recursively.
        if self._is_pumping:
            return
        self._is_pumping = True
        try:
            engines_by_id = self._update_engines()
            while True:
                orders = self._scheduler.next_orders(self._now())
                if not orders.start and not orders.cancel:
                    break
                self._execute(orders, engines_by_id)
        finally:
            self._is_pumping = False

    def _execute(
        self, orders: scheduler.Orders, engines_by_id: dict[TargetId, Engine]
    ) -> None:
        for attempt in orders.cancel:
            stream = self._streams_by_attempt.pop(attempt, None)
            if stream is not None:
                stream.cancel()
        for attempt in orders.start:
            self._start_attempt(attempt, engines_by_id[attempt.engine])

    def _update_engines(self) -> dict[TargetId, Engine]:
        snapshot = self._blackboard.snapshot
        engines = snapshot.inventory.engines if snapshot is not None else ()
        ids_by_model: dict[Any, list[TargetId]] = {}
        for engine in engines:
            ids_by_model.setdefault(engine.model, []).append(engine.id)
        for model, ids in ids_by_model.items():
            self._scheduler.set_engines(model, ids)
        return {engine.id: engine for engine in engines}

    def _start_attempt(self, attempt: Attempt, engine: Engine) -> None:
        stream = defer.ensureDeferred(self._run_attempt(attempt, engine))
        if not stream.called:
            self._streams_by_attempt[attempt] = stream
        stream.addErrback(self._handle_error, attempt.plan.work)
        stream.addCallback(lambda _: self.pump())

    async def _run_attempt(self, attempt: Attempt, engine: Engine) -> None:
        work = attempt.plan.work
        in_flight = self._blackboard.in_flight_by_id
        in_flight[engine.id] += 1
        self._generating += 1
        try:
            await self._generate(attempt, engine)
        except errors.YuccarillError as error:
            if not self._scheduler.fail_attempt(attempt, self._now()):
                self._give_up(work, attempt.place.group, error.message)
            return
        finally:
            in_flight[engine.id] -= 1
            self._generating -= 1
            self._streams_by_attempt.pop(attempt, None)
        if self._scheduler.finish_attempt(attempt, self._now()):
            finished = defer.ensureDeferred(self._finish(attempt))
            finished.addErrback(self._handle_error, work)

    async def _generate(self, attempt: Attempt, engine: Engine) -> None:
        await self._engines.generate(
            engine.address,
            self._request(attempt),
            SAMPLE_SECONDS,
            functools.partial(self._handle_chunk, attempt),
            functools.partial(self._handle_report, attempt),
        )
        if not attempt.spans:
            raise errors.AnswerCut(f'Engine {engine.id} returned no token.')

    def _request(self, attempt: Attempt) -> dict[str, object]:
        group = attempt.plan.work.request.groups[attempt.place.group]
        return {
            'request_id': self._sample_id(attempt),
            'priority': PRIORITY,
            'prompt': group.prompt,
            # Only the seed differs between the members of a group.
            'seed': attempt.place.member,
            'max_tokens': group.max_tokens,
            'resume_tokens': [
                token for span in attempt.spans for token in span.tokens
            ],
        }

    def _handle_chunk(self, attempt: Attempt, chunk: Chunk) -> None:
        if chunk.weight_version is None:
            raise errors.AnswerCut('The engine sent no weight version.')
        attempt.spans = sample_module.append(
            attempt.spans, chunk.weight_version, chunk.tokens
        )
        may_continue = self._scheduler.record_progress(
            attempt, chunk.weight_version, len(chunk.tokens), self._now()
        )
        if not may_continue:
            self._clock.callLater(0, self.pump)

    def _handle_report(
        self, attempt: Attempt, report: load.LoadReport
    ) -> None:
        if report.queued:
            self._scheduler.pause_engine(attempt, self._now())

    async def _finish(self, attempt: Attempt) -> None:
        work, group = attempt.plan.work, attempt.place.group
        sample = sample_module.Sample(
            id=self._sample_id(attempt), group=group, spans=attempt.spans
        )
        try:
            is_finished = await self._finisher.finish(work, sample)
        except errors.GroupFailed as error:
            self._give_up(work, group, error.message)
            return
        if not is_finished:
            return
        if work.is_whole:
            self._scheduler.cancel_step(work)
            self.pump()
        self._report(work)

    def _give_up(self, work: StepWork, group: GroupNumber, cause: str) -> None:
        if not work.is_open or work.abandon_group(group):
            return
        work.error = errors.GroupFailed(
            f'Group {group} of step {work.step} can not be completed '
            f'({cause}); submit the step again or delete it.'
        )
        log.error('Sample group failed.', trainer=work.trainer, cause=cause)
        self._report(work)
        self.cancel_step(work)

    def _handle_error(self, failure: Any, work: StepWork) -> None:
        if failure.check(defer.CancelledError):
            return
        log.error('Sample failed unexpectedly.', cause=str(failure)[:500])
        if work.is_open:
            work.error = errors.GroupFailed(
                f'Step {work.step} failed with an internal error.'
            )

    def _report(self, work: StepWork) -> None:
        on_change = self._on_change_by_work.get(work)
        if on_change is not None:
            on_change(work)

    def _sample_id(self, attempt: Attempt) -> SampleId:
        work = attempt.plan.work
        return sample_module.sample_id(
            work.trainer,
            work.step,
            attempt.place,
            self._incarnation,
            attempt.number,
        )

    def _now(self) -> Instant:
        return Instant(self._clock.seconds())
