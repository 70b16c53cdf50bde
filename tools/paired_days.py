"""Play the same days with several states of the code, and compare them.

Run as `.venv/bin/python tools/paired_days.py BENCH SITE --state now=. \\
--state before=../before --day DAY --seed 11 --seed 12 --why "..."`. Each
day and seed is played by every state in turn, without processor time, so
what chance does to a day is the same on both sides as far as it can be.
Prints each state's mean worth and its difference from the first state with
a 95% confidence interval. Entries that the plays leave in the states' own
journals are copied to this repository's.
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

# Standard errors on either side of a mean that hold it in 95 of 100 cases.
NORMAL_QUANTILE = 1.96


# Rules are named in capitals where one is broken.
RULE = re.compile(r'^\s*[A-Z]{3,10}\b.*: ')
BEHIND = re.compile(
    r': (?P<steps>\d+) steps asked, the last (?P<seconds>[\d.]+) s behind'
)
# Trainers of all deployments ask for a step each four seconds.
STEP_SECONDS = 4.0
ROOT = pathlib.Path(__file__).resolve().parents[1]


class Play:
    """Hold one day as one state played it."""

    def __init__(self, state: str, day: str, seed: int) -> None:
        self.state = state
        self.day = day
        self.seed = seed
        self.worth = math.nan
        # Seconds that all trainers are behind their time at the end, less
        # what the steps they came to take; only differences mean anything.
        self.behind = math.nan
        self.rules: dict[str, object] = {}
        self.note = ''

    @property
    def key(self) -> tuple[str, int]:
        return self.day, self.seed

    @property
    def name(self) -> str:
        return f'{self.state} {self.day} {self.seed}'


def _run(play: Play, bench: str, site: str, root: pathlib.Path, why: str):
    # A day may be a file of one's own.
    name = pathlib.Path(play.day).stem
    report = root / 'target' / f'paired-{name}-{play.seed}.json'
    command = [bench, 'run', site, play.day, '--seed', str(play.seed)]
    command += ['--no-cpu', '--jobs', '1', '--report', str(report)]
    command += ['--why', f'{why} [{play.state}]']
    done = subprocess.run(command, cwd=root, capture_output=True, text=True)
    found = [
        line.split()[1]
        for line in done.stdout.splitlines()
        if line.startswith('worth ') and ' = ' in line
    ]
    if not found:
        play.note = (done.stdout + done.stderr).strip()[-300:]
        return
    play.worth = float(found[0])
    play.behind = sum(
        float(match['seconds']) - STEP_SECONDS * int(match['steps'])
        for match in BEHIND.finditer(done.stdout)
    )
    for line in done.stdout.splitlines():
        if RULE.match(line):
            play.rules[line.strip()] = True


def _copy_journal(roots: list[pathlib.Path]) -> int:
    target = ROOT / 'journal'
    copied = 0
    for root in roots:
        for path in (root / 'journal').rglob('*'):
            goal = target / path.relative_to(root / 'journal')
            if path.is_file() and not goal.exists():
                goal.parent.mkdir(parents=True, exist_ok=True)
                shutil.copyfile(path, goal)
                copied += 1
    return copied


def _read(results: pathlib.Path | None) -> dict[str, list[float]]:
    if results is None or not results.exists():
        return {}
    return json.loads(results.read_text())


def _write(
    results: pathlib.Path | None,
    known: dict[str, list[float]],
    plays: list[Play],
) -> None:
    if results is None:
        return
    for play in plays:
        if not math.isnan(play.worth):
            known[play.name] = [play.worth, play.behind]
    results.write_text(json.dumps(known, indent=1))


def _interval(values: list[float]) -> tuple[float, float]:
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, math.inf
    error = statistics.stdev(values) / math.sqrt(len(values))
    return mean, NORMAL_QUANTILE * error


def _show(plays: list[Play], names: list[str]) -> None:
    by_state: dict[str, dict[tuple[str, int], Play]] = {}
    for play in plays:
        if not math.isnan(play.worth):
            by_state.setdefault(play.state, {})[play.key] = play
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
        worths = [play.worth for play in found.values()]
        shared = sorted(first.keys() & found.keys())
        differences = [found[k].worth - first[k].worth for k in shared]
        mean, width = _interval(differences)
        late, late_width = _interval(
            [found[k].behind - first[k].behind for k in shared]
        )
        click.echo(
            f'| {name} | {len(worths)} | {statistics.fmean(worths):.4f} '
            f'| {min(worths):.3f} | {mean:+.4f} ± {width:.4f} '
            f'| {late:+.2f} ± {late_width:.2f} |'
        )
    for day in sorted({play.day for play in plays}):
        parts = []
        for name in names:
            worths = [
                play.worth
                for play in by_state.get(name, {}).values()
                if play.day == day
            ]
            if worths:
                parts.append(f'{name} {statistics.fmean(worths):.3f}')
        click.echo(f'{day}: ' + ', '.join(parts))
    for play in plays:
        if play.note or play.rules:
            click.echo(
                f'! {play.state} {play.day} --seed {play.seed}: '
                f'{json.dumps(sorted(play.rules))} {play.note}'
            )


@click.command()
@click.argument('bench')
@click.argument('site')
@click.option('--state', 'states', multiple=True, help='NAME=FOLDER')
@click.option('--day', 'days', multiple=True)
@click.option('--seed', 'seeds', multiple=True, type=int)
@click.option('--seeds', 'seed_range', default='', help='FIRST-LAST')
@click.option('--jobs', default=4, help='Plays at a time.')
@click.option(
    '--results',
    type=click.Path(path_type=pathlib.Path),
    help='Keep plays here, and leave out those that stand there.',
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
    """Play and compare."""
    roots_by_name = {}
    for text in states:
        name, _, folder = text.partition('=')
        roots_by_name[name] = pathlib.Path(folder).resolve()
    chosen = list(seeds)
    if seed_range:
        first, _, last = seed_range.partition('-')
        chosen += range(int(first), int(last) + 1)
    bench = str(pathlib.Path(bench).resolve())
    site = str(pathlib.Path(site).resolve())
    for root in roots_by_name.values():
        subprocess.run([bench, 'build'], cwd=root, check=True)
    plays = [
        Play(name, day, seed)
        for seed in chosen
        for day in days
        for name in roots_by_name
    ]
    known = _read(results)
    for play in plays:
        play.worth, play.behind = known.get(play.name, [math.nan] * 2)
    left = [play for play in plays if math.isnan(play.worth)]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        running = [
            pool.submit(_run, p, bench, site, roots_by_name[p.state], why)
            for p in left
        ]
        for each in running:
            each.result()
    _write(results, known, plays)
    _show(plays, list(roots_by_name))
    copied = _copy_journal(list(roots_by_name.values()))
    click.echo(f'{copied} journal files copied.')


if __name__ == '__main__':
    main()
