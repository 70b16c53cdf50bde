"""Test the actions on a silent stream."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.membership import stream_health

NONE = stream_health.HealthAction.NONE
HEARTBEAT = stream_health.HealthAction.HEARTBEAT
CLOSE = stream_health.HealthAction.CLOSE
POLICY = stream_health.HealthPolicy(
    due_silence=1.0, idle_silence=10.0, answer_limit=3.0
)


class StreamHealthTest(unittest.TestCase):
    @params(
        # (name, times of checks, due since, times of progress, actions)
        ('idle and quiet', [9.0], None, [], [NONE]),
        (
            'idle too long',
            [10.0, 12.9, 13.0],
            None,
            [],
            [HEARTBEAT, NONE, CLOSE],
        ),
        ('reply due', [1.9, 2.0, 5.0], 1.0, [], [NONE, HEARTBEAT, CLOSE]),
        ('due after long idle', [9.0], 8.5, [], [NONE]),
        ('answered', [2.0, 5.0], 1.0, [2.5], [HEARTBEAT, HEARTBEAT]),
    )
    def test_actions(self, name, checks, due, progress, expected) -> None:
        health = stream_health.StreamHealth(POLICY, Instant(0.0))
        found = []
        for at in checks:
            for moment in progress:
                if moment <= at:
                    health.on_progress(Instant(moment))
            due_since = None if due is None else Instant(due)
            found.append(health.check(Instant(at), due_since))
        self.assertEqual(expected, found, name)
