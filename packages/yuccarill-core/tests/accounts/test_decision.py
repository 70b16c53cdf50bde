"""Test the admission of a request by the state of its key."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.accounts import decision
from yuccarill.core.accounts.decision import KeyStanding
from yuccarill.core.accounts.decision import Look
from yuccarill.core.accounts.decision import Verdict

LENIENT = decision.RevocationPolicy()
STRICT = decision.RevocationPolicy(is_strict=True, max_age=5.0)
# Seconds since the configuration was confirmed; the latter two stand for a
# partition from the store.
FRESH, CUT_OFF, LONG_CUT_OFF = 0.5, 6.0, 600.0


class DecisionTest(unittest.TestCase):
    # State of the key, lookup result, age, policy, verdict.
    @params(
        (KeyStanding.HELD, Look.NOT_YET, FRESH, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, LONG_CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.FAILED, CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, FRESH, STRICT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, CUT_OFF, STRICT, Verdict.PUT_OFF),
        (KeyStanding.HELD, Look.FAILED, CUT_OFF, STRICT, Verdict.PUT_OFF),
        # Removed: no lookup, whether or not the store is reachable.
        (KeyStanding.REMOVED, Look.NOT_YET, FRESH, LENIENT, Verdict.REFUSE),
        (KeyStanding.REMOVED, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.REFUSE),
        (KeyStanding.REMOVED, Look.FAILED, CUT_OFF, STRICT, Verdict.REFUSE),
        # May be new: looked up before a permanent refusal.
        (KeyStanding.UNKNOWN, Look.NOT_YET, FRESH, LENIENT, Verdict.LOOK),
        (KeyStanding.UNKNOWN, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.LOOK),
        (KeyStanding.UNKNOWN, Look.ANSWERED, FRESH, LENIENT, Verdict.REFUSE),
        (KeyStanding.UNKNOWN, Look.ANSWERED, CUT_OFF, STRICT, Verdict.REFUSE),
        # Lookup failed: another instance may know the key.
        (KeyStanding.UNKNOWN, Look.FAILED, FRESH, LENIENT, Verdict.PUT_OFF),
        (KeyStanding.UNKNOWN, Look.FAILED, CUT_OFF, LENIENT, Verdict.PUT_OFF),
    )
    def test_verdict(
        self,
        standing: KeyStanding,
        look: Look,
        age: float,
        policy: decision.RevocationPolicy,
        expected: Verdict,
    ) -> None:
        found = decision.decide(standing, look, age, policy)
        self.assertIs(expected, found)
