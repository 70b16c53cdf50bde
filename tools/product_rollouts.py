"""Let the product's scheduler serve the model's trainers."""

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
    """Let the product's scheduler serve the trainers."""

    def __init__(
        self,
        size: rollout_model.Size,
        lengths: rollout_model.Lengths,
        policy: inventory.TrainerPolicy,
        spare_part: float = 0.0,
    ) -> None:
        self.loop = rollout_model.Loop()
        self.fleet = rollout_model.Fleet(self.loop, size)
        self.fleet.on_crash = self._crash
        self._size = size
        self._lengths = lengths
        self.spare = round(spare_part * size.samples / rollout_model.MEMBERS)
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
                staleness_bound=rollout_model.BOUND,
                policy=policy,
            )
            for trainer in self.trainers
        ]
        self._works: dict[tuple[int, int], work_module.StepWork] = {}
        # Of running attempts: the engine's start and the tokens before it.
        self._running: dict[Attempt, tuple[float, float]] = {}
        self._by_engine: dict[TargetId, set[Attempt]] = (
            collections.defaultdict(set)
        )
        self._made: dict[tuple[Any, Any], float] = {}
        self.seconds = 0.0
        self.starts = self.resumed = self.warm = 0

    def run(self) -> None:
        """Run all steps."""
        for trainer in self.trainers:
            self._submit(trainer)
        self.loop.run(lambda: all(t.is_done for t in self.trainers))

    def _submit(self, trainer: rollout_model.TrainerModel) -> None:
        for step in trainer.due():
            work = work_module.StepWork(
                trainer.id,
                request_of(self._size.samples, step, trainer, self.spare),
                self.spare,
            )
            self._works[trainer.index, step] = work
            self._scheduler.open_step(self._configs[trainer.index], work)
        self._pump()

    def _pump(self) -> None:
        began = time.process_time()
        orders = self._scheduler.orders(Instant(self.loop.now))
        self.seconds += time.process_time() - began
        for attempt in orders.cancel:
            self._stop(attempt)
        for attempt in orders.start:
            self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        engine = attempt.engine
        work, place = attempt.plan.work, attempt.place
        self.starts += 1
        repair = self.fleet.repaired_in(engine)
        if repair:
            self.loop.after(0.01, lambda: self._fail(attempt))
            self._running[attempt] = (self.loop.now, 0.0)
            self._by_engine[engine].add(attempt)
            return
        before = 0.0
        if attempt.spans:
            before = self._tokens_of_twin(attempt)
            self.resumed += 1
        prompt = work.request.groups[place.group].prompt
        prefill = self.fleet.prefill(engine, prompt)
        self.warm += not prefill
        version = self.fleet.version(work.trainer, engine)
        attempt.spans = sample_module.append(attempt.spans, version, ())
        self._running[attempt] = (self.loop.now + prefill, before)
        self._by_engine[engine].add(attempt)
        index = place.group * rollout_model.MEMBERS + place.member
        trainer = int(work.trainer[1:])
        left = self._lengths.of(trainer, work.step)[index] - before
        seconds = prefill + left / self.fleet.rate(engine)
        self.loop.after(seconds, lambda: self._generated(attempt))
        self._report(attempt, version)

    def _report(self, attempt: Attempt, version: WeightVersion) -> None:
        """Tell the scheduler of tokens from time to time."""
        if attempt not in self._running:
            return
        tokens = int(self._tokens(attempt) - self._running[attempt][1])
        goes_on = self._scheduler.progress(
            attempt, version, tokens - attempt.made, Instant(self.loop.now)
        )
        if goes_on:
            self.loop.after(
                REPORT_SECONDS, lambda: self._report(attempt, version)
            )
        else:
            self.loop.after(0.0, self._pump)

    def _tokens(self, attempt: Attempt) -> float:
        began, before = self._running[attempt]
        made = max(0.0, self.loop.now - began)
        return before + made * self.fleet.rate(attempt.engine)

    def _tokens_of_twin(self, attempt: Attempt) -> float:
        for twin in attempt.plan.attempts_by_place[attempt.place]:
            if twin in self._running:
                return self._tokens(twin)
        return self._made.pop((attempt.plan.work, attempt.place), 0.0)

    def _stop(self, attempt: Attempt) -> None:
        if self._running.pop(attempt, None) is not None:
            self._by_engine[attempt.engine].discard(attempt)

    def _generated(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        before = self._running[attempt][1]
        tokens = self._tokens(attempt) - before
        self._stop(attempt)
        began = time.process_time()
        attempt.made += int(tokens) - attempt.made
        is_first = self._scheduler.generated(attempt, Instant(self.loop.now))
        self.seconds += time.process_time() - began
        if is_first:
            self.loop.after(
                rollout_model.SCORE_SECONDS, lambda: self._place(attempt)
            )
        self._pump()

    def _place(self, attempt: Attempt) -> None:
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
        began = time.process_time()
        work.take(sample_module.Finished(name, oldest, b''))
        if work.is_whole:
            self._scheduler.settle(work)
        self.seconds += time.process_time() - began
        self._fetch(self.trainers[int(work.trainer[1:])])
        self._pump()

    def _fail(self, attempt: Attempt) -> None:
        if attempt not in self._running:
            return
        if attempt.spans:
            key = (attempt.plan.work, attempt.place)
            self._made[key] = self._tokens(attempt)
        self._stop(attempt)
        self._scheduler.failed(attempt, Instant(self.loop.now))
        self.loop.after(1.0, self._pump)
        self._pump()

    def _crash(self, engine: TargetId, noticed_in: float) -> None:
        for attempt in list(self._by_engine[engine]):
            # Nothing comes after the crash, however late it is noticed.
            tokens = self._tokens(attempt)
            key = (attempt.plan.work, attempt.place)

            def fail(
                attempt: Attempt = attempt, tokens: float = tokens
            ) -> None:
                self._scheduler.failed(attempt, Instant(self.loop.now))
                self._made[key] = tokens
                self.loop.after(1.0, self._pump)
                self._pump()

            self._stop(attempt)
            self.loop.after(noticed_in, fail)

    def _fetch(self, trainer: rollout_model.TrainerModel) -> None:
        work = self._works.get((trainer.index, trainer.step))
        if not trainer.is_waiting or work is None or not work.is_whole:
            return
        stale = work.drop_stale(trainer.newest, rollout_model.BOUND)
        if stale:
            self._scheduler.again(work, stale)
            self._pump()
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
        del self._works[trainer.index, work.step]
        for (owner, _), other in list(self._works.items()):
            if owner == trainer.index:
                stale = other.drop_stale(trainer.newest, rollout_model.BOUND)
                self._scheduler.again(other, stale)
        self._submit(trainer)
        self._fetch(trainer)


def request_of(
    samples: int, step: int, trainer: rollout_model.TrainerModel, spare: int
) -> step_module.StepRequest:
    """Return a step of so many samples."""
    groups = samples // rollout_model.MEMBERS
    return step_module.StepRequest(
        StepNumber(step),
        trainer.newest,
        tuple(
            step_module.Group(
                f'{trainer.id}/{step}/{n}', rollout_model.MEMBERS
            )
            for n in range(groups)
        ),
        spare,
    )
