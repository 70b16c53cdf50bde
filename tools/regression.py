"""Score the regression sites and compare them with the baseline.

Run as `.venv/bin/python tools/regression.py BENCH SITE... --why "..."` with
the site files named in docs/regression.toml. Scores the sites in turn and
prints one table. Exits with 1 if a gate fails, a rule is broken or the mean
worth of a site is more than 0.03 below its baseline.
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
BASELINE = ROOT / 'docs' / 'regression.toml'
# Largest accepted drop of a site's mean worth.
MAX_DROP = 0.03
FAULT_SLOTS = ('trouble', 'scale')


class SiteScore(msgspec.Struct, frozen=True, kw_only=True):
    """Store the score of one site."""

    site: str
    is_gate_passed: bool
    rules: tuple[str, ...]
    mean_worth: float

    def drop(self, baselines: dict[str, float]) -> float | None:
        """Return the drop below the baseline, or None without a baseline."""
        baseline = baselines.get(self.site)
        return None if baseline is None else baseline - self.mean_worth

    def is_acceptable(self, baselines: dict[str, float]) -> bool:
        drop = self.drop(baselines)
        is_in_bound = drop is None or drop <= MAX_DROP
        return self.is_gate_passed and not self.rules and is_in_bound


def read_score(entry: dict) -> SiteScore:
    """Return the score in a journal entry.

    Days drawn for this run count for the gate, not for the mean worth.
    """
    days = entry['days']
    standard_worths = [
        day['G']
        for day in days
        if day['slot'] in FAULT_SLOTS and not day['name'].startswith('fresh-')
    ]
    return SiteScore(
        site=entry['site'],
        is_gate_passed=entry['figures'].get('gate') == 1.0,
        rules=tuple(
            f'{day["name"]}: {rule}' for day in days for rule in day['rules']
        ),
        mean_worth=statistics.fmean(standard_worths),
    )


def render_table(scores: list[SiteScore], baselines: dict[str, float]) -> str:
    """Return a Markdown table with one row per site."""
    rows = [
        '| site | gate | rules broken | mean worth | against landed |',
        '|---|---|---|---|---|',
    ]
    for score in scores:
        drop = score.drop(baselines)
        change = 'none landed' if drop is None else f'{-drop:+.3f}'
        gate = 'passed' if score.is_gate_passed else 'FAILED'
        rules = '; '.join(score.rules) or 'none'
        rows.append(
            f'| {score.site} | {gate} | {rules} | {score.mean_worth:.3f} '
            f'| {change} |'
        )
    return '\n'.join(rows)


def _score_site(bench: str, site: str, jobs: int, why: str) -> SiteScore:
    before = set((ROOT / 'journal').glob('*.json'))
    command = [bench, 'score', site, '--jobs', str(jobs), '--why', why]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    for path in sorted(set((ROOT / 'journal').glob('*.json')) - before):
        entry = json.loads(path.read_text())
        if entry['cmd'] == 'score' and entry['days']:
            return read_score(entry)
    raise click.ClickException(
        f'Site {site} was not scored: {(done.stdout + done.stderr)[-300:]}'
    )


@click.command()
@click.argument('bench')
@click.argument('sites', nargs=-1, required=True)
@click.option('--jobs', default=2, help='Days to run in parallel.')
@click.option('--why', required=True, help='Reason to record in the journal.')
def main(bench: str, sites: tuple[str, ...], jobs: int, why: str) -> None:
    """Score the sites and print one table."""
    baselines = tomllib.loads(BASELINE.read_text())['worth']
    scores = [_score_site(bench, site, jobs, why) for site in sites]
    click.echo(render_table(scores, baselines))
    if not all(score.is_acceptable(baselines) for score in scores):
        sys.exit(1)


if __name__ == '__main__':
    main()
