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


class KeptPromises:
    """Records in which every promise holds."""

    def __init__(self):
        self.callers = records.CallerRecords(
            [
                _ask('r', records.Kind.REPEATABLE),
                _ask('once', records.Kind.ONCE, attempt_count=2),
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
            polls=9,
            address_of=lambda name: ADDRESS,
            seconds_until=lambda *_: 1.0,
        )

    def broken(self):
        """Return the numbers of the promises that do not hold."""
        results = promises.Promises(
            self.callers,
            self.trainer,
            self.faults,
            self.evidence,
            self.watch,
        ).results()
        return [n for n, result in enumerate(results, 1) if not result.is_held]


def _ask(name, kind, attempt_count=1, is_not_run=False):
    outcome = records.Outcome.ANSWERED
    if is_not_run:
        outcome = records.Outcome.NOT_RUN
    attempts = [
        records.Attempt(ADDRESS, 11.0, 12.0, is_not_run=is_not_run)
        for _ in range(attempt_count)
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
        generated = tokens.generate(f't step 1 group {group}', 7, 1, range(64))
        span = {'weight_version': 1, 'tokens': generated}
        step.samples.append({'id': number, 'group': group, 'spans': [span]})
    return step


def _span(kept):
    return kept.trainer.steps[0].samples[0]['spans'][0]


def _attempt(kept):
    return kept.callers.asks[0].attempts[0]


class PromisesTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        self.assertEqual(KeptPromises().broken(), [])

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
    def test_breach_breaks_its_promise(self, number, breach):
        kept = KeptPromises()
        breach(kept)
        self.assertEqual(kept.broken(), [number])

    def test_run_before_a_refusal_breaks_the_promise(self):
        kept = KeptPromises()
        ask = kept.callers.asks[0]
        ask.attempts.append(
            records.Attempt(ADDRESS, 0.5, 2.0, is_not_run=True)
        )
        self.assertEqual(kept.broken(), [5])


_LOST = records.Outcome.LOST
_WRONG = records.Outcome.WRONG
