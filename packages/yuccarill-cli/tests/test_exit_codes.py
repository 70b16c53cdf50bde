"""Test that the operations page lists the exit codes."""

from __future__ import annotations

import pathlib
import re
import unittest

from yuccarill.cli.exit_codes import ExitCode

PAGE = pathlib.Path(__file__).resolve().parents[3] / 'docs/OPERATIONS.md'


class PageTest(unittest.TestCase):
    def test_page_lists_every_exit_code(self) -> None:
        rows = re.findall(
            r'^\| (\d) \| ([A-Z_]+) \|', PAGE.read_text(), re.MULTILINE
        )
        wanted = [(str(code.value), code.name) for code in ExitCode]
        self.assertEqual(wanted, rows)
