"""Test the incremental index against a full recount."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Epoch
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.weights import capacity
from yuccarill.core.weights import orders
from yuccarill.core.weights import record as record_module
from yuccarill.core.weights import rollout
from yuccarill.core.weights import token_bucket

State = record_module.WeightState
CENTRES = [DataCentreId('a'), DataCentreId('b')]
ENGINES = {TargetId(f'e{n}'): CENTRES[n % 2] for n in range(4)}
PART = 0.5
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['report'] * 4
            + ['decide'] * 4
            + ['newest', 'forget', 'drop', 'engines']
        ),
        strategies.sampled_from(sorted(ENGINES)),
        strategies.sampled_from([1, 1, 3, 0]),
        strategies.sampled_from([3, 3, 0, 4]),
        strategies.sampled_from([*orders.OrderOutcome, None]),
        strategies.sampled_from(
            [(True, False)] * 4 + [(True, True), (False, False)]
        ),
        strategies.sampled_from([0.1, 1.0, 1.0, 20.0]),
    ),
    min_size=20,
    max_size=60,
)


def recount(plan: rollout.ModelRollout) -> tuple[object, ...]:
    """Compute the contents of the index from all records."""
    records = list(plan.records_by_id.values())
    behind = [r for r in records if r.best_version < plan.newest]
    idle = [r for r in records if not r.is_busy and r.order is None]
    staged = [r for r in idle if r.state is State.STAGED]
    ready = [r for r in staged if r.staged_version <= plan.switchable]
    ready.sort(key=lambda r: -1 if r.failures == 1 else r.failures)
    stageable = [
        r
        for r in behind
        if r in idle
        and (r.state is State.SERVING or (r in staged and r not in ready))
    ]
    slack = capacity.Slack(records, PART)
    return (
        sum(r.may_progress(plan.newest) for r in records),
        sum(r.state is not State.LOST for r in behind),
        {r.target for r in records if r.may_expire},
        [r.target for r in stageable],
        [[r.target for r in ready if r.data_centre == c] for c in CENTRES],
        {r.data_centre: slack.remaining(r.data_centre) for r in records},
    )


def indexed(plan: rollout.ModelRollout) -> tuple[object, ...]:
    index = plan._index
    index.refresh(plan.newest, plan.switchable)
    names = [r.target for r in index.records]
    ready = index.ready_by_data_centre
    slack = capacity.Slack(index.counts, PART)
    return (
        index.progressing,
        index.awaiting_stage,
        {names[n] for n in index.expiring},
        [names[n] for n in index.stageable],
        [[names[n] for _, n in ready.get(c, [])] for c in CENTRES],
        {r.data_centre: slack.remaining(r.data_centre) for r in index.records},
    )


class IndexTest(unittest.TestCase):
    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(STEPS)
    def test_equals_a_recount(self, steps) -> None:
        # A missed change would count a switching engine as serving and
        # leave too few engines in service.
        self.now = Instant(100.0)
        self.plan = rollout.ModelRollout(
            ENGINES, PART, token_bucket.TokenBucket(10.0, self.now), Epoch(1)
        )
        self.plan.raise_newest(WeightVersion(3), self.now)
        for number, step in enumerate(steps):
            self._do(number, *step)
            self.assertEqual(recount(self.plan), indexed(self.plan))

    def _do(self, number, name, target, low, high, outcome, seen, wait):
        record = self.plan.records_by_id.get(target)
        order = record.order if record else None
        self.now = Instant(self.now + wait)
        match name:
            case 'report':
                report = orders.Report(
                    target=target,
                    epoch=Epoch(1),
                    sequence=number + 1,
                    is_reachable=seen[0],
                    is_busy=seen[1],
                    weight_version=WeightVersion(low),
                    staged_version=WeightVersion(high),
                    order_number=order.number if order and outcome else 0,
                    outcome=outcome,
                )
                self.plan.observe(report, self.now)
            case 'decide':
                self.plan.decide(self.now)
            case 'newest':
                self.plan.raise_newest(WeightVersion(low + high), self.now)
            case 'forget' if record:
                record.mark_unknown()
            case 'drop' if order:
                self.plan.drop([order], self.now)
            case 'engines':
                left = [t for t in ENGINES if t != target or low]
                self.plan.set_engines({t: ENGINES[t] for t in left}, PART)
