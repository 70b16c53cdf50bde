"""Test what logs tell of the time of steps."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from click import testing
from nose2.tools import params

from yuccarill.cli import application
from yuccarill.cli.exit_codes import ExitCode


def line(event: str, second: float, **fields: object) -> str:
    stamp = f'2026-01-01T00:00:{second:09.6f}Z'
    return json.dumps({**fields, 'event': event, 'timestamp': stamp})


def taken(job: str, second: float, step: int = 3, age: float = 0.0) -> str:
    return line(
        'runner: Job taken.',
        second,
        job=job,
        step=step,
        model='m',
        items=4,
        age=age,
    )


def run(job: str, item: str, second: float, **fields: object) -> str:
    return line('generation: Run ended.', second, job=job, item=item, **fields)


# The last text waits 0.5 s, is generated for 2 s at one engine and for 3 s at
# another, 0.25 s later; it is scored in 0.1 s, listed 0.05 s later, and read
# 0.3 s after that.
STEP = [
    taken('j', 1.25, age=0.25),
    run('j', 'a', 2.0, seconds=0.9, first=0, events=20),
    line('runner: Item ended.', 2.1, job='j', item='a'),
    line('listing: Listed.', 2.7, job='j'),
    run('j', 'b', 3.5, seconds=2.0, first=0, events=50),
    run('j', 'b', 6.75, seconds=3.0, first=50, events=120),
    line('runner: Item ended.', 6.85, job='j', item='b'),
    line('listing: Listed.', 6.9, job='j'),
    line('runner: Job ended.', 7.2, job='j'),
]
SPENT = {
    'place': 0.5,
    'generation': 5.0,
    'moves': 0.25,
    'score': 0.1,
    'listing': 0.05,
    'reading': 0.3,
}


class ExplainStepsTest(unittest.TestCase):
    def explain(self, *files: list[str]) -> testing.Result:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        paths = []
        for number, lines in enumerate(files):
            path = pathlib.Path(folder.name) / f'{number}.log'
            path.write_text('\n'.join(lines))
            paths.append(str(path))
        words = ['explain-steps', '--output', 'json', *paths]
        return testing.CliRunner().invoke(application.main, words)

    def steps(self, *files: list[str]) -> list[dict]:
        found = self.explain(*files)
        self.assertEqual(ExitCode.OK, found.exit_code, found.output)
        return json.loads(found.stdout)['steps']

    def test_causes_add_up_to_the_step(self):
        (step,) = self.steps(STEP)
        self.assertEqual(SPENT, step['seconds_by_cause'])
        self.assertEqual(6.2, step['seconds'])
        self.assertEqual(
            ('b', 120, 2), (step['last_item'], step['events'], step['runs'])
        )

    @params(
        ('several files', STEP[:4], STEP[4:]),
        ('words before the line', [f'1.0 entry-1 {each}' for each in STEP]),
        ('lines that are none', ['Traceback', '{"event"', *STEP]),
    )
    def test_logs_as_they_are(self, _, *files):
        (step,) = self.steps(*files)
        self.assertEqual(SPENT, step['seconds_by_cause'])

    def test_a_job_counts_from_its_first_holder(self):
        (step,) = self.steps([*STEP[:4], taken('j', 3.0, age=1.9), *STEP[4:]])
        self.assertEqual(6.2, step['seconds'])

    def test_a_replaced_holder_that_goes_on_does_not_count(self):
        late = run('j', 'b', 7.1, seconds=4.0, first=10, events=120)
        (step,) = self.steps([*STEP, late])
        self.assertEqual(SPENT, step['seconds_by_cause'])

    @params(
        ('that has not ended', STEP[:-1]),
        ('of which nothing was run', [STEP[0], STEP[-1]]),
        ('that was taken before the log begins', STEP[1:]),
    )
    def test_a_step_is_left_out(self, _, lines):
        self.assertEqual([], self.steps(lines))

    def test_a_file_that_is_missing_is_named(self):
        words = ['explain-steps', '/nowhere/a.log']
        found = testing.CliRunner().invoke(application.main, words)
        self.assertEqual(ExitCode.USAGE, found.exit_code)
        self.assertIn('/nowhere/a.log', found.output)

    def test_the_table_ends_with_the_mean(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'a.log'
        path.write_text('\n'.join(STEP))
        found = testing.CliRunner().invoke(
            application.main, ['explain-steps', str(path)]
        )
        lines = found.stdout.splitlines()
        self.assertEqual(3, len(lines))
        self.assertEqual('mean', lines[-1].split()[0])
        self.assertIn('6.20', lines[-1])
