from __future__ import annotations

import unittest

from yuccarill.standins import tokens


class TokensTest(unittest.TestCase):
    def test_resumed_answer_equals_uncut_one(self):
        whole = tokens.make('p', 1, 2, range(10))
        first = tokens.make('p', 1, 2, range(6))
        rest = tokens.make('p', 1, 2, range(6, 10))
        self.assertEqual(first + rest, whole)
        for other in (('q', 1, 2), ('p', 2, 2), ('p', 1, 3)):
            self.assertNotEqual(tokens.make(*other, range(10)), whole)
