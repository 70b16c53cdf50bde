"""Run the same simulated days with several versions of the code.

Run as `.venv/bin/python tools/paired_days.py BENCH SITE --state now=. \\
--state before=../before --day DAY --seed 11 --seed 12 --why "..."`. Each
state is a checkout of the code. Every state runs each day with each seed,
without processor time, so that random effects are paired. Prints the mean
worth of each state and its difference from the first state with a 95%
confidence interval. Copies new journal entries of the states to the journal
of this repository.
"""

from __future__ import annotations

import concurrent.futures
import json
import math
import pathlib
import re
import shutil
import statistics
import subprocess

import click

# Two-sided 95% quantile of the normal distribution.
NORMAL_QUANTILE = 1.96


# Output line for a broken rule, named in capitals.
BROKEN_RULE = re.compile(r'^\s*[A-Z]{3,10}\b.*: ')
TRAINER_LAG = re.compile(
    r': (?P<steps>\d+) steps asked, the last (?P<seconds>[\d.]+) s behind'
)
# Interval at which each trainer requests a step.
STEP_INTERVAL_SECONDS = 4.0
ROOT = pathlib.Path(__file__).resolve().parents[1]


class Run:
    """Store the result of one day, state and seed."""

    def __init__(self, state: str, day: str, seed: int) -> None:
        self.state = state
        self.day = day
        self.seed = seed
        self.worth = math.nan
        # Seconds that all trainers lag at the end, less the scheduled time
        # of their steps; only differences between states are meaningful.
        self.lag_seconds = math.nan
        self.rules: dict[str, object] = {}
        self.error = ''

    @property
    def key(self) -> tuple[str, int]:
        return self.day, self.seed

    @property
    def name(self) -> str:
        return f'{self.state} {self.day} {self.seed}'


def _execute(run: Run, bench: str, site: str, root: pathlib.Path, why: str):
    # A day is a name or the path of a file.
    name = pathlib.Path(run.day).stem
    report = root / 'target' / f'paired-{name}-{run.seed}.json'
    command = [bench, 'run', site, run.day, '--seed', str(run.seed)]
    command += ['--no-cpu', '--jobs', '1', '--report', str(report)]
    command += ['--why', f'{why} [{run.state}]']
    done = subprocess.run(command, cwd=root, capture_output=True, text=True)
    found = [
        line.split()[1]
        for line in done.stdout.splitlines()
        if line.startswith('worth ') and ' = ' in line
    ]
    if not found:
        run.error = (done.stdout + done.stderr).strip()[-300:]
        return
    run.worth = float(found[0])
    run.lag_seconds = sum(
        float(match['seconds']) - STEP_INTERVAL_SECONDS * int(match['steps'])
        for match in TRAINER_LAG.finditer(done.stdout)
    )
    for line in done.stdout.splitlines():
        if BROKEN_RULE.match(line):
            run.rules[line.strip()] = True


def _copy_journal(roots: list[pathlib.Path]) -> int:
    target = ROOT / 'journal'
    copied = 0
    for root in roots:
        for path in (root / 'journal').rglob('*'):
            destination = target / path.relative_to(root / 'journal')
            if path.is_file() and not destination.exists():
                destination.parent.mkdir(parents=True, exist_ok=True)
                shutil.copyfile(path, destination)
                copied += 1
    return copied


def _read_results(results: pathlib.Path | None) -> dict[str, list[float]]:
    if results is None or not results.exists():
        return {}
    return json.loads(results.read_text())


def _write_results(
    results: pathlib.Path | None,
    results_by_name: dict[str, list[float]],
    runs: list[Run],
) -> None:
    if results is None:
        return
    for run in runs:
        if not math.isnan(run.worth):
            results_by_name[run.name] = [run.worth, run.lag_seconds]
    results.write_text(json.dumps(results_by_name, indent=1))


def _confidence_interval(values: list[float]) -> tuple[float, float]:
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, math.inf
    error = statistics.stdev(values) / math.sqrt(len(values))
    return mean, NORMAL_QUANTILE * error


def _print_comparison(runs: list[Run], names: list[str]) -> None:
    by_state: dict[str, dict[tuple[str, int], Run]] = {}
    for run in runs:
        if not math.isnan(run.worth):
            by_state.setdefault(run.state, {})[run.key] = run
    first = by_state.get(names[0], {})
    click.echo(
        '| state | plays | worth | least | against the first '
        '| seconds behind, against the first |'
    )
    click.echo('|---|---|---|---|---|---|')
    for name in names:
        found = by_state.get(name, {})
        if not found:
            click.echo(f'| {name} | 0 | | | | |')
            continue
        worths = [run.worth for run in found.values()]
        shared = sorted(first.keys() & found.keys())
        differences = [found[key].worth - first[key].worth for key in shared]
        mean, width = _confidence_interval(differences)
        lag, lag_width = _confidence_interval(
            [found[key].lag_seconds - first[key].lag_seconds for key in shared]
        )
        click.echo(
            f'| {name} | {len(worths)} | {statistics.fmean(worths):.4f} '
            f'| {min(worths):.3f} | {mean:+.4f} ± {width:.4f} '
            f'| {lag:+.2f} ± {lag_width:.2f} |'
        )
    for day in sorted({run.day for run in runs}):
        parts = []
        for name in names:
            worths = [
                run.worth
                for run in by_state.get(name, {}).values()
                if run.day == day
            ]
            if worths:
                parts.append(f'{name} {statistics.fmean(worths):.3f}')
        click.echo(f'{day}: ' + ', '.join(parts))
    for run in runs:
        if run.error or run.rules:
            click.echo(
                f'! {run.state} {run.day} --seed {run.seed}: '
                f'{json.dumps(sorted(run.rules))} {run.error}'
            )


@click.command()
@click.argument('bench')
@click.argument('site')
@click.option('--state', 'states', multiple=True, help='NAME=FOLDER')
@click.option('--day', 'days', multiple=True)
@click.option('--seed', 'seeds', multiple=True, type=int)
@click.option('--seeds', 'seed_range', default='', help='FIRST-LAST')
@click.option('--jobs', default=4, help='Runs in parallel.')
@click.option(
    '--results',
    type=click.Path(path_type=pathlib.Path),
    help='File of earlier results, which are not run again.',
)
@click.option('--why', required=True)
def main(
    bench: str,
    site: str,
    states: tuple[str, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    seed_range: str,
    jobs: int,
    results: pathlib.Path | None,
    why: str,
) -> None:
    """Run the days and compare the states."""
    roots_by_name = {}
    for text in states:
        name, _, folder = text.partition('=')
        roots_by_name[name] = pathlib.Path(folder).resolve()
    all_seeds = list(seeds)
    if seed_range:
        first, _, last = seed_range.partition('-')
        all_seeds += range(int(first), int(last) + 1)
    bench = str(pathlib.Path(bench).resolve())
    site = str(pathlib.Path(site).resolve())
    for root in roots_by_name.values():
        subprocess.run([bench, 'build'], cwd=root, check=True)
    runs = [
        Run(name, day, seed)
        for seed in all_seeds
        for day in days
        for name in roots_by_name
    ]
    known = _read_results(results)
    for run in runs:
        run.worth, run.lag_seconds = known.get(run.name, [math.nan] * 2)
    pending = [run for run in runs if math.isnan(run.worth)]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(_execute, p, bench, site, roots_by_name[p.state], why)
            for p in pending
        ]
        for future in futures:
            future.result()
    _write_results(results, known, runs)
    _print_comparison(runs, list(roots_by_name))
    copied = _copy_journal(list(roots_by_name.values()))
    click.echo(f'{copied} journal files copied.')


if __name__ == '__main__':
    main()
