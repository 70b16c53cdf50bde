"""Test whose a key is, over versions of the configuration."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.accounts import directory
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import KeyDigest


def accounts(**keys: str) -> directory.AccountDirectory:
    """Return accounts by name, a letter for each of their keys."""
    return directory.AccountDirectory(
        directory.Account(
            name=AccountName(name),
            keys=frozenset(KeyDigest(key.encode()) for key in found),
        )
        for name, found in keys.items()
    )


class DirectoryTest(unittest.TestCase):
    @params(('x', 'a'), ('y', 'a'), ('z', 'b'), ('w', None))
    def test_whose_a_key_is(self, key: str, name: str | None) -> None:
        found = accounts(a='xy', b='z').find(KeyDigest(key.encode()))
        self.assertEqual(name, None if found is None else found.name)

    def test_a_key_of_two_accounts_is_nobodys(self) -> None:
        # Served under the first, one account would be billed for the other.
        found = accounts(a='xy', b='yz')
        self.assertIsNone(found.find(KeyDigest(b'y')))
        self.assertEqual({b'y'}, found.shared)

    # The keys of each version, and which are known to have been taken away.
    @params(
        (['x', ''], 'x'),
        (['xy', 'y'], 'x'),
        (['x', 'y', 'z'], 'xy'),
        # One that came back.
        (['x', 'y', 'x'], 'y'),
        (['x', 'x'], ''),
    )
    def test_keys_that_were_taken_away(
        self, versions: list[str], expected: str
    ) -> None:
        found = accounts(a=versions[0])
        for keys in versions[1:]:
            following = accounts(a=keys)
            following.follow(found)
            found = following
        self.assertEqual(
            set(expected),
            {key for key in 'xyz' if found.was_removed(key.encode())},
        )

    def test_what_is_remembered_is_bounded(self) -> None:
        before = directory.AccountDirectory(
            directory.Account(
                name=AccountName(f'a{number}'),
                keys=frozenset({KeyDigest(b'%d' % number)}),
            )
            for number in range(directory.MAX_REMOVED + 10)
        )
        after = accounts()
        after.follow(before)
        known = sum(
            after.was_removed(KeyDigest(b'%d' % number))
            for number in range(directory.MAX_REMOVED + 10)
        )
        self.assertEqual(directory.MAX_REMOVED, known)
