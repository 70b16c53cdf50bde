"""Measure trainer idle time, staleness and cost of rollouts on a fake clock.

Runs the product's scheduler and step bookkeeping on the engines, trainers and
faults simulated by rollout_model. The naive policy and the lower bound use
the same sample lengths.
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

import naive_rollouts
import product_rollouts
import rollout_model

from yuccarill.core.config import inventory
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import GroupNumber
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import SampleId
from yuccarill.core.ids import ScorerId
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion
from yuccarill.core.rollouts import delivery
from yuccarill.core.rollouts import records
from yuccarill.core.rollouts import sample as sample_module
from yuccarill.core.rollouts import scheduler as scheduler_module
from yuccarill.core.rollouts import work as work_module
from yuccarill.daemon.storage import disk_log
from yuccarill.daemon.storage import segment


POLICIES: dict[str, inventory.TrainerPolicy] = {
    'staleness first': inventory.StalenessFirst(),
    'staleness first, no hedge': inventory.StalenessFirst(hedge_part=0.0),
    'idle first': inventory.IdleFirst(),
    'idle first, 2% spare groups': inventory.IdleFirst(spare_groups=1 << 10),
}


def _render_row(name: str, run: Any, naive_idle: float, bound: float) -> str:
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


def _idle_share(run: Any) -> float:
    total = sum(t.total for t in run.trainers)
    return sum(t.idle for t in run.trainers) / total


def _print_comparison(size: rollout_model.Size, title: str) -> None:
    lengths = rollout_model.Lengths(size)
    bound = rollout_model.bound_idle(size, lengths)
    print(f'\n{title}: bound {bound:.1%}')
    print('| policy | idle | of naive | of bound | lag | worst |')
    naive = naive_rollouts.NaiveRun(size, lengths)
    naive.run()
    print(_render_row('naive', naive, _idle_share(naive), bound))
    for name, policy in POLICIES.items():
        spare = 0.02 if policy.spare_groups else 0.0
        run = product_rollouts.ProductRun(size, lengths, policy, spare)
        run.run()
        print(_render_row(name, run, _idle_share(naive), bound))
        _check_delivery(run, size, name)
        count = sum(t.lags.total() for t in run.trainers)
        print(
            f'  {run.cpu_seconds / count * 1e6:.0f} us a sample in decisions, '
            f'{run.cached / run.starts:.0%} of starts on a cached prefix, '
            f'{run.resumed} resumed, {run.fleet.crashed} crashes'
        )


def _check_delivery(
    run: product_rollouts.ProductRun, size: rollout_model.Size, name: str
) -> None:
    spare = run.spare * rollout_model.GROUP_SIZE
    for trainer in run.trainers:
        duplicates = [n for n, count in trainer.received.items() if count > 1]
        wanted = rollout_model.STEPS * (size.samples - spare)
        missing = wanted - len(trainer.received)
        if duplicates or missing:
            sys.exit(f'{name}: {len(duplicates)} duplicated, {missing} lost')


def _print_memory() -> None:
    print('\nmemory of a holder, bytes a sample')
    for samples in (1024, 8192, 57344):
        model = rollout_model.TrainerModel(
            0, rollout_model.Loop(), rollout_model.Size(1), 0
        )
        request = product_rollouts.build_request(samples, 1, model, 0)
        trainer = inventory.Trainer(
            id=TrainerId('t0'),
            model=product_rollouts.MODEL,
            scorer=ScorerId('s'),
            staleness_bound=1,
            policy=inventory.StalenessFirst(),
        )
        tracemalloc.start()
        scheduler = scheduler_module.Scheduler(product_rollouts.SLOTS)
        scheduler.set_engines(product_rollouts.MODEL, [])
        work = work_module.StepWork(TrainerId('t0'), request)
        scheduler.open_step(trainer, work)
        waiting = tracemalloc.get_traced_memory()[0]
        for place in work.places():
            id_ = sample_module.sample_id(
                work.trainer, work.step, place, product_rollouts.INCARNATION, 1
            )
            work.add_sample(sample_module.Finished(id_, WeightVersion(1), b''))
        done = tracemalloc.get_traced_memory()[0] - waiting
        tracemalloc.stop()
        print(
            f'  {samples} samples: {waiting / samples:.0f} waiting, '
            f'{done / samples:.0f} more when finished, without its bytes'
        )


def _print_processor_time() -> None:
    print('\nprocessor time of decisions, idle first, 1% slow')
    for scale in (64, 16, 8):
        size = rollout_model.Size(scale, 0.01, rollout_model.SLOW_SHARE)
        lengths = rollout_model.Lengths(size)
        run = product_rollouts.ProductRun(
            size, lengths, POLICIES['idle first']
        )
        run.run()
        print(
            f'  {size.samples} samples a step, {size.engines} engines: '
            f'{run.cpu_seconds / run.starts * 1e6:.0f} us a sample'
        )


def _print_delivery() -> None:
    samples = rollout_model.SAMPLES
    model = rollout_model.TrainerModel(
        0, rollout_model.Loop(), rollout_model.Size(1), 0
    )
    work = work_module.StepWork(
        TrainerId('forecast-trainer'),
        product_rollouts.build_request(samples, 1, model, 0),
    )
    tokens = tuple(range(20_000, 20_000 + int(rollout_model.MEAN_TOKENS)))
    for place in work.places():
        name = sample_module.sample_id(
            work.trainer, work.step, place, product_rollouts.INCARNATION, 1
        )
        spans = (sample_module.Span(WeightVersion(1), tokens),)
        sample = sample_module.Sample(id=name, group=place.group, spans=spans)
        work.add_sample(sample_module.finish(sample))
    cpu = time.process_time()
    manifest = records.Manifest(
        trainer=work.trainer,
        step=work.step,
        newest_version=WeightVersion(1),
        sample_ids=tuple(f.id for f in work.in_order()),
        digest=work.sample_digest(),
        holder=InstanceId('entry-1'),
        incarnation=product_rollouts.INCARNATION,
        epoch=Epoch(1),
        revision=Revision(1),
        decided_at=WallTime(0.0),
    )
    body = delivery.encode(manifest, work.encoded_by_id())
    cpu = time.process_time() - cpu
    print(
        f'\na step of {samples} samples: manifest of '
        f'{len(records.encode(manifest)) / 1e3:.0f} KB, '
        f'body of {len(body) / 1e6:.1f} MB, decided and encoded in '
        f'{cpu * 1e3:.0f} ms of processor time'
    )


def _print_disk_log() -> None:
    tokens = tuple(range(20_000, 20_000 + int(rollout_model.MEAN_TOKENS)))
    spans = (sample_module.Span(WeightVersion(1), tokens),)
    print('\ndisk log, samples of 1,100 tokens')
    for batch in (1, 8, 64):
        with tempfile.TemporaryDirectory(dir='.') as folder:
            log = disk_log.DiskLog(pathlib.Path(folder))
            cpu, wall, size = time.process_time(), time.perf_counter(), 0
            for number in range(0, 2048, batch):
                written = [_record(number + n, spans) for n in range(batch)]
                size += sum(len(r.encoded) for r in written)
                log.append(written)
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
    id_ = SampleId(f't/1/{number}/0/{product_rollouts.INCARNATION}.1')
    sample = sample_module.Sample(id=id_, group=GroupNumber(0), spans=spans)
    encoded = sample_module.finish(sample).encoded
    return segment.SampleRecord(
        TrainerId('t'), StepNumber(1), id_, WeightVersion(1), encoded
    )


def main() -> None:
    """Print the tables of docs/MEASURES.md."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--scale', type=int, default=8)
    scale = parser.parse_args().scale
    start = time.perf_counter()
    _print_comparison(rollout_model.Size(scale), 'no faults')
    _print_comparison(
        rollout_model.Size(scale, 0.01, rollout_model.SLOW_SHARE),
        '1% of engines crash an hour, 1% are slow',
    )
    _print_comparison(
        rollout_model.Size(scale, 1.0, rollout_model.SLOW_SHARE),
        'every engine crashes once an hour, 1% are slow',
    )
    _print_processor_time()
    _print_memory()
    _print_delivery()
    _print_disk_log()
    print(f'\n{time.perf_counter() - start:.0f} s at 1/{scale} of the size')


if __name__ == '__main__':
    main()
