"""Measure a weight switch: in virtual time at size, and on loopback.

The core part runs the decisions for 1,300 engines of 11 data centres in
virtual time, beside switching one by one, in lockstep waves and all at
once with the same swap times. The loopback part gives the processor time
and bytes of an order to engine stand-ins in a process of their own.
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
RATE = 50.0
FAILURE_PART = 0.01
LOWEST_SWAP = 0.5
LONGEST_SWAP = 6.0


class SwapTimes:
    """Draw swap times: mostly 0.5 to 3 s, a few up to 6 s."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def __call__(self) -> float:
        drawn = LOWEST_SWAP + self._random.lognormvariate(-0.4, 0.8)
        return min(LONGEST_SWAP, drawn)


class Stopwatch:
    """Sum the processor time that is spent in some functions."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._depth = 0

    def wrap(self, owner: type, *names: str) -> None:
        for name in names:
            setattr(owner, name, self._timed(getattr(owner, name)))

    def _timed(self, function: Any) -> Any:
        def run(*args: Any, **more: Any) -> Any:
            self._depth += 1
            begun = time.process_time()
            try:
                return function(*args, **more)
            finally:
                self._depth -= 1
                if not self._depth:
                    self.seconds += time.process_time() - begun

        return run


def run_core(part: float, seed: int, engines: int = ENGINES) -> dict[str, Any]:
    """Switch all engines once and return what was counted."""
    fakes = [
        fleet_module.FakeEngine(
            TargetId(f'e{n}'), DataCentreId(f'dc{n % DATA_CENTRES}')
        )
        for n in range(engines)
    ]
    fleet = fleet_module.Fleet(fakes, SHARDS, part, RATE, seed)
    fleet.switch_seconds = SwapTimes(seed)
    fleet.failure_part = FAILURE_PART
    fleet.run(6, lambda: False)
    fleet.store_newest = 2
    lowest = engines
    begun: float | None = None

    def is_done() -> bool:
        nonlocal lowest, begun
        lowest = min(lowest, fleet.serving())
        if begun is None and any(e.is_swapping for e in fakes):
            begun = float(fleet.now)
        return fleet.is_done()

    if not fleet.run(600, is_done):
        raise SystemExit('the switch did not end')
    assert begun is not None
    return {
        'seconds': fleet.now - begun,
        'staging': max(fleet.downloads) - min(fleet.downloads),
        'serving': lowest / engines,
        'downloads': _busiest_second(fleet.downloads),
        'orders': fleet.orders_sent,
        'faults': fleet.faults,
    }


def naive_seconds(part: float, seed: int) -> dict[str, float]:
    """Return the time of the naive ways with swap times drawn alike."""
    times = SwapTimes(seed)
    swaps = [times() for _ in range(ENGINES)]
    wave = ENGINES - math.ceil(ENGINES * part)
    waves = [swaps[n : n + wave] for n in range(0, ENGINES, wave)]
    return {
        'one by one': sum(swaps),
        'lockstep waves': sum(max(each) for each in waves),
        'all at once': max(swaps),
    }


def _busiest_second(times: list[float]) -> int:
    ordered = sorted(times)
    first = 0
    most = 0
    for last, at in enumerate(ordered):
        while at - ordered[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@click.group()
def main() -> None:
    """Measure weight switches."""


@main.command()
@click.option('--seeds', default=5)
def core(seeds: int) -> None:
    """Run the decisions at size in virtual time."""
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
            f'downloads, limit {RATE:.0f}; orders '
            f'{max(run["orders"] for run in runs)}; floor broken '
            f'{sum(len(run["faults"]) for run in runs)} times'
        )
        for name in naive[0]:
            worst = max(each[name] for each in naive)
            ratio = worst / max(seconds)
            click.echo(f'  {name}: {worst:.1f} s ({ratio:.1f} of ours)')


@main.command()
def decisions() -> None:
    """Count the decisions' processor time against engines."""
    from yuccarill.core.weights import desk
    from yuccarill.core.weights import rollout

    model_holder, holders = Stopwatch(), Stopwatch()
    model_holder.wrap(rollout.ModelRollout, 'decide', 'observe')
    holders.wrap(
        desk.OrderDesk, 'begin', 'finish', 'see', 'news', 'hold', 'report'
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
    """Order engine stand-ins on loopback; measure this process."""
    import weights_loopback

    weights_loopback.run(engines)


if __name__ == '__main__':
    main()
