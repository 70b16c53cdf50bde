"""Test the deadlines of a request body."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.flow import body_deadline
from yuccarill.core.ids import Instant

STEP = body_deadline.PROGRESS_SECONDS / 2
# Seconds before the end of each step at which bytes arrive.
EARLY = 0.5


class BodyDeadlineTest(unittest.TestCase):
    # Bytes that arrive in each step, and when the body is given up.
    @params(
        ([], 2 * STEP),
        # Guard against a client that holds a connection by single bytes.
        ([1] * 50, 2 * STEP),
        ([300] * 3, 2 * STEP - EARLY + 2 * STEP),
        ([512] * 3, 3 * STEP - EARLY + 2 * STEP),
        # A body that makes progress still has a final deadline.
        ([512] * 50, body_deadline.BODY_SECONDS),
    )
    def test_ends(self, parts: list[int], expected: float) -> None:
        deadline = body_deadline.start_deadline(Instant(0.0))
        received = 0
        for number, count in enumerate(parts, 1):
            now = Instant(number * STEP - EARLY)
            if now >= deadline.due_at:
                break
            received += count
            deadline.receive(received, now)
        self.assertEqual(expected, deadline.due_at)
