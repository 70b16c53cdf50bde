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
        # Guards against a change that is reported as a conflict with itself
        # after the store's reply is lost.
        self._apply_with_lost_reply('change-lost', failing_reads=0)

    def test_reply_and_the_first_read_back_are_lost(self):
        # Guards against an unknown outcome after a lost reply and one failed
        # read: the instance reads again and finds the change applied.
        self._apply_with_lost_reply('change-lost-twice', failing_reads=1)

    def test_two_operators_race(self):
        # Guards against two concurrent changes that both succeed. The refused
        # operator is told whose change was applied.
        racing = [
            self.site.pool.submit(
                self.site.apply,
                self.site.changed_inventory(name),
                self.base,
                number=number,
                author=name,
            )
            for number, name in enumerate(OPERATORS)
        ]
        replies = dict(
            zip(OPERATORS, (f.result() for f in racing), strict=True)
        )
        accepted = [name for name, r in replies.items() if r.status == 200]
        self.assertEqual(len(accepted), 1, [r.body for r in replies.values()])
        refused = replies[(set(OPERATORS) - set(accepted)).pop()]
        self.assertEqual(refused.code, REVISION_CONFLICT)
        self.assertIn(accepted[0], refused.json['message'])
        self._wait_for_revision(self.base + 1)

    def _apply_with_lost_reply(self, change_id, failing_reads):
        lose = {
            'lose_replies': 1,
            'fail_reads_after': failing_reads,
            'only_keys': head.HEAD_KEY,
        }
        self.site.admin('key_value', 'faults', lose)
        earlier = self.site.writes(head.HEAD_KEY)
        reply = self.site.apply(
            self.site.changed_inventory(change_id),
            self.base,
            change_id=change_id,
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
