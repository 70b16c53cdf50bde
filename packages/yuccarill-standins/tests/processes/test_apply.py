from __future__ import annotations

import unittest

from processes import harness

REVISION_CONFLICT = 2002
OPERATORS = ('anna', 'bert')


class ApplyTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = harness.Deployment()
        cls.addClassCleanup(cls.site.close)

    def setUp(self):
        self.base = self.site.status(self.site.addresses[0])['revision']

    def test_reply_is_lost_after_the_write_took_effect(self):
        # The store writes the change and its reply is lost. The operator
        # is told that the change stands: reading the head back shows the
        # change's own id. A second try would be refused as a conflict with
        # the operator's own change.
        self.site.admin('key_value', 'faults', {'lose_replies': 1})
        reply = self.site.apply(self.site.changed(), self.base)
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
                self.site.changed(name),
                self.base,
                number=number,
                author=name,
            )
            for number, name in enumerate(OPERATORS)
        ]
        replies = dict(
            zip(OPERATORS, (f.result() for f in racing), strict=True)
        )
        won = [name for name, r in replies.items() if r.status == 200]
        self.assertEqual(len(won), 1, [r.body for r in replies.values()])
        lost = replies[(set(OPERATORS) - set(won)).pop()]
        self.assertEqual(lost.code, REVISION_CONFLICT)
        self.assertIn(won[0], lost.json['message'])
        self._wait_for_revision(self.base + 1)

    def _wait_for_revision(self, revision):
        harness.wait_for(
            lambda: self.site.revisions() == {revision}, f'revision {revision}'
        )
