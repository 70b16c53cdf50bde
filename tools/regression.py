"""Score the regression sites and compare them with the last landed state.

Run as `.venv/bin/python tools/regression.py BENCH SITE... --why "..."` with
the site files whose names stand in docs/regression.toml. Sites are scored
one after the other; one table is printed. Ends with 1 if a gate failed, a
rule was broken or a site is lower than the landed state by more than 0.03.
"""

from __future__ import annotations

import json
import pathlib
import statistics
import subprocess
import sys
import tomllib

import click
import msgspec

ROOT = pathlib.Path(__file__).resolve().parents[1]
LANDED = ROOT / 'docs' / 'regression.toml'
# How far the mean worth of a site may fall; the users' own bound.
MAX_FALL = 0.03
TROUBLE_SLOTS = ('trouble', 'scale')


class SiteScore(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one score says of a site."""

    site: str
    is_gate_passed: bool
    rules: tuple[str, ...]
    worth: float

    def fall(self, landed_by_site: dict[str, float]) -> float | None:
        """Return how much lower it is than the landed state."""
        landed = landed_by_site.get(self.site)
        return None if landed is None else landed - self.worth

    def is_well(self, landed_by_site: dict[str, float]) -> bool:
        fall = self.fall(landed_by_site)
        holds = fall is None or fall <= MAX_FALL
        return self.is_gate_passed and not self.rules and holds


def read_score(entry: dict) -> SiteScore:
    """Return what a journal entry of a score says.

    The day drawn for this score counts for the gate, not for the worth.
    """
    days = entry['days']
    standard = [
        day['G']
        for day in days
        if day['slot'] in TROUBLE_SLOTS
        and not day['name'].startswith('fresh-')
    ]
    return SiteScore(
        site=entry['site'],
        is_gate_passed=entry['figures'].get('gate') == 1.0,
        rules=tuple(
            f'{day["name"]}: {rule}' for day in days for rule in day['rules']
        ),
        worth=statistics.fmean(standard),
    )


def table(scores: list[SiteScore], landed_by_site: dict[str, float]) -> str:
    """Return one row a site."""
    rows = [
        '| site | gate | rules broken | mean worth | against landed |',
        '|---|---|---|---|---|',
    ]
    for score in scores:
        fall = score.fall(landed_by_site)
        change = 'none landed' if fall is None else f'{-fall:+.3f}'
        gate = 'passed' if score.is_gate_passed else 'FAILED'
        rules = '; '.join(score.rules) or 'none'
        rows.append(
            f'| {score.site} | {gate} | {rules} | {score.worth:.3f} '
            f'| {change} |'
        )
    return '\n'.join(rows)


def _score(bench: str, site: str, jobs: int, why: str) -> SiteScore:
    before = set((ROOT / 'journal').glob('*.json'))
    command = [bench, 'score', site, '--jobs', str(jobs), '--why', why]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    for path in sorted(set((ROOT / 'journal').glob('*.json')) - before):
        entry = json.loads(path.read_text())
        if entry['cmd'] == 'score' and entry['days']:
            return read_score(entry)
    raise click.ClickException(
        f'{site} was not scored: {(done.stdout + done.stderr)[-300:]}'
    )


@click.command()
@click.argument('bench')
@click.argument('sites', nargs=-1, required=True)
@click.option('--jobs', default=2, help='Days to play at a time.')
@click.option('--why', required=True, help='A line for the journal.')
def main(bench: str, sites: tuple[str, ...], jobs: int, why: str) -> None:
    """Score the sites and print one table."""
    landed_by_site = tomllib.loads(LANDED.read_text())['worth']
    scores = [_score(bench, site, jobs, why) for site in sites]
    click.echo(table(scores, landed_by_site))
    if not all(score.is_well(landed_by_site) for score in scores):
        sys.exit(1)


if __name__ == '__main__':
    main()
