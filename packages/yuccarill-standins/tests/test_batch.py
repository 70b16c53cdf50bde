from __future__ import annotations

import unittest

from twisted.internet import defer

from yuccarill.standins import batch


class BatchTest(unittest.TestCase):
    def test_next_slot_goes_to_lowest_priority_value(self):
        queue = batch.Batch()
        admitted = []
        for name, priority in (('a', 0), ('b', 5), ('c', 1), ('d', 1)):
            waiting = defer.ensureDeferred(queue.acquire(priority, slots=1))
            waiting.addCallback(lambda _, name=name: admitted.append(name))
        self.assertEqual(admitted, ['a'])
        self.assertEqual(queue.load_before(0.0), '1,3')
        for _ in range(3):
            queue.release()
        self.assertEqual(admitted, ['a', 'c', 'd', 'b'])
