"""Simulate heavy trainer loads with the product's and with naive scheduling.

Run as `.venv/bin/python tools/measure_jobs.py`. Prints for each load pattern
the seconds until nine tenths of a step's groups are complete, for the slowest
of four steps, and the number of runs per text.
"""

from __future__ import annotations

import importlib
import pathlib
import sys

import click

TESTS = pathlib.Path(__file__).parents[1] / 'packages/yuccarill-core/tests'


@click.command()
@click.option('--seeds', default=5, help='Runs of each pattern.')
def main(seeds: int) -> None:
    """Print a table of the load patterns."""
    sys.path.insert(0, str(TESTS))
    model = importlib.import_module('jobs.load_model')
    loads = importlib.import_module('jobs.test_heavy_load')
    click.echo('| pattern | naive s | product s | runs a text |')
    click.echo('|---|---|---|---|')
    for pattern in loads.HeavyLoadTest.patterns:
        name, engines, slots, groups, size, slowness, _ = pattern
        worst = {True: 0.0, False: 0.0}
        runs = 0
        for seed in range(seeds):
            for is_naive in (True, False):
                world = model.Model(engines, slots, slowness, is_naive, seed)
                jobs = dict.fromkeys(loads.STEPS, groups)
                seconds = max(world.play(jobs, size))
                worst[is_naive] = max(worst[is_naive], seconds)
                runs += 0 if is_naive else world.runs
        texts = seeds * len(loads.STEPS) * groups * size
        click.echo(
            f'| {name} | {worst[True]:.1f} | {worst[False]:.1f} '
            f'| {runs / texts:.2f} |'
        )


if __name__ == '__main__':
    main()
