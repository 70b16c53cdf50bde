"""Test reading and comparing regression scores."""

from __future__ import annotations

import pathlib
import sys
import unittest

from nose2.tools import params

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import regression  # noqa: E402

BASELINES = {'s': 0.7}


def day(
    name: str, worth: float, slot: str = 'trouble', **rules: object
) -> dict:
    return {'name': name, 'G': worth, 'slot': slot, 'rules': rules}


def entry(*days: dict, gate: float = 1.0) -> dict:
    return {'site': 's', 'figures': {'gate': gate}, 'days': list(days)}


class RegressionTest(unittest.TestCase):
    def test_mean_covers_standard_fault_days_only(self) -> None:
        found = regression.read_score(
            entry(
                day('quiet-1', 0.1, 'quiet'),
                day('trouble-1', 0.6),
                day('scale-1', 0.8, 'scale'),
                day('fresh-1', 0.1),
            )
        )
        self.assertAlmostEqual(0.7, found.mean_worth)

    @params(
        ('unchanged', entry(day('trouble-1', 0.7)), True),
        ('drop within the bound', entry(day('trouble-1', 0.68)), True),
        ('drop beyond the bound', entry(day('trouble-1', 0.66)), False),
        ('gate failed', entry(day('trouble-1', 0.9), gate=0.0), False),
        ('rule broken', entry(day('trouble-1', 0.9, LOST=3)), False),
    )
    def test_acceptance(self, _: str, found: dict, expected: bool) -> None:
        score = regression.read_score(found)
        self.assertIs(expected, score.is_acceptable(BASELINES))

    def test_row_of_a_site(self) -> None:
        scores = [regression.read_score(entry(day('trouble-1', 0.75)))]
        row = regression.render_table(scores, BASELINES).splitlines()[-1]
        self.assertEqual('| s | passed | none | 0.750 | +0.050 |', row)
