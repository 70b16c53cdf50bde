"""Test which paths are repeatable."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.calls import paths
from yuccarill.core import errors

LISTED = ('charges', 'gates/open')


class PathsTest(unittest.TestCase):
    @params(
        ('charges', False),
        ('charges/7', False),
        ('charges/', False),
        ('chargesheet', True),
        ('gates/open', False),
        ('gates/open/3', False),
        ('gates/state', True),
        ('status/charges', True),
    )
    def test_finds_listed_paths(self, path: str, expected: bool) -> None:
        self.assertIs(expected, paths.is_repeatable(path, LISTED))

    @params('a/../charges', './charges', '/charges', 'a//b', 'charges/..')
    def test_refuses_paths_that_targets_may_rewrite(self, path: str) -> None:
        with self.assertRaises(errors.RequestError):
            paths.check(path)
