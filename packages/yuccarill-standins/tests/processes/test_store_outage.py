from __future__ import annotations

from concurrent import futures
import time
import unittest

from nose2.tools import params

from processes import harness
from yuccarill.core.config import head

INSTANCES = 2
BASE = 1
APPLY_OUTCOME_UNKNOWN = 2004
STORE_UNAVAILABLE = 3001
CHANGE = 'change-mine'
# Longer than the delay before an instance reads the store again.
SETTLE_SECONDS = 1.5
# Longer than the store timeout of an instance.
LATE_SECONDS = 2.5
OUTAGES = {
    'down': {'is_down': True},
    'silent': {'is_silent': True},
    'late writes': {'delay_writes': LATE_SECONDS},
}
NO_FAULTS = {'is_down': False, 'is_silent': False, 'delay_writes': 0.0}


class StoreOutageTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Store timeouts take seconds, so the outages run concurrently, each in
        # its own deployment.
        pool = futures.ThreadPoolExecutor(len(OUTAGES) + 2)
        cls.addClassCleanup(pool.shutdown)
        cls.results_by_outage = {
            outage: pool.submit(_run_in_deployment, _apply_in, outage)
            for outage in OUTAGES
        }
        cls.fenced = pool.submit(_run_in_deployment, _apply_and_fence)
        cls.unfenced = pool.submit(_run_in_deployment, _apply_unfenced)

    @params('down', 'silent')
    def test_change_in_an_outage_is_refused_for_good(self, outage):
        # Guards against a refused change that takes effect after the outage,
        # and against failed calls during the outage.
        result = self.results_by_outage[outage].result()
        self.assertEqual(
            result.reply.code, STORE_UNAVAILABLE, result.reply.body
        )
        self.assertEqual(result.call_statuses, [200] * INSTANCES)
        self.assertEqual(result.revision, BASE)
        self.assertEqual(result.stored_revision, BASE)

    def test_write_takes_effect_after_the_store_timeout(self):
        # Guards against a fencing write that reverts a change which the store
        # executed after the timeout. The store refuses the stale version.
        result = self.results_by_outage['late writes'].result()
        self.assertEqual(result.call_statuses, [200] * INSTANCES)
        self.assertEqual(result.reply.status, 200, result.reply.body)
        self.assertEqual(result.reply.json['change_id'], CHANGE)
        self.assertEqual(result.reply.json['revision'], BASE + 1)
        outcomes = [write['outcome'] for write in result.writes]
        self.assertEqual(outcomes, ['written', 'refused'])
        self.assertEqual(result.stored_revision, BASE + 1)
        self.assertEqual(result.revision, BASE + 1)

    def test_late_write_of_a_refused_change_has_no_effect(self):
        # Guards against a refused change that takes effect when its write
        # reaches the store after the fencing write.
        result = self.fenced.result()
        self.assertEqual(result.call_statuses, [200] * INSTANCES)
        self.assertEqual(
            result.reply.code, STORE_UNAVAILABLE, result.reply.body
        )
        outcomes = [write['outcome'] for write in result.writes]
        self.assertEqual(outcomes, ['written', 'refused'])
        self.assertEqual(result.stored_revision, BASE)
        self.assertEqual(result.revision, BASE)

    def test_late_write_of_an_unknown_change_takes_effect(self):
        # Guards against a refusal while the write can still take effect. A
        # retry with the same change id makes no second revision.
        result = self.unfenced.result()
        self.assertEqual(result.call_statuses, [200] * INSTANCES)
        self.assertEqual(
            result.reply.code, APPLY_OUTCOME_UNKNOWN, result.reply.body
        )
        outcomes = [write['outcome'] for write in result.writes]
        self.assertEqual(outcomes, ['written'])
        self.assertEqual(result.stored_revision, BASE + 1)
        self.assertEqual(result.revision, BASE + 1)
        self.assertEqual(result.retry.status, 200, result.retry.body)
        self.assertEqual(result.retry.json['change_id'], CHANGE)
        self.assertEqual(result.retry.json['revision'], BASE + 1)


class OutageResult:
    """State during an outage and after it."""

    def __init__(self, site, reply, call_statuses, earlier_writes):
        self.reply = reply
        self.call_statuses = call_statuses
        # Wait for the last store read of an instance that timed out.
        time.sleep(SETTLE_SECONDS)
        (self.revision,) = harness.wait_for(
            lambda: len(site.revisions()) == 1 and site.revisions(),
            'instances agree',
        )
        # Instances ignore a lower revision, so only the store shows a revert.
        self.stored_revision = head.decode(
            site.stored_value(head.HEAD_KEY)
        ).revision
        self.writes = site.writes(head.HEAD_KEY)[len(earlier_writes) :]
        self.retry = None


def _run_in_deployment(scenario, *details):
    site = harness.Deployment(INSTANCES)
    try:
        return scenario(site, *details)
    finally:
        site.close()


def _call_all(site):
    return [
        site.call(number, 'look-up', f'r{number}').status
        for number in range(INSTANCES)
    ]


def _apply_in(site, outage):
    earlier_writes = site.writes(head.HEAD_KEY)
    site.admin('key_value', 'faults', OUTAGES[outage])
    reply = site.apply(site.changed_inventory(), BASE, change_id=CHANGE)
    statuses = _call_all(site)
    site.admin('key_value', 'faults', NO_FAULTS)
    return OutageResult(site, reply, statuses, earlier_writes)


def _apply_held(site):
    site.hold_writes(head.HEAD_KEY)
    reply = site.pool.submit(
        site.apply, site.changed_inventory(), BASE, change_id=CHANGE
    )
    site.wait_for_held()
    return reply


def _apply_and_fence(site):
    earlier_writes = site.writes(head.HEAD_KEY)
    reply = _apply_held(site).result()
    statuses = _call_all(site)
    site.release_writes()
    return OutageResult(site, reply, statuses, earlier_writes)


def _apply_unfenced(site):
    earlier_writes = site.writes(head.HEAD_KEY)
    replying = _apply_held(site)
    site.admin('key_value', 'faults', {'is_down': True})
    reply = replying.result()
    statuses = _call_all(site)
    site.release_writes()
    site.admin('key_value', 'faults', NO_FAULTS)
    result = OutageResult(site, reply, statuses, earlier_writes)
    result.retry = site.apply(site.changed_inventory(), BASE, change_id=CHANGE)
    return result
