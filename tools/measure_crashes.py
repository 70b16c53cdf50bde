"""Play a caller whose request ends its targets, beside others' requests.

Run as `.venv/bin/python tools/measure_crashes.py`. Prints for each load, with
requests known by their ids alone and by what they ask: the targets that ended
in 30 s and the part of the others' requests that was served, means of seeds.
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
CULPRIT_RATE = 2.5
# What it is, instances, targets, others' requests a second, their bodies.
LOADS = (
    ('3 targets, rare requests', 3, 3, 20.0, 400),
    ('3 targets, one popular request', 3, 3, 20.0, 1),
    ('3 targets, 8 instances, rare requests', 8, 3, 6.0, 400),
    ('6 targets, 8 instances, rare requests', 8, 6, 60.0, 400),
    ('16 targets, 8 instances, rare requests', 8, 16, 100.0, 400),
)


@click.command()
@click.option('--seeds', default=10, help='How many plays of each load.')
def main(seeds: int) -> None:
    """Print the table."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    sys.path.insert(0, str(TESTS))
    world = importlib.import_module('gateway.crash_world')
    click.echo('| load | ended by id | served | ended by content | served |')
    click.echo('|---|---|---|---|---|')
    for name, instances, targets, rate, count in LOADS:
        others = [b'other %d' % number for number in range(count)]
        cells = [name]
        for is_naive in (True, False):
            ends, served = [], []
            for seed in range(seeds):
                played = world.CrashWorld(instances, targets, seed, is_naive)
                played.run(
                    SECONDS,
                    played.often(CULPRIT_RATE, [b'crash']),
                    played.often(rate, others),
                )
                ends.append(len(played.ends))
                served.append(played.share_served(others, 0.0))
            cells.append(f'{statistics.mean(ends):.1f}')
            cells.append(f'{statistics.mean(served):.3f}')
        click.echo(f'| {" | ".join(cells)} |')


if __name__ == '__main__':
    main()
