"""Test parsing and validation of inventory documents."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies
import msgspec
from nose2.tools import params

from yuccarill.core.config import inventory as inventory_module
from yuccarill.core.config import reader
from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.config.inventory import Inventory

EXAMPLES = pathlib.Path(__file__).resolve().parents[4] / 'examples'

VALID = """
[[models]]
name = "m"

[[engines]]
id = "e"
model = "m"
address = "127.0.0.1:9000"
data_centre = "a"
"""

_FORMS = ('toml', 'json')
_FIELDS = msgspec.structs.fields(inventory_module.Inventory)
_SECTIONS = strategies.sampled_from([field.name for field in _FIELDS])
_KEYS = strategies.sampled_from(
    ['id', 'name', 'model', 'address', 'policy', 'type', 'share']
)


class ReaderTest(unittest.TestCase):
    def test_reads_a_valid_document(self) -> None:
        inventory = reader.read(VALID)
        self.assertEqual('e', inventory.engines[0].id)
        encoded = reader.to_json(inventory)
        self.assertEqual(inventory, reader.from_json(encoded))

    @params(
        ('[[engines', 'document:'),
        ('models = 1', 'models: 1 is wrong; write [[models]]'),
        ('model = 1', "document: 'model' is unknown; write models"),
        ('models = [1]', 'models entry 1: 1 is wrong; write a table'),
        ('[[models]]\nnam = "m"', "models entry 1: 'nam' is unknown"),
        ('[[models]]\nnam = "m"', 'models entry 1: name is missing; write a'),
        ('[[models]]\nname = 1', 'models entry 1, name: 1 is wrong; write a'),
        (
            '[[models]]\nname = "m"\nserving_part = nan',
            'models m, serving_part: nan is wrong; write a number from 0',
        ),
        (
            '[[callers]]\nid = "c"\ncaller_class = "x"',
            "caller_class: 'x' is wrong; write one of latency, internal",
        ),
        (
            '[[trainers]]\nid = "t"\npolicy = { type = "idle", n = 1 }',
            'trainers t, policy: {',
        ),
        (
            '[[services]]\nname = "s"\nnot_repeatable = ["a", 1]',
            "services s, not_repeatable[1]: ['a', 1] is wrong; write a list",
        ),
        (VALID.replace('"m"', '"x"', 1), "engines e, model: 'm' is not defi"),
        (VALID.replace('127.0.0.1:9000', 'host:1'), 'write an IP'),
        (VALID.replace('127.0.0.1:9000', '127.0.0.1:0'), 'write an IP'),
        (VALID.replace('127.0.0.1:9000', '[::1]:9000'), 'write an IPv4'),
        (VALID.replace('127.0.0.1:9000', '0.0.0.0:9000'), 'write an IPv4'),
        (VALID + '[[models]]\nname = "m"', "models: 'm' is duplicated"),
    )
    def test_refuses(self, text: str, expected: str) -> None:
        with self.assertRaises(errors.InventoryInvalid) as caught:
            reader.read(text)
        self.assertIn(expected, caught.exception.message)

    def test_names_the_faults_of_all_entries_at_once(self) -> None:
        text = VALID + '[[models]]\nnam = 1\n[[callers]]\nid = "/"\nshare = 0'
        with self.assertRaises(errors.InventoryInvalid) as caught:
            reader.read(text.replace('127.0.0.1:9000', 'host'))
        faults = caught.exception.message.splitlines()
        places = [fault.split(':')[0] for fault in faults]
        self.assertEqual(
            [
                'callers /, id',
                'callers /, share',
                'models entry 2',
                'models entry 2',
                'engines e, address',
            ],
            places,
        )

    def test_an_entry_with_a_fault_can_be_referred_to(self) -> None:
        text = VALID.replace('name = "m"', 'name = "m"\nserving_part = 2', 1)
        with self.assertRaises(errors.InventoryInvalid) as caught:
            reader.read(text)
        self.assertEqual(1, len(caught.exception.message.splitlines()))

    @params('landesstelle', 'lifti')
    def test_the_examples_are_valid(self, name: str) -> None:
        reader.read((EXAMPLES / f'{name}.toml').read_text())


_PLAIN = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(_KEYS | strategies.text(), inner, max_size=4)
    ),
    max_leaves=10,
)


class FuzzTest(unittest.TestCase):
    @hypothesis.seed(1)
    @hypothesis.settings(deadline=None, database=None, max_examples=120)
    @hypothesis.given(
        strategies.dictionaries(_SECTIONS, strategies.lists(_PLAIN)) | _PLAIN
    )
    def test_plain_values_raise_inventory_invalid_only(
        self, plain: object
    ) -> None:
        self._check(lambda: reader.from_decoded(plain))

    @hypothesis.seed(1)
    @hypothesis.settings(deadline=None, database=None, max_examples=100)
    @hypothesis.given(strategies.text(), strategies.sampled_from(_FORMS))
    def test_texts_raise_inventory_invalid_only(
        self, text: str, form: str
    ) -> None:
        self._check(lambda: reader.read(VALID[: len(text)] + text, form))

    def _check(self, read: Callable[[], Inventory]) -> None:
        try:
            inventory = read()
        except errors.InventoryInvalid as error:
            self.assertNotEqual('', error.message)
        else:
            encoded = reader.to_json(inventory)
            self.assertEqual(inventory, reader.from_json(encoded))
