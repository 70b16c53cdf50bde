"""Test that the architecture page documents all blackboard fields."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import unittest

from yuccarill.core import blackboard

PAGE = pathlib.Path(__file__).resolve().parents[3] / 'docs/architecture.md'


class PageTest(unittest.TestCase):
    def test_page_lists_every_field(self) -> None:
        text = PAGE.read_text().partition('## Blackboard')[2]
        rows = re.findall(r'^\| (`.*?) \|', text.partition('\n## ')[0], re.M)
        documented = re.findall(r'`(\w+)`', ' '.join(rows))
        fields = [f.name for f in dataclasses.fields(blackboard.Blackboard)]
        self.assertEqual(fields, ['own_instance', *documented])
