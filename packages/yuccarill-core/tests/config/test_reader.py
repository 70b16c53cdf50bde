"""Test reading inventories."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.config import reader
from yuccarill.core import errors

VALID = """
[[models]]
name = "m"

[[engines]]
id = "e"
model = "m"
address = "127.0.0.1:9000"
data_centre = "a"
"""


class ReaderTest(unittest.TestCase):
    def test_reads_a_valid_document(self) -> None:
        inventory = reader.read(VALID)
        self.assertEqual('e', inventory.engines[0].id)
        encoded = reader.to_json(inventory)
        self.assertEqual(inventory, reader.from_json(encoded))

    @params(
        ('[[engines', 'document:'),
        ('[[models]]\nnam = "m"', 'nam'),
        ('[[models]]\nname = 1', '$.models[0].name'),
        (VALID.replace('"m"', '"x"', 1), 'model m is not described'),
        (VALID.replace('127.0.0.1:9000', 'host:1'), 'write an IP'),
        (VALID + '[[models]]\nname = "m"', 'm stands twice'),
    )
    def test_refuses(self, text: str, expected: str) -> None:
        with self.assertRaises(errors.InventoryInvalid) as caught:
            reader.read(text)
        self.assertIn(expected, caught.exception.message)
