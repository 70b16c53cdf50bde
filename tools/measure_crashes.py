"""Simulate a caller whose requests crash targets, among other callers.

Run as `.venv/bin/python tools/measure_crashes.py`. Prints the crashes in 30 s
and the share of the other requests served, averaged over the seeds, with a
crashing request recognised by its id alone and by its content.
"""

from __future__ import annotations

import importlib
import logging
import pathlib
import statistics
import sys

import click
import structlog

TESTS = pathlib.Path(__file__).parents[1] / 'packages/yuccarill-daemon/tests'
SECONDS = 30.0
CRASH_REQUEST_RATE = 2.5
# Name, instances, targets, other requests per second, distinct bodies.
LOADS = (
    ('3 targets, rare requests', 3, 3, 20.0, 400),
    ('3 targets, one popular request', 3, 3, 20.0, 1),
    ('3 targets, 8 instances, rare requests', 8, 3, 6.0, 400),
    ('6 targets, 8 instances, rare requests', 8, 6, 60.0, 400),
    ('16 targets, 8 instances, rare requests', 8, 16, 100.0, 400),
)


@click.command()
@click.option('--seeds', default=10, help='Runs of each load.')
def main(seeds: int) -> None:
    """Print a table with one row per load."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    sys.path.insert(0, str(TESTS))
    crash_world = importlib.import_module('gateway.crash_world')
    click.echo('| load | ended by id | served | ended by content | served |')
    click.echo('|---|---|---|---|---|')
    for name, instances, targets, rate, count in LOADS:
        others = [b'other %d' % number for number in range(count)]
        cells = [name]
        for naive in (True, False):
            crashes, served = [], []
            for seed in range(seeds):
                world = crash_world.CrashWorld(instances, targets, seed, naive)
                world.run(
                    SECONDS,
                    world.often(CRASH_REQUEST_RATE, [b'crash']),
                    world.often(rate, others),
                )
                crashes.append(len(world.ends))
                served.append(world.share_served(others, 0.0))
            cells.append(f'{statistics.mean(crashes):.1f}')
            cells.append(f'{statistics.mean(served):.3f}')
        click.echo(f'| {" | ".join(cells)} |')


if __name__ == '__main__':
    main()
