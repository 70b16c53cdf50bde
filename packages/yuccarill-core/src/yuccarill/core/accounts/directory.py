"""Find client accounts by their keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import KeyDigest

if TYPE_CHECKING:
    from collections.abc import Iterable

# Removed keys that are refused without reading the store; an older removed key
# costs a read.
MAX_REMOVED = 4096


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one client account."""

    name: AccountName
    keys: frozenset[KeyDigest] = frozenset()
    # Overrides the priority of a route; 0 is the most urgent.
    priority: int | None = None


class AccountDirectory:
    """Index the accounts of one version of the configuration by key."""

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._accounts_by_key: dict[KeyDigest, Account] = {}
        # Keys of several accounts; refused, since the owner is ambiguous.
        self.ambiguous_keys: set[KeyDigest] = set()
        self._removed: dict[KeyDigest, None] = {}
        for account in accounts:
            for key in account.keys:
                if key in self._accounts_by_key:
                    self.ambiguous_keys.add(key)
                self._accounts_by_key[key] = account
        for key in self.ambiguous_keys:
            del self._accounts_by_key[key]

    def __len__(self) -> int:
        return len(self._accounts_by_key)

    def find(self, key: KeyDigest) -> Account | None:
        """Return the account that holds a key."""
        return self._accounts_by_key.get(key)

    def was_removed(self, key: KeyDigest) -> bool:
        """Return whether an earlier version held a key that this one lacks."""
        return key in self._removed

    def record_removed_keys(self, before: AccountDirectory) -> None:
        """Record the keys that an earlier version held and this one lacks."""
        gone = before._accounts_by_key.keys() - self._accounts_by_key.keys()
        kept = [k for k in before._removed if k not in self._accounts_by_key]
        self._removed = dict.fromkeys([*kept, *sorted(gone)][-MAX_REMOVED:])
