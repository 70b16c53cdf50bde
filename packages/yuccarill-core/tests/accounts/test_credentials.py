"""Test which credentials of a request contain a key."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from yuccarill.core.accounts import credentials
from yuccarill.core.accounts.credentials import CredentialFault

KEY = '42q492cqf75rjvz48wua'
INPUTS = 100_000


class CredentialTest(unittest.TestCase):
    @params(
        (f'Bearer {KEY}',),
        (f'bearer {KEY}',),
        (f'BEARER   {KEY}',),
        (f' Bearer {KEY}\t',),
    )
    def test_one_key(self, value: str) -> None:
        self.assertEqual(credentials.digest(KEY), credentials.read((value,)))

    @params(
        ((), CredentialFault.MISSING),
        (('',), CredentialFault.MALFORMED),
        (('Bearer',), CredentialFault.MALFORMED),
        (('Bearer ',), CredentialFault.MALFORMED),
        ((KEY,), CredentialFault.MALFORMED),
        ((f'Basic {KEY}',), CredentialFault.MALFORMED),
        ((f'Bearer\t{KEY}',), CredentialFault.MALFORMED),
        ((f'Bearer {KEY} {KEY}',), CredentialFault.MALFORMED),
        ((f'Bearer {KEY},Bearer {KEY}',), CredentialFault.MALFORMED),
        ((f'Bearer {KEY}\x00',), CredentialFault.MALFORMED),
        ((f'Bearer {KEY}\xe9',), CredentialFault.MALFORMED),
        # Equal credentials are refused as well.
        ((f'Bearer {KEY}', f'Bearer {KEY}'), CredentialFault.REPEATED),
        ((f'Bearer {"x" * 513}',), CredentialFault.TOO_LONG),
    )
    def test_no_key(
        self, values: tuple[str, ...], fault: CredentialFault
    ) -> None:
        self.assertIs(fault, credentials.read(values))

    def test_arbitrary_input_is_read_or_refused(self) -> None:
        """Guards against an exception on malformed input."""
        draw = random.Random(1)
        alphabet = [chr(code) for code in range(256)]
        held = credentials.digest(KEY)
        for number in range(INPUTS):
            text = ''.join(draw.choices(alphabet, k=draw.randrange(24)))
            value = f'Bearer {text}' if number % 2 else text
            found = credentials.read((value,))
            self.assertNotEqual(held, found)
            self.assertIsInstance(found, bytes | CredentialFault)
