"""Test the command that computes the phases of steps from logs."""

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
    timestamp = f'2026-01-01T00:00:{second:09.6f}Z'
    return json.dumps({**fields, 'event': event, 'timestamp': timestamp})


def job_started(
    job: str, second: float, step: int = 3, age: float = 0.0
) -> str:
    return line(
        'runner: Job taken.',
        second,
        job=job,
        step=step,
        model='m',
        items=4,
        age=age,
    )


def run_ended(job: str, item: str, second: float, **fields: object) -> str:
    return line('generation: Run ended.', second, job=job, item=item, **fields)


# The last item waits 0.5 s, is generated for 2 s at one engine and, 0.25 s
# later, for 3 s at another; scoring takes 0.1 s, listing 0.05 s and reading
# 0.3 s.
STEP = [
    job_started('j', 1.25, age=0.25),
    run_ended('j', 'a', 2.0, seconds=0.9, first=0, events=20),
    line('runner: Item ended.', 2.1, job='j', item='a'),
    line('listing: Listed.', 2.7, job='j'),
    run_ended('j', 'b', 3.5, seconds=2.0, first=0, events=50),
    run_ended('j', 'b', 6.75, seconds=3.0, first=50, events=120),
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
        arguments = ['explain-steps', '--output', 'json', *paths]
        return testing.CliRunner().invoke(application.main, arguments)

    def steps(self, *files: list[str]) -> list[dict]:
        result = self.explain(*files)
        self.assertEqual(ExitCode.OK, result.exit_code, result.output)
        return json.loads(result.stdout)['steps']

    def test_phases_add_up_to_the_step(self):
        (step,) = self.steps(STEP)
        self.assertEqual(SPENT, step['seconds_by_cause'])
        self.assertEqual(6.2, step['seconds'])
        self.assertEqual(
            ('b', 120, 2), (step['last_item'], step['events'], step['runs'])
        )

    @params(
        ('several files', STEP[:4], STEP[4:]),
        ('prefix before the JSON', [f'1.0 entry-1 {each}' for each in STEP]),
        ('lines that are not log lines', ['Traceback', '{"event"', *STEP]),
    )
    def test_other_text_in_logs_is_ignored(self, _, *files):
        (step,) = self.steps(*files)
        self.assertEqual(SPENT, step['seconds_by_cause'])

    def test_job_starts_at_its_first_holder(self):
        (step,) = self.steps(
            [*STEP[:4], job_started('j', 3.0, age=1.9), *STEP[4:]]
        )
        self.assertEqual(6.2, step['seconds'])

    def test_late_run_of_a_replaced_holder_is_ignored(self):
        late = run_ended('j', 'b', 7.1, seconds=4.0, first=10, events=120)
        (step,) = self.steps([*STEP, late])
        self.assertEqual(SPENT, step['seconds_by_cause'])

    @params(
        ('job has not ended', STEP[:-1]),
        ('no item was run', [STEP[0], STEP[-1]]),
        ('log lacks the start of the job', STEP[1:]),
    )
    def test_incomplete_step_is_skipped(self, _, lines):
        self.assertEqual([], self.steps(lines))

    def test_missing_file_is_named(self):
        arguments = ['explain-steps', '/nowhere/a.log']
        result = testing.CliRunner().invoke(application.main, arguments)
        self.assertEqual(ExitCode.USAGE, result.exit_code)
        self.assertIn('/nowhere/a.log', result.output)

    def test_table_ends_with_the_mean(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'a.log'
        path.write_text('\n'.join(STEP))
        result = testing.CliRunner().invoke(
            application.main, ['explain-steps', str(path)]
        )
        lines = result.stdout.splitlines()
        self.assertEqual(3, len(lines))
        self.assertEqual('mean', lines[-1].split()[0])
        self.assertIn('6.20', lines[-1])
