"""Test load reports of targets."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import load


class ParseTest(unittest.TestCase):
    """Guard against a header that makes a complete answer fail."""

    @params(
        ('2,3', load.LoadReport(2, 3)),
        ('', None),
        ('2', None),
        ('2,x', None),
        ('9' * 400 + ',1', None),
        ('1,' + '9' * 5000, None),
    )
    def test_reports(
        self, text: str, expected: load.LoadReport | None
    ) -> None:
        self.assertEqual(expected, load.parse(text))
