"""Run the product's scheduler on simulated engines and trainers."""

from __future__ import annotations

import collections
import time
from typing import Any
from typing import TYPE_CHECKING

import rollout_model

from yuccarill.core.config import inventory
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts import scheduler as scheduler_module
from yuccarill.core.rollouts import step as step_module
from yuccarill.core.rollouts import work as work_module

if TYPE_CHECKING:
    from yuccarill.core.ids import TargetId
    from yuccarill.core.rollouts.plan import Attempt

MODEL = ModelName('m')
INCARNATION = Incarnation('0123456789ab')
SLOTS = 1
REPORT_SECONDS = 1.0


class ProductRun:
    """Serve the simulated trainers with the product's scheduler."""

    def __init__(
        self,
        size: rollout_model.Size,
        lengths: rollout_model.Lengths,
        policy: inventory.TrainerPolicy,
        surplus: float = 0.0,
    ) -> None:
        self.loop = rollout_model.Loop()
        self.fleet = rollout_model.Fleet(self.loop, size)
        self.fleet.on_crash = self._crash
        self._size = size
        self._lengths = lengths
        self.spare = round(surplus * size.samples / rollout_model.GROUP_SIZE)
        self._scheduler = scheduler_module.Scheduler(SLOTS)
        self._scheduler.set_engines(MODEL, self.fleet.names)
        self.trainers = [
            rollout_model.TrainerModel(n, self.loop, size, policy.steps_ahead)
            for n in range(rollout_model.TRAINERS)
        ]
        self._configs = [
            inventory.Trainer(
                id=trainer.id,
                model=MODEL,
                scorer=ScorerId('s'),
                staleness_bound=rollout_model.MAX_LAG,
                policy=policy,
            )
            for trainer in self.trainers
        ]
        self._work_by_step: dict[tuple[int, int], work_module.StepWork] = {}
        # Generation start and resumed tokens of each running attempt.
        self._running: dict[Attempt, tuple[float, float]] = {}
        self._attempts_by_engine: dict[TargetId, set[Attempt]] = (
            collections.defaultdict(set)
        )
        self._kept_tokens: dict[tuple[Any, Any], float] = {}
        self.cpu_seconds = 0.0
        self.starts = self.resumed = self.cached = 0

    def run(self) -> None:
        """Run all steps."""
        for trainer in self.trainers:
            self._submit(trainer)
        self.loop.run(lambda: all(t.is_done for t in self.trainers))

    def _submit(self, trainer: rollout_model.TrainerModel) -> None:
        for step in trainer.due_steps():
            work = work_module.StepWork(
                trainer.id,
                build_request(self._size.samples, step, trainer, self.spare),
                self.spare,
            )
            self._work_by_step[trainer.index, step] = work
            self._scheduler.open_step(self._configs[trainer.index], work)
        self._dispatch()

    def _dispatch(self) -> None:
        started_at = time.process_time()
        orders = self._scheduler.next_orders(Instant(self.loop.now))
        self.cpu_seconds += time.process_time() - started_at
        for attempt in orders.cancel:
            self._stop(attempt)
        for attempt in orders.start:
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        engine = attempt.engine
        work, place = attempt.plan.work, attempt.place
        self.starts += 1
        repair = self.fleet.seconds_to_repair(engine)
        if repair:
            self.loop.schedule(0.01, lambda: self._fail(attempt))
            self._running[attempt] = (self.loop.now, 0.0)
            self._attempts_by_engine[engine].add(attempt)
            return
        before = 0.0
        if attempt.spans:
            before = self._tokens_to_resume(attempt)
            self.resumed += 1
        prompt = work.request.groups[place.group].prompt
        prefill = self.fleet.prefill(engine, prompt)
        self.cached += not prefill
        version = self.fleet.version(work.trainer, engine)
        attempt.spans = sample_module.append(attempt.spans, version, ())
        self._running[attempt] = (self.loop.now + prefill, before)
        self._attempts_by_engine[engine].add(attempt)
        index = place.group * rollout_model.GROUP_SIZE + place.member
        trainer = int(work.trainer[1:])
        tokens_left = self._lengths.of_step(trainer, work.step)[index] - before
        seconds = prefill + tokens_left / self.fleet.rate(engine)
        self.loop.schedule(seconds, lambda: self._generated(attempt))
        self._report(attempt, version)

    def _report(self, attempt: Attempt, version: WeightVersion) -> None:
        """Report progress to the scheduler periodically."""
        if attempt not in self._running:
            return
        tokens = int(self._tokens(attempt) - self._running[attempt][1])
        is_continued = self._scheduler.record_progress(
            attempt, version, tokens - attempt.made, Instant(self.loop.now)
        )
        if is_continued:
            self.loop.schedule(
                REPORT_SECONDS, lambda: self._report(attempt, version)
            )
        else:
            self.loop.schedule(0.0, self._dispatch)

    def _tokens(self, attempt: Attempt) -> float:
        started_at, before = self._running[attempt]
        generated = max(0.0, self.loop.now - started_at)
        return before + generated * self.fleet.rate(attempt.engine)

    def _tokens_to_resume(self, attempt: Attempt) -> float:
        for other in attempt.plan.attempts_by_place[attempt.place]:
            if other in self._running:
                return self._tokens(other)
        return self._kept_tokens.pop((attempt.plan.work, attempt.place), 0.0)

    def _stop(self, attempt: Attempt) -> None:
        if self._running.pop(attempt, None) is not None:
            self._attempts_by_engine[attempt.engine].discard(attempt)

    def _generated(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        before = self._running[attempt][1]
        tokens = self._tokens(attempt) - before
        self._stop(attempt)
        started_at = time.process_time()
        attempt.made += int(tokens) - attempt.made
        is_first = self._scheduler.finish_attempt(
            attempt, Instant(self.loop.now)
        )
        self.cpu_seconds += time.process_time() - started_at
        if is_first:
            self.loop.schedule(
                rollout_model.SCORE_SECONDS, lambda: self._deliver(attempt)
            )
        self._dispatch()

    def _deliver(self, attempt: Attempt) -> None:
        work = attempt.plan.work
        name = sample_module.sample_id(
            work.trainer,
            work.step,
            attempt.place,
            INCARNATION,
            attempt.number,
        )
        oldest = attempt.oldest_version
        assert oldest is not None
        started_at = time.process_time()
        work.add_sample(sample_module.Finished(name, oldest, b''))
        if work.is_whole:
            self._scheduler.cancel_step(work)
        self.cpu_seconds += time.process_time() - started_at
        self._fetch_step(self.trainers[int(work.trainer[1:])])
        self._dispatch()

    def _fail(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        if attempt.spans:
            key = (attempt.plan.work, attempt.place)
            self._kept_tokens[key] = self._tokens(attempt)
        self._stop(attempt)
        self._scheduler.fail_attempt(attempt, Instant(self.loop.now))
        self.loop.schedule(1.0, self._dispatch)
        self._dispatch()

    def _crash(self, engine: TargetId, detected_after: float) -> None:
        for attempt in list(self._attempts_by_engine[engine]):
            # Counts tokens up to the crash, not up to its detection.
            tokens = self._tokens(attempt)
            key = (attempt.plan.work, attempt.place)

            def fail(
                attempt: Attempt = attempt, tokens: float = tokens
            ) -> None:
                self._scheduler.fail_attempt(attempt, Instant(self.loop.now))
                self._kept_tokens[key] = tokens
                self.loop.schedule(1.0, self._dispatch)
                self._dispatch()

            self._stop(attempt)
            self.loop.schedule(detected_after, fail)

    def _fetch_step(self, trainer: rollout_model.TrainerModel) -> None:
        work = self._work_by_step.get((trainer.index, trainer.step))
        if not trainer.is_waiting or work is None or not work.is_whole:
            return
        stale = work.drop_stale(trainer.newest, rollout_model.MAX_LAG)
        if stale:
            self._scheduler.requeue_places(work, stale)
            self._dispatch()
            return
        samples = work.in_order()
        trainer.receive(
            [trainer.newest - s.oldest_version for s in samples],
            [str(s.id).rsplit('/', 1)[0] for s in samples],
            lambda: self._trained(trainer, work),
        )

    def _trained(
        self,
        trainer: rollout_model.TrainerModel,
        work: work_module.StepWork,
    ) -> None:
        self.fleet.announce(trainer.id)
        self._scheduler.raise_newest(trainer.id, trainer.newest)
        self._scheduler.close_step(work)
        del self._work_by_step[trainer.index, work.step]
        for (owner, _), other in list(self._work_by_step.items()):
            if owner == trainer.index:
                stale = other.drop_stale(trainer.newest, rollout_model.MAX_LAG)
                self._scheduler.requeue_places(other, stale)
        self._submit(trainer)
        self._fetch_step(trainer)


def build_request(
    samples: int, step: int, trainer: rollout_model.TrainerModel, spare: int
) -> step_module.StepRequest:
    """Return a step request for a number of samples."""
    groups = samples // rollout_model.GROUP_SIZE
    return step_module.StepRequest(
        StepNumber(step),
        trainer.newest,
        tuple(
            step_module.Group(
                f'{trainer.id}/{step}/{n}', rollout_model.GROUP_SIZE
            )
            for n in range(groups)
        ),
        spare,
    )
