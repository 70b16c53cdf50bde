"""Test the lookup of keys across configuration versions."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.accounts import directory
from yuccarill.core.ids import AccountName
from yuccarill.core.ids import KeyDigest


def accounts(**keys: str) -> directory.AccountDirectory:
    """Return accounts by name, one letter per key."""
    return directory.AccountDirectory(
        directory.Account(
            name=AccountName(name),
            keys=frozenset(KeyDigest(key.encode()) for key in found),
        )
        for name, found in keys.items()
    )


class DirectoryTest(unittest.TestCase):
    @params(('x', 'a'), ('y', 'a'), ('z', 'b'), ('w', None))
    def test_find(self, key: str, name: str | None) -> None:
        found = accounts(a='xy', b='z').find(KeyDigest(key.encode()))
        self.assertEqual(name, None if found is None else found.name)

    def test_a_key_of_two_accounts_has_no_owner(self) -> None:
        # Guards against billing one account for the other.
        found = accounts(a='xy', b='yz')
        self.assertIsNone(found.find(KeyDigest(b'y')))
        self.assertEqual({b'y'}, found.ambiguous_keys)

    # Keys of each version, removed keys.
    @params(
        (['x', ''], 'x'),
        (['xy', 'y'], 'x'),
        (['x', 'y', 'z'], 'xy'),
        # A key is added again.
        (['x', 'y', 'x'], 'y'),
        (['x', 'x'], ''),
    )
    def test_removed_keys(self, versions: list[str], expected: str) -> None:
        found = accounts(a=versions[0])
        for keys in versions[1:]:
            following = accounts(a=keys)
            following.record_removed_keys(found)
            found = following
        self.assertEqual(
            set(expected),
            {key for key in 'xyz' if found.was_removed(key.encode())},
        )

    def test_removed_keys_are_bounded(self) -> None:
        before = directory.AccountDirectory(
            directory.Account(
                name=AccountName(f'a{number}'),
                keys=frozenset({KeyDigest(b'%d' % number)}),
            )
            for number in range(directory.MAX_REMOVED + 10)
        )
        after = accounts()
        after.record_removed_keys(before)
        known = sum(
            after.was_removed(KeyDigest(b'%d' % number))
            for number in range(directory.MAX_REMOVED + 10)
        )
        self.assertEqual(directory.MAX_REMOVED, known)
