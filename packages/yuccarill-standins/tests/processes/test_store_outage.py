from __future__ import annotations

import copy
import time
import unittest

from nose2.tools import params

from processes import harness

REVISION_CONFLICT = 2002
STORE_UNAVAILABLE = 3001
# Longer than an instance waits before it looks at the store again.
SETTLE_SECONDS = 1.5


class StoreTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = harness.Deployment()
        cls.addClassCleanup(cls.site.close)

    def setUp(self):
        self.base = self.site.status(self.site.addresses[0])['revision']

    @params({'is_down': True}, {'is_silent': True})
    def test_change_in_an_outage_is_refused_for_good(self, faults):
        # Callers notice nothing of the outage. The operator's change is
        # refused, and the refusal is final: it does not come into force
        # after the store is back, as nothing keeps it for a later try.
        self._order(faults)
        self.addCleanup(self._order, {'is_down': False, 'is_silent': False})
        reply = self.site.apply(self._changed(), self.base)
        self.assertEqual(reply.code, STORE_UNAVAILABLE, reply.body)
        for number in range(3):
            answer = self.site.call(number, 'look-up', f'r{number}')
            self.assertEqual(answer.status, 200, answer.body)
        self._order({'is_down': False, 'is_silent': False})
        time.sleep(SETTLE_SECONDS)
        self.assertEqual(self._revisions(), {self.base})

    def test_reply_is_lost_after_the_write_took_effect(self):
        # The store writes the change and its reply is lost. The operator
        # is told that the change stands: reading the head back shows the
        # change's own id. A second try would be refused as a conflict with
        # the operator's own change.
        self._order({'lose_replies': 1})
        reply = self.site.apply(self._changed(), self.base)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.json['revision'], self.base + 1)
        self._wait_for_revision(self.base + 1)

    def test_two_operators_race(self):
        # Two operators change the same revision through two instances at
        # once. One change stands everywhere; the other operator is told
        # whose change stands, and nothing of its own comes into force.
        racing = [
            self.site.pool.submit(
                self.site.apply,
                self._changed(name),
                self.base,
                number=number,
                author=name,
            )
            for number, name in enumerate(('anna', 'bert'))
        ]
        replies = {
            name: future.result()
            for name, future in zip(('anna', 'bert'), racing, strict=True)
        }
        won = [name for name, r in replies.items() if r.status == 200]
        self.assertEqual(len(won), 1, [r.body for r in replies.values()])
        lost = replies[({'anna', 'bert'} - set(won)).pop()]
        self.assertEqual(lost.code, REVISION_CONFLICT)
        self.assertIn(won[0], lost.json['message'])
        self._wait_for_revision(self.base + 1)

    def _changed(self, caller='one-more'):
        inventory = copy.deepcopy(self.site.places.inventory)
        inventory['callers'].append({'id': caller})
        return inventory

    def _order(self, faults):
        self.site.admin('key_value', 'faults', faults)

    def _revisions(self):
        return {
            self.site.status(address)['revision']
            for address in self.site.addresses
        }

    def _wait_for_revision(self, revision):
        harness.wait_for(
            lambda: self._revisions() == {revision}, f'revision {revision}'
        )
