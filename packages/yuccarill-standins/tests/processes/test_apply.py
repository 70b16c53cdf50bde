from __future__ import annotations

import unittest

from processes import harness
from yuccarill.core.config import head

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
        # is told that its own change stands: reading the head back shows
        # its change id. Told of a conflict instead, it would be refused for
        # a change that is in force, by its own.
        self._apply_and_lose_the_reply('change-lost', failing_reads=0)

    def test_reply_and_the_first_read_back_are_lost(self):
        # The store's reply to the write is lost, and the read that follows
        # fails. Nothing said yet that another change came first, so the
        # instance waits, reads once more and tells the operator that its
        # change stands. Taken for a conflict, the lost reply would leave
        # the operator with an unknown outcome.
        self._apply_and_lose_the_reply('change-lost-twice', failing_reads=1)

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

    def _apply_and_lose_the_reply(self, change_id, failing_reads):
        lose = {
            'lose_replies': 1,
            'fail_reads_after': failing_reads,
            'only_keys': head.HEAD_KEY,
        }
        self.site.admin('key_value', 'faults', lose)
        earlier = self.site.writes(head.HEAD_KEY)
        reply = self.site.apply(
            self.site.changed(change_id), self.base, change_id=change_id
        )
        writes = self.site.writes(head.HEAD_KEY)[len(earlier) :]
        self.assertEqual([w['outcome'] for w in writes], ['reply lost'])
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(reply.json['outcome'], 'applied')
        self.assertEqual(reply.json['change_id'], change_id)
        self.assertEqual(reply.json['revision'], self.base + 1)
        self._wait_for_revision(self.base + 1)

    def _wait_for_revision(self, revision):
        harness.wait_for(
            lambda: self.site.revisions() == {revision}, f'revision {revision}'
        )
