"""Measure rollouts on a fake clock: idle trainers, staleness and cost.

The scheduler and the bookkeeping of steps are the product's own; engines,
trainers and faults are those of rollout_model. The naive policy and the lower
bound run on the same lengths in the same run.
"""

from __future__ import annotations

import argparse
import collections
import pathlib
import sys
import tempfile
import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

import naive_rollouts
import rollout_model

from yuccarill.core.config import inventory
from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts import scheduler as scheduler_module
from yuccarill.core.rollouts import step as step_module
from yuccarill.core.rollouts import work as work_module
from yuccarill.daemon.storage import disk_log
from yuccarill.daemon.storage import segment

if TYPE_CHECKING:
    from yuccarill.core.ids import TargetId
    from yuccarill.core.rollouts.plan import Attempt

MODEL = ModelName('m')
INCARNATION = Incarnation('0123456789ab')
SLOTS = 1
REPORT_SECONDS = 1.0

POLICIES: dict[str, inventory.TrainerPolicy] = {
    'staleness first': inventory.StalenessFirst(),
    'staleness first, no hedge': inventory.StalenessFirst(hedge_part=0.0),
    'idle first': inventory.IdleFirst(),
    'idle first, 2% spare groups': inventory.IdleFirst(spare_groups=1 << 10),
}


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
        self._spare = round(spare_part * size.samples / rollout_model.MEMBERS)
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
                _request(self._size.samples, step, trainer, self._spare),
                self._spare,
            )
            self._works[trainer.index, step] = work
            self._scheduler.open_step(self._configs[trainer.index], work)
        self._pump()

    def _pump(self) -> None:
        began = time.perf_counter()
        orders = self._scheduler.orders(Instant(self.loop.now))
        self.seconds += time.perf_counter() - began
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
        began = time.perf_counter()
        attempt.made += int(tokens) - attempt.made
        is_first = self._scheduler.generated(attempt, Instant(self.loop.now))
        self.seconds += time.perf_counter() - began
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
        began = time.perf_counter()
        work.take(sample_module.Finished(name, oldest, b''))
        if work.is_whole:
            self._scheduler.settle(work)
        self.seconds += time.perf_counter() - began
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


def _request(
    samples: int, step: int, trainer: rollout_model.TrainerModel, spare: int
) -> step_module.StepRequest:
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


def _row(name: str, run: Any, naive_idle: float, bound: float) -> str:
    trainers = run.trainers
    idle = sum(t.idle for t in trainers) / sum(t.total for t in trainers)
    lags: collections.Counter[int] = sum(
        (t.lags for t in trainers), collections.Counter()
    )
    mean = sum(lag * n for lag, n in lags.items()) / lags.total()
    cells = [
        name,
        f'{idle:.1%}',
        f'{idle / naive_idle:.2f}' if naive_idle else '1.00',
        f'{idle / bound:.2f}' if bound else '-',
        f'{mean:.2f}',
        f'{max(lags)}',
    ]
    return f'| {" | ".join(cells)} |'


def _idle(run: Any) -> float:
    total = sum(t.total for t in run.trainers)
    return sum(t.idle for t in run.trainers) / total


def _compare(size: rollout_model.Size, title: str) -> None:
    lengths = rollout_model.Lengths(size)
    bound = rollout_model.bound_idle(size, lengths)
    print(f'\n{title}: bound {bound:.1%}')
    print('| policy | idle | of naive | of bound | lag | worst |')
    naive = naive_rollouts.NaiveRun(size, lengths)
    naive.run()
    print(_row('naive', naive, _idle(naive), bound))
    for name, policy in POLICIES.items():
        spare = 0.02 if policy.spare_groups else 0.0
        run = ProductRun(size, lengths, policy, spare)
        run.run()
        print(_row(name, run, _idle(naive), bound))
        _check(run, size, name)
        made = sum(t.lags.total() for t in run.trainers)
        print(
            f'  {run.seconds / made * 1e6:.0f} us a sample in decisions, '
            f'{run.warm / run.starts:.0%} of starts on a cached prefix, '
            f'{run.resumed} resumed, {run.fleet.crashed} crashes'
        )


def _check(run: ProductRun, size: rollout_model.Size, name: str) -> None:
    spare = run._spare * rollout_model.MEMBERS
    for trainer in run.trainers:
        doubled = [n for n, count in trainer.received.items() if count > 1]
        wanted = rollout_model.STEPS * (size.samples - spare)
        missing = wanted - len(trainer.received)
        if doubled or missing:
            sys.exit(f'{name}: {len(doubled)} doubled, {missing} lost')


def _memory() -> None:
    print('\nmemory of a holder, bytes a sample')
    for samples in (1024, 8192, 57344):
        model = rollout_model.TrainerModel(
            0, rollout_model.Loop(), rollout_model.Size(1), 0
        )
        request = _request(samples, 1, model, 0)
        trainer = inventory.Trainer(
            id=TrainerId('t0'),
            model=MODEL,
            scorer=ScorerId('s'),
            staleness_bound=1,
            policy=inventory.StalenessFirst(),
        )
        tracemalloc.start()
        scheduler = scheduler_module.Scheduler(SLOTS)
        scheduler.set_engines(MODEL, [])
        work = work_module.StepWork(TrainerId('t0'), request)
        scheduler.open_step(trainer, work)
        waiting = tracemalloc.get_traced_memory()[0]
        for place in work.places():
            name = sample_module.sample_id(
                work.trainer, work.step, place, INCARNATION, 1
            )
            work.take(sample_module.Finished(name, WeightVersion(1), b''))
        done = tracemalloc.get_traced_memory()[0] - waiting
        tracemalloc.stop()
        print(
            f'  {samples} samples: {waiting / samples:.0f} waiting, '
            f'{done / samples:.0f} more when finished, without its bytes'
        )


def _disk() -> None:
    tokens = tuple(range(20_000, 20_000 + int(rollout_model.MEAN_TOKENS)))
    spans = (sample_module.Span(WeightVersion(1), tokens),)
    print('\ndisk log, samples of 1,100 tokens')
    for batch in (1, 8, 64):
        with tempfile.TemporaryDirectory(dir='.') as folder:
            log = disk_log.DiskLog(pathlib.Path(folder))
            cpu, wall, size = time.process_time(), time.perf_counter(), 0
            for number in range(0, 2048, batch):
                records = [_record(number + n, spans) for n in range(batch)]
                size += sum(len(r.encoded) for r in records)
                log.append(records)
                log.sync()
            cpu = time.process_time() - cpu
            wall = time.perf_counter() - wall
            log.close()
        print(
            f'  {batch} a sync: {cpu / 2048 * 1e6:.0f} us of processor and '
            f'{wall / 2048 * 1e6:.0f} us in all a sample of '
            f'{size / 2048:.0f} bytes, encoding included'
        )


def _record(
    number: int, spans: tuple[sample_module.Span, ...]
) -> segment.SampleRecord:
    name = SampleId(f't/1/{number}/0/{INCARNATION}.1')
    made = sample_module.Sample(id=name, group=GroupNumber(0), spans=spans)
    encoded = sample_module.finish(made).encoded
    return segment.SampleRecord(
        TrainerId('t'), StepNumber(1), name, WeightVersion(1), encoded
    )


def main() -> None:
    """Print the tables of docs/MEASURES.md."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scale', type=int, default=8)
    scale = parser.parse_args().scale
    began = time.perf_counter()
    _compare(rollout_model.Size(scale), 'no faults')
    _compare(
        rollout_model.Size(scale, 0.01, rollout_model.SLOW_PART),
        '1% of engines crash an hour, 1% are slow',
    )
    _compare(
        rollout_model.Size(scale, 1.0, rollout_model.SLOW_PART),
        'every engine crashes once an hour, 1% are slow',
    )
    _memory()
    _disk()
    print(f'\n{time.perf_counter() - began:.0f} s at 1/{scale} of the size')


if __name__ == '__main__':
    main()
