"""Test what becomes of a request by what is known of its key."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.accounts import decision
from yuccarill.core.accounts.decision import KeyStanding
from yuccarill.core.accounts.decision import Look
from yuccarill.core.accounts.decision import Verdict

LENIENT = decision.RevocationPolicy()
STRICT = decision.RevocationPolicy(is_strict=True, max_age=5.0)
# Seconds since the configuration was heard of: from a moment ago, from an
# instance that is cut off, and from one that never heard of it again.
FRESH, CUT_OFF, LONG_CUT_OFF = 0.5, 6.0, 600.0


class DecisionTest(unittest.TestCase):
    # The key, what came of a look, the age, the policy, what follows.
    @params(
        (KeyStanding.HELD, Look.NOT_YET, FRESH, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, LONG_CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.FAILED, CUT_OFF, LENIENT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, FRESH, STRICT, Verdict.ADMIT),
        (KeyStanding.HELD, Look.NOT_YET, CUT_OFF, STRICT, Verdict.PUT_OFF),
        (KeyStanding.HELD, Look.FAILED, CUT_OFF, STRICT, Verdict.PUT_OFF),
        # Known to be taken away: no look, wherever the store is.
        (KeyStanding.REMOVED, Look.NOT_YET, FRESH, LENIENT, Verdict.REFUSE),
        (KeyStanding.REMOVED, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.REFUSE),
        (KeyStanding.REMOVED, Look.FAILED, CUT_OFF, STRICT, Verdict.REFUSE),
        # Perhaps added a moment ago: looked up before it is refused for good.
        (KeyStanding.UNKNOWN, Look.NOT_YET, FRESH, LENIENT, Verdict.LOOK),
        (KeyStanding.UNKNOWN, Look.NOT_YET, CUT_OFF, LENIENT, Verdict.LOOK),
        (KeyStanding.UNKNOWN, Look.ANSWERED, FRESH, LENIENT, Verdict.REFUSE),
        (KeyStanding.UNKNOWN, Look.ANSWERED, CUT_OFF, STRICT, Verdict.REFUSE),
        # Nobody can tell: another instance may.
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
