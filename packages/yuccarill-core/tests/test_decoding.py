"""Test decoding of values that another process wrote."""

from __future__ import annotations

import unittest

import msgspec
from nose2.tools import params

from yuccarill.core import decoding

DEEP = 100_000


class Value(msgspec.Struct):
    number: decoding.Integer = 0
    text: str = ''


class DecodingTest(unittest.TestCase):
    """Guard against errors that callers do not expect of a decoder."""

    @params(
        b'',
        b'{',
        b'\xff',
        b'{"text":"\xff"}',
        b'{"text":"\\ud800"}',
        b'{"number":"1"}',
        b'{"number":1e999}',
        b'{"number":9223372036854775808}',
        b'{"number":-9223372036854775808}',
        b'{"number":' + b'9' * 400 + b'}',
        b'{"number":' + b'9' * 5000 + b'}',
        b'[' * DEEP + b']' * DEEP,
        b'{"other":' + b'[' * DEEP + b']' * DEEP + b'}',
        b'{"other":' * DEEP + b'1' + b'}' * DEEP,
    )
    def test_invalid_json_raises_one_kind_of_error(self, value: bytes) -> None:
        with self.assertRaises(msgspec.MsgspecError):
            decoding.from_json(value, Value)

    @params(
        b'',
        b'\xc1',
        b'\x81\xa4text\xa1\xff',
        b'\x91' * DEEP + b'\x01',
        b'\x81\xa5other' + b'\x91' * DEEP + b'\x01',
    )
    def test_invalid_msgpack_raises_one_kind_of_error(
        self, value: bytes
    ) -> None:
        with self.assertRaises(msgspec.MsgspecError):
            decoding.from_msgpack(value, Value)

    @params(decoding.MAX_INTEGER, -decoding.MAX_INTEGER, 0)
    def test_decoded_integers_can_be_encoded(self, number: int) -> None:
        found = decoding.from_json(msgspec.json.encode(Value(number)), Value)
        again = msgspec.msgpack.encode(found)
        self.assertEqual(found, decoding.from_msgpack(again, Value))

    @params(
        ('0', 0),
        ('007', 7),
        ('9' * 18, 10**18 - 1),
        ('9' * 19, None),
        ('9' * 5000, None),
        ('', None),
        ('-1', None),
        ('1.5', None),
        ('\u0661', None),
    )
    def test_decimal_numbers(self, text: str, expected: int | None) -> None:
        self.assertEqual(expected, decoding.parse_decimal(text))
