"""Test errors, their explanations and the page of result codes."""

from __future__ import annotations

import pathlib
import re
import unittest

from yuccarill.core import errors
from yuccarill.core import explanations

PAGE = pathlib.Path(__file__).resolve().parents[3] / 'docs/result-codes.md'


class ExplanationTest(unittest.TestCase):
    maxDiff = None

    def test_page_lists_every_code(self) -> None:
        expected = [each.row for each in explanations.explain_all()]
        rows = re.findall(r'^\| \d.*$', PAGE.read_text(), re.MULTILINE)
        self.assertEqual(expected, rows)

    def test_every_code_but_ok_has_a_class(self) -> None:
        without = [
            code.name
            for code in errors.ResultCode
            if errors.error_class_by_code(code).code is not code
        ]
        self.assertEqual(['OK'], without)

    def test_every_error_class_has_a_doc_line(self) -> None:
        undocumented = [
            error_class.__name__
            for error_class in _tree(errors.YuccarillError)
            if not (error_class.__dict__.get('__doc__') or '').strip()
        ]
        self.assertEqual([], undocumented)

    def test_an_unknown_code_is_refused(self) -> None:
        with self.assertRaises(errors.UnknownCode):
            explanations.explain(7)


def _tree(root: type) -> list[type]:
    children = [each for sub in root.__subclasses__() for each in _tree(sub)]
    return [root, *children]
