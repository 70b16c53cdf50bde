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
FRESH, CUT_OFF, LONG_CUT_OFF = 0.5, 6.0, 600.0


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
            CUT_OFF,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            LONG_CUT_OFF,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (
            KeyState.HELD,
            LookupResult.FAILED,
            CUT_OFF,
            LENIENT,
            KeyVerdict.ADMIT,
        ),
        (KeyState.HELD, LookupResult.NOT_YET, FRESH, STRICT, KeyVerdict.ADMIT),
        (
            KeyState.HELD,
            LookupResult.NOT_YET,
            CUT_OFF,
            STRICT,
            KeyVerdict.DEFER,
        ),
        (
            KeyState.HELD,
            LookupResult.FAILED,
            CUT_OFF,
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
            CUT_OFF,
            LENIENT,
            KeyVerdict.REFUSE,
        ),
        (
            KeyState.REMOVED,
            LookupResult.FAILED,
            CUT_OFF,
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
            CUT_OFF,
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
            CUT_OFF,
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
            CUT_OFF,
            LENIENT,
            KeyVerdict.DEFER,
        ),
    )
    def test_verdict(
        self,
        standing: KeyState,
        look: LookupResult,
        age: float,
        policy: decision.RevocationPolicy,
        expected: KeyVerdict,
    ) -> None:
        found = decision.decide(standing, look, age, policy)
        self.assertIs(expected, found)
