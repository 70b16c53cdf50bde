"""Test the admission of a request by the state of its key."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.accounts import decision
from yuccarill.core.accounts.decision import KeyState
from yuccarill.core.accounts.decision import KeyVerdict
from yuccarill.core.accounts.decision import LookupResult

LENIENT = decision.RevocationPolicy()
STRICT = decision.RevocationPolicy(is_strict=True, max_age=5.0)
# Seconds since the configuration was confirmed; the latter two stand for a
# partition from the store.
FRESH, PARTITIONED, LONG_PARTITIONED = 0.5, 6.0, 600.0


class DecisionTest(unittest.TestCase):
    # State of the key, lookup result, age, policy, verdict.
    @params(
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            FRESH,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            PARTITIONED,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            LONG_PARTITIONED,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (
            KeyState.HELD,
            LookupResult.FAILED,
            PARTITIONED,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (KeyState.HELD, LookupResult.NOT_YET, FRESH, STRICT, KeyVerdict.ADMIT),
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            PARTITIONED,
            STRICT,
            KeyVerdict.DEFER,
        ),
        (
            KeyState.HELD,
            LookupResult.FAILED,
            PARTITIONED,
            STRICT,
            KeyVerdict.DEFER,
        ),
        # Removed: no lookup, whether or not the store is reachable.
        (
            KeyState.REMOVED,
            LookupResult.NOT_YET,
            FRESH,
            LENIENT,
            KeyVerdict.REFUSE,
        ),
        (
            KeyState.REMOVED,
            LookupResult.NOT_YET,
            PARTITIONED,
            LENIENT,
            KeyVerdict.REFUSE,
        ),
        (
            KeyState.REMOVED,
            LookupResult.FAILED,
            PARTITIONED,
            STRICT,
            KeyVerdict.REFUSE,
        ),
        # May be new: looked up before a permanent refusal.
        (
            KeyState.UNKNOWN,
            LookupResult.NOT_YET,
            FRESH,
            LENIENT,
            KeyVerdict.LOOK_UP,
        ),
        (
            KeyState.UNKNOWN,
            LookupResult.NOT_YET,
            PARTITIONED,
            LENIENT,
            KeyVerdict.LOOK_UP,
        ),
        (
            KeyState.UNKNOWN,
            LookupResult.ANSWERED,
            FRESH,
            LENIENT,
            KeyVerdict.REFUSE,
        ),
        (
            KeyState.UNKNOWN,
            LookupResult.ANSWERED,
            PARTITIONED,
            STRICT,
            KeyVerdict.REFUSE,
        ),
        # Lookup failed: another instance may know the key.
        (
            KeyState.UNKNOWN,
            LookupResult.FAILED,
            FRESH,
            LENIENT,
            KeyVerdict.DEFER,
        ),
        (
            KeyState.UNKNOWN,
            LookupResult.FAILED,
            PARTITIONED,
            LENIENT,
            KeyVerdict.DEFER,
        ),
    )
    def test_verdict(
        self,
        key_state: KeyState,
        lookup: LookupResult,
        age: float,
        policy: decision.RevocationPolicy,
        expected: KeyVerdict,
    ) -> None:
        found = decision.decide(key_state, lookup, age, policy)
        self.assertIs(expected, found)
