from __future__ import annotations

import unittest

from yuccarill.standins import tokens


class TokensTest(unittest.TestCase):
    def test_resumed_answer_equals_complete_answer(self):
        whole = tokens.generate('p', 1, 2, range(10))
        first = tokens.generate('p', 1, 2, range(6))
        resumed = tokens.generate('p', 1, 2, range(6, 10))
        self.assertEqual(first + resumed, whole)
        for other in (('q', 1, 2), ('p', 2, 2), ('p', 1, 3)):
            self.assertNotEqual(tokens.generate(*other, range(10)), whole)
