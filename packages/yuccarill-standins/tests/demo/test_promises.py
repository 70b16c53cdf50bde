from __future__ import annotations

import types
import unittest

from nose2.tools import params

from yuccarill.standins.demo import evidence
from yuccarill.standins.demo import faults
from yuccarill.standins.demo import promises
from yuccarill.standins.demo import records
from yuccarill.standins.demo import trainer as trainer_module
from yuccarill.standins import tokens

ADDRESS = '127.0.0.1:1'


class Counted:
    """Hold records in which every promise is kept."""

    def __init__(self):
        self.callers = records.CallerRecords(
            [
                _ask('r', records.Kind.REPEATABLE),
                _ask('once', records.Kind.ONCE, tries=2),
                _ask('not', records.Kind.REPEATABLE, is_not_run=True),
            ]
        )
        self.trainer = types.SimpleNamespace(
            id='t', staleness_bound=1, steps=[_step()]
        )
        self.faults = faults.FaultRecords(
            killed='a',
            stopped='b',
            stopped_at=10.0,
            exited_at=15.0,
            removed=['x'],
            accepted_at=20.0,
            revision=2,
        )
        self.evidence = evidence.Evidence(
            runs_by_request={'r': [{'run_at': 1.0}], 'once': [{}]},
            received_by_target={'x': [19.0, 22.0]},
            seeds_by_prompt={f't step 1 group {g}': {7} for g in range(6)},
        )
        self.watch = types.SimpleNamespace(
            revision_by_id={'a': 1, 'b': 1, 'c': 2},
            reverts=0,
            looks=9,
            address_of=lambda name: ADDRESS,
            seconds_until=lambda *_: 1.0,
        )

    def broken(self):
        """Return the numbers of the lines that do not hold."""
        lines = promises.Promises(
            self.callers,
            self.trainer,
            self.faults,
            self.evidence,
            self.watch,
        ).lines()
        return [n for n, line in enumerate(lines, 1) if not line.is_held]


def _ask(name, kind, tries=1, is_not_run=False):
    outcome = records.Outcome.ANSWERED
    if is_not_run:
        outcome = records.Outcome.NOT_RUN
    attempts = [
        records.Attempt(ADDRESS, 11.0, 12.0, is_not_run=is_not_run)
        for _ in range(tries)
    ]
    return records.Ask(name, kind, 'c', 11.0, outcome, attempts=attempts)


def _step():
    step = trainer_module.StepRecord(
        1,
        submitted_at=1.0,
        newest_version=2,
        published_within=1,
        is_refetch_same=True,
        is_acknowledged=True,
    )
    for number in range(promises.SAMPLES_PER_STEP):
        group = number % trainer_module.GROUPS
        made = tokens.make(f't step 1 group {group}', 7, 1, range(64))
        span = {'weight_version': 1, 'tokens': made}
        step.samples.append({'id': number, 'group': group, 'spans': [span]})
    return step


def _span(counted):
    return counted.trainer.steps[0].samples[0]['spans'][0]


def _attempt(counted):
    return counted.callers.asks[0].attempts[0]


class PromisesTest(unittest.TestCase):
    def test_kept_promises_hold(self):
        self.assertEqual(Counted().broken(), [])

    @params(
        (1, lambda c: _span(c).update(weight_version=2)),
        (2, lambda c: setattr(c.trainer.steps[0], 'newest_version', 3)),
        (2, lambda c: setattr(c.trainer.steps[0], 'published_within', 0)),
        (3, lambda c: c.trainer.steps[0].samples.pop()),
        (3, lambda c: c.trainer.steps[0].samples[0].update(id=1)),
        (3, lambda c: setattr(c.trainer.steps[0], 'is_refetch_same', False)),
        (4, lambda c: setattr(c.callers.asks[0], 'outcome', _LOST)),
        (4, lambda c: setattr(c.callers.asks[0], 'outcome', _WRONG)),
        (5, lambda c: c.evidence.runs_by_request.update({'not': [{}]})),
        (5, lambda c: c.callers.asks.pop()),
        (6, lambda c: c.evidence.runs_by_request['once'].append({})),
        (7, lambda c: c.evidence.received_by_target['x'].append(23.5)),
        (8, lambda c: setattr(_attempt(c), 'is_cut', True)),
        (8, lambda c: setattr(_attempt(c), 'is_unreachable', True)),
        (9, lambda c: setattr(c.watch, 'reverts', 1)),
        (9, lambda c: setattr(c.watch, 'seconds_until', lambda *_: None)),
        (9, lambda c: setattr(c.watch, 'seconds_until', lambda *_: 3.5)),
    )
    def test_each_breach_breaks_its_line(self, line, breach):
        counted = Counted()
        breach(counted)
        self.assertEqual(counted.broken(), [line])

    def test_run_before_a_refusal_is_a_breach_though_answered_later(self):
        counted = Counted()
        ask = counted.callers.asks[0]
        ask.attempts.append(
            records.Attempt(ADDRESS, 0.5, 2.0, is_not_run=True)
        )
        self.assertEqual(counted.broken(), [5])


_LOST = records.Outcome.LOST
_WRONG = records.Outcome.WRONG
