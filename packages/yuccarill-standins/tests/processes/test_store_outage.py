from __future__ import annotations

from concurrent import futures
import time
import unittest

from nose2.tools import params

from processes import harness

INSTANCES = 2
BASE = 1
APPLY_OUTCOME_UNKNOWN = 2004
STORE_UNAVAILABLE = 3001
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
        pool = futures.ThreadPoolExecutor(len(OUTAGES))
        cls.addClassCleanup(pool.shutdown)
        cls.ends_by_outage = {
            outage: pool.submit(_apply_in, outage) for outage in OUTAGES
        }

    @params('down', 'silent')
    def test_change_in_an_outage_is_refused_for_good(self, outage):
        # Callers notice nothing of the outage. The operator's change is
        # refused, and the refusal is final: it does not come into force
        # after the store is back, as nothing keeps it for a later try.
        end = self.ends_by_outage[outage].result()
        self.assertEqual(end.reply.code, STORE_UNAVAILABLE, end.reply.body)
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        self.assertEqual(end.revision, BASE)

    def test_write_takes_effect_after_the_store_was_given_up_on(self):
        # The store takes the write and carries it out late, when the
        # instance has given up on the reply. The operator is told that the
        # change stands or that its outcome is unknown; told that it was
        # refused, it would never come into force. All instances agree in
        # the end.
        end = self.ends_by_outage['late writes'].result()
        self.assertEqual(end.call_statuses, [200] * INSTANCES)
        if end.reply.status == 200:
            self.assertEqual(end.revision, BASE + 1)
        elif end.reply.code != APPLY_OUTCOME_UNKNOWN:
            self.assertEqual(end.revision, BASE, end.reply.body)


class End:
    """Hold what was seen in an outage and after it."""

    def __init__(self, reply, call_statuses, revision):
        self.reply = reply
        self.call_statuses = call_statuses
        self.revision = revision


def _apply_in(outage):
    site = harness.Deployment(INSTANCES)
    try:
        site.admin('key_value', 'faults', OUTAGES[outage])
        reply = site.apply(site.changed(), BASE)
        statuses = [
            site.call(number, 'look-up', f'r{number}').status
            for number in range(INSTANCES)
        ]
        site.admin('key_value', 'faults', ALL_WELL)
        time.sleep(SETTLE_SECONDS)
        (revision,) = harness.wait_for(
            lambda: len(site.revisions()) == 1 and site.revisions(),
            'instances agree',
        )
        return End(reply, statuses, revision)
    finally:
        site.close()
