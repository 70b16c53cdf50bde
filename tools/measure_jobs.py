"""Play the heaviest loads of trainers on the decisions, beside naive ones.

Run as `.venv/bin/python tools/measure_jobs.py`. Prints for each pattern the
seconds until nine tenths of a step's groups are whole, the worst step of
four, and how often texts were begun.
"""

from __future__ import annotations

import importlib
import pathlib
import sys

import click

TESTS = pathlib.Path(__file__).parents[1] / 'packages/yuccarill-core/tests'


@click.command()
@click.option('--seeds', default=5, help='How many days of each pattern.')
def main(seeds: int) -> None:
    """Print the table."""
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
                played = model.Model(engines, slots, slowness, is_naive, seed)
                jobs = dict.fromkeys(loads.STEPS, groups)
                seconds = max(played.play(jobs, size))
                worst[is_naive] = max(worst[is_naive], seconds)
                runs += 0 if is_naive else played.runs
        texts = seeds * len(loads.STEPS) * groups * size
        click.echo(
            f'| {name} | {worst[True]:.1f} | {worst[False]:.1f} '
            f'| {runs / texts:.2f} |'
        )


if __name__ == '__main__':
    main()
