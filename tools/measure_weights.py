"""Measure weight rollouts in virtual time and on loopback.

The core part simulates a rollout to 1,300 engines in 11 data centres, and
naive rollouts with the same swap times: one by one, in lockstep waves and all
at once. The loopback part measures the processor time and bytes per order
sent to engine stand-ins in another process.
"""

from __future__ import annotations

import math
import pathlib
import random
import statistics
import sys
import time
from typing import Any

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'packages/yuccarill-core/tests'))
sys.path.insert(0, str(ROOT / 'tools'))

from weights import fleet as fleet_module  # noqa: E402
from yuccarill.core.ids import DataCentreId  # noqa: E402
from yuccarill.core.ids import TargetId  # noqa: E402

ENGINES = 1300
DATA_CENTRES = 11
SHARDS = 64
DOWNLOAD_RATE = 50.0
FAILURE_SHARE = 0.01
SHORTEST_SWAP_SECONDS = 0.5
LONGEST_SWAP_SECONDS = 6.0


class SwapTimes:
    """Draw swap times: mostly 0.5 to 3 s, a few up to 6 s."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def __call__(self) -> float:
        drawn = SHORTEST_SWAP_SECONDS + self._random.lognormvariate(-0.4, 0.8)
        return min(LONGEST_SWAP_SECONDS, drawn)


class Stopwatch:
    """Sum the processor time spent in the wrapped methods."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._depth = 0

    def wrap(self, owner: type, *names: str) -> None:
        for name in names:
            setattr(owner, name, self._wrap(getattr(owner, name)))

    def _wrap(self, function: Any) -> Any:
        def run(*args: Any, **options: Any) -> Any:
            self._depth += 1
            started_at = time.process_time()
            try:
                return function(*args, **options)
            finally:
                self._depth -= 1
                if not self._depth:
                    self.seconds += time.process_time() - started_at

        return run


def run_core(part: float, seed: int, engines: int = ENGINES) -> dict[str, Any]:
    """Roll out one version to all engines and return the counts."""
    fake_engines = [
        fleet_module.FakeEngine(
            TargetId(f'e{n}'), DataCentreId(f'dc{n % DATA_CENTRES}')
        )
        for n in range(engines)
    ]
    fleet = fleet_module.Fleet(fake_engines, SHARDS, part, DOWNLOAD_RATE, seed)
    fleet.switch_seconds = SwapTimes(seed)
    fleet.failure_part = FAILURE_SHARE
    fleet.run(6, lambda: False)
    fleet.store_newest = 2
    lowest = engines
    started_at: float | None = None

    def is_done() -> bool:
        nonlocal lowest, started_at
        lowest = min(lowest, fleet.serving())
        if started_at is None and any(e.is_swapping for e in fake_engines):
            started_at = float(fleet.now)
        return fleet.is_done()

    if not fleet.run(600, is_done):
        raise SystemExit('The rollout did not finish in time.')
    assert started_at is not None
    return {
        'seconds': fleet.now - started_at,
        'staging': max(fleet.downloads) - min(fleet.downloads),
        'serving': lowest / engines,
        'downloads': _peak_per_second(fleet.downloads),
        'orders': fleet.orders_sent,
        'faults': fleet.faults,
    }


def naive_seconds(part: float, seed: int) -> dict[str, float]:
    """Return the durations of naive rollouts with the same swap times."""
    times = SwapTimes(seed)
    swaps = [times() for _ in range(ENGINES)]
    wave = ENGINES - math.ceil(ENGINES * part)
    waves = [swaps[n : n + wave] for n in range(0, ENGINES, wave)]
    return {
        'one by one': sum(swaps),
        'lockstep waves': sum(max(each) for each in waves),
        'all at once': max(swaps),
    }


def _peak_per_second(times: list[float]) -> int:
    ordered = sorted(times)
    first = 0
    peak = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= 1.0:
            first += 1
        peak = max(peak, last - first + 1)
    return peak


@click.group()
def main() -> None:
    """Measure weight rollouts."""


@main.command()
@click.option('--seeds', default=5)
def core(seeds: int) -> None:
    """Simulate rollouts at full size in virtual time."""
    for part in (0.5, 0.8):
        runs = [run_core(part, seed) for seed in range(seeds)]
        naive = [naive_seconds(part, seed) for seed in range(seeds)]
        seconds = [run['seconds'] for run in runs]
        click.echo(f'serving_part {part}, {seeds} runs of {ENGINES} engines')
        click.echo(
            f'  switched in {statistics.median(seconds):.1f} s '
            f'(worst {max(seconds):.1f}), least serving '
            f'{min(run["serving"] for run in runs):.3f}'
        )
        click.echo(
            f'  staged in {max(run["staging"] for run in runs):.1f} s, '
            f'busiest second {max(run["downloads"] for run in runs)} '
            f'downloads, limit {DOWNLOAD_RATE:.0f}; orders '
            f'{max(run["orders"] for run in runs)}; floor broken '
            f'{sum(len(run["faults"]) for run in runs)} times'
        )
        for name in naive[0]:
            worst = max(each[name] for each in naive)
            ratio = worst / max(seconds)
            click.echo(f'  {name}: {worst:.1f} s ({ratio:.1f} of ours)')


@main.command()
def decisions() -> None:
    """Measure the processor time of decisions by number of engines."""
    from yuccarill.core.weights import engine_orders
    from yuccarill.core.weights import rollout

    model_holder, holders = Stopwatch(), Stopwatch()
    model_holder.wrap(rollout.ModelRollout, 'decide', 'observe')
    holders.wrap(
        engine_orders.EngineOrders,
        'begin',
        'finish',
        'record_state',
        'changed_reports',
        'set_epoch',
        'report',
    )
    for engines in (100, 325, 650, 1300):
        model_holder.seconds = holders.seconds = 0.0
        run = run_core(0.8, 1, engines)
        click.echo(
            f'{engines} engines: {run["orders"]} orders, model holder '
            f'{model_holder.seconds:.3f} s, all shard holders '
            f'{holders.seconds:.3f} s, switched in {run["seconds"]:.1f} s'
        )


@main.command()
@click.option('--engines', default=40)
def loopback(engines: int) -> None:
    """Measure the cost of orders to engine stand-ins on loopback."""
    import weights_loopback

    weights_loopback.run(engines)


if __name__ == '__main__':
    main()
