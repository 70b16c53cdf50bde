"""Test when a standby resumes the texts of a lost holder."""

from __future__ import annotations

import unittest

from nose2.tools import params

from yuccarill.core.ids import Instant
from yuccarill.core.jobs import standby


class StandbyWatchTest(unittest.TestCase):
    # Events with their times (h: holder heard, n: store unavailable, y: store
    # available), the time of the check, and whether the standby runs then.
    @params(
        # The holder is heard, whatever the store does.
        ((('h', 0.0), ('n', 0.1)), 0.9, False),
        ((('h', 0.0), ('n', 0.5), ('h', 1.0), ('n', 1.5)), 2.0, False),
        # Silent, and the store is available: the lease decides.
        ((('h', 0.0), ('y', 1.3)), 1.4, False),
        ((('h', 0.0), ('y', 1.3), ('y', 5.0)), 60.0, False),
        # Silent, and the store is unavailable.
        ((('h', 0.0), ('n', 1.3)), 1.4, True),
        ((('h', 0.0), ('n', 1.3), ('n', 8.0)), 8.1, True),
        # An outage before the last message does not count.
        ((('n', 0.0), ('h', 0.1)), 1.5, False),
        # The store has recovered: the standby runs on until a successor can.
        ((('h', 0.0), ('n', 1.3), ('y', 6.0)), 8.7, True),
        ((('h', 0.0), ('n', 1.3), ('y', 6.0), ('y', 8.0)), 8.9, False),
        # The store is unavailable again.
        ((('h', 0.0), ('n', 1.3), ('y', 6.0), ('n', 7.0)), 60.0, True),
        # The holder was only partitioned and is heard again.
        ((('h', 0.0), ('n', 1.3), ('h', 4.0)), 4.1, False),
        ((('h', 0.0), ('n', 1.3), ('h', 4.0)), 9.0, False),
    )
    def test_when_the_standby_runs(
        self, events: tuple[tuple[str, float], ...], at: float, expected: bool
    ) -> None:
        watch = standby.StandbyWatch()
        for kind, second in events:
            now = Instant(second)
            match kind:
                case 'h':
                    watch.record_heartbeat(now)
                case 'n':
                    watch.record_store_probe(False, now)
                case 'y':
                    watch.record_store_probe(True, now)
        self.assertIs(expected, watch.can_run(Instant(at)))
