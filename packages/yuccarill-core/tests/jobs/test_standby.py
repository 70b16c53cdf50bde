"""Test when a standby goes on with a lost holder's texts."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import standby


class StandbyWatchTest(unittest.TestCase):
    # Events, a second, and whether the standby runs then.
    @params(
        # The holder speaks, whatever the store does.
        ((('h', 0.0), ('n', 0.1)), 0.9, False),
        ((('h', 0.0), ('n', 0.5), ('h', 1.0), ('n', 1.5)), 2.0, False),
        # Silent, and the store is there: its lease decides.
        ((('h', 0.0), ('y', 1.3)), 1.4, False),
        ((('h', 0.0), ('y', 1.3), ('y', 5.0)), 60.0, False),
        # Silent, and the store is away.
        ((('h', 0.0), ('n', 1.3)), 1.4, True),
        ((('h', 0.0), ('n', 1.3), ('n', 8.0)), 8.1, True),
        # The store was away before; that says nothing of now.
        ((('n', 0.0), ('h', 0.1)), 1.5, False),
        # It is back: the texts go on until a successor may be there.
        ((('h', 0.0), ('n', 1.3), ('y', 6.0)), 8.7, True),
        ((('h', 0.0), ('n', 1.3), ('y', 6.0), ('y', 8.0)), 8.9, False),
        # Away once more.
        ((('h', 0.0), ('n', 1.3), ('y', 6.0), ('n', 7.0)), 60.0, True),
        # The holder was only cut off, and speaks again.
        ((('h', 0.0), ('n', 1.3), ('h', 4.0)), 4.1, False),
        ((('h', 0.0), ('n', 1.3), ('h', 4.0)), 9.0, False),
    )
    def test_runs(
        self, events: tuple[tuple[str, float], ...], at: float, expected: bool
    ) -> None:
        watch = standby.StandbyWatch()
        for kind, second in events:
            now = Instant(second)
            match kind:
                case 'h':
                    watch.heard(now)
                case 'n':
                    watch.looked(False, now)
                case 'y':
                    watch.looked(True, now)
        self.assertIs(expected, watch.may_run(Instant(at)))
