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
# Longer than an instance waits before it looks at the store again.
SETTLE_SECONDS = 1.5
# Longer than an instance waits for the store's reply.
LATE_SECONDS = 2.5
OUTAGES = {
    'down': {'is_down': True},
    'silent': {'is_silent': True},
    'late writes': {'delay_writes': LATE_SECONDS},
}
ALL_WELL = {'is_down': False, 'is_silent': False, 'delay_writes': 0.0}


class StoreOutageTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        # Instances wait seconds for a store that does not answer: the
        # outages happen side by side, each to instances of its own.
        pool = futures.ThreadPoolExecutor(len(OUTAGES) + 2)
        cls.addClassCleanup(pool.shutdown)
        cls.ends_by_outage = {
            outage: pool.submit(_at_own_site, _apply_in, outage)
            for outage in OUTAGES
        }
        cls.fenced = pool.submit(_at_own_site, _apply_and_fence)
        cls.unfenced = pool.submit(_at_own_site, _apply_unfenced)

    @params('down', 'silent')
    def test_change_in_an_outage_is_refused_for_good(self, outage):
        # Callers notice nothing of the outage. The operator's change is
        # refused, and the refusal is final: it does not come into force
        # after the store is back, as nothing keeps it for a later try.
        end = self.ends_by_outage[outage].result()
        self.assertEqual(end.reply.code, STORE_UNAVAILABLE, end.reply.body)
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        self.assertEqual(end.revision, BASE)
        self.assertEqual(end.standing, BASE)

    def test_write_takes_effect_after_the_store_was_given_up_on(self):
        # The store takes the write and carries it out late, when the
        # instance has given up on the reply and sent a fence after it. The
        # instance reads its own change back, and the operator is told that
        # it stands. The fence arrives last; it names the version before the
        # change, or it would bring the old head back.
        end = self.ends_by_outage['late writes'].result()
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        self.assertEqual(end.reply.status, 200, end.reply.body)
        self.assertEqual(end.reply.json['change_id'], CHANGE)
        self.assertEqual(end.reply.json['revision'], BASE + 1)
        outcomes = [write['outcome'] for write in end.writes]
        self.assertEqual(outcomes, ['written', 'refused'])
        self.assertEqual(end.standing, BASE + 1)
        self.assertEqual(end.revision, BASE + 1)

    def test_late_write_of_a_refused_change_has_no_effect(self):
        # The store holds the write back until the instance has given up on
        # its reply, found the head unchanged and fenced it. The operator is
        # told that the change was refused. When the write is carried out
        # after all, it names a version that is gone, and the change that
        # was given up does not come into force.
        end = self.fenced.result()
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        self.assertEqual(end.reply.code, STORE_UNAVAILABLE, end.reply.body)
        outcomes = [write['outcome'] for write in end.writes]
        self.assertEqual(outcomes, ['written', 'refused'])
        self.assertEqual(end.standing, BASE)
        self.assertEqual(end.revision, BASE)

    def test_late_write_of_an_unknown_change_takes_effect(self):
        # The store holds the write back and goes down, so that the instance
        # can neither find out nor fence. The operator is told that the
        # outcome is unknown; told that it was refused, it would be wrong
        # once the write is carried out. The same change id tells it then
        # that the change stands, and makes no second revision.
        end = self.unfenced.result()
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        self.assertEqual(end.reply.code, APPLY_OUTCOME_UNKNOWN, end.reply.body)
        outcomes = [write['outcome'] for write in end.writes]
        self.assertEqual(outcomes, ['written'])
        self.assertEqual(end.standing, BASE + 1)
        self.assertEqual(end.revision, BASE + 1)
        self.assertEqual(end.again.status, 200, end.again.body)
        self.assertEqual(end.again.json['change_id'], CHANGE)
        self.assertEqual(end.again.json['revision'], BASE + 1)


class End:
    """Hold what was seen in an outage and after it."""

    def __init__(self, site, reply, call_statuses, earlier):
        self.reply = reply
        self.call_statuses = call_statuses
        # Whoever gave up looks once more before the end is seen.
        time.sleep(SETTLE_SECONDS)
        (self.revision,) = harness.wait_for(
            lambda: len(site.revisions()) == 1 and site.revisions(),
            'instances agree',
        )
        # Instances take no lower revision: only the store shows a head that
        # was written over.
        self.standing = head.decode(site.standing(head.HEAD_KEY)).revision
        self.writes = site.writes(head.HEAD_KEY)[len(earlier) :]
        self.again = None


def _at_own_site(happens, *details):
    site = harness.Deployment(INSTANCES)
    try:
        return happens(site, *details)
    finally:
        site.close()


def _call_all(site):
    return [
        site.call(number, 'look-up', f'r{number}').status
        for number in range(INSTANCES)
    ]


def _apply_in(site, outage):
    earlier = site.writes(head.HEAD_KEY)
    site.admin('key_value', 'faults', OUTAGES[outage])
    reply = site.apply(site.changed(), BASE, change_id=CHANGE)
    statuses = _call_all(site)
    site.admin('key_value', 'faults', ALL_WELL)
    return End(site, reply, statuses, earlier)


def _apply_held(site):
    site.hold_writes(head.HEAD_KEY)
    reply = site.pool.submit(
        site.apply, site.changed(), BASE, change_id=CHANGE
    )
    site.wait_for_held()
    return reply


def _apply_and_fence(site):
    earlier = site.writes(head.HEAD_KEY)
    reply = _apply_held(site).result()
    statuses = _call_all(site)
    site.release_writes()
    return End(site, reply, statuses, earlier)


def _apply_unfenced(site):
    earlier = site.writes(head.HEAD_KEY)
    replying = _apply_held(site)
    site.admin('key_value', 'faults', {'is_down': True})
    reply = replying.result()
    statuses = _call_all(site)
    site.release_writes()
    site.admin('key_value', 'faults', ALL_WELL)
    end = End(site, reply, statuses, earlier)
    end.again = site.apply(site.changed(), BASE, change_id=CHANGE)
    return end
