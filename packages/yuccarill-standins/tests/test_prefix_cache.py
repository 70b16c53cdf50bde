from __future__ import annotations

import unittest

from yuccarill.standins import prefix_cache


class PrefixCacheTest(unittest.TestCase):
    def test_memory_is_bounded_and_events_have_gaps(self):
        cache = prefix_cache.PrefixCache()
        hits = [cache.look_up(p, size=2, gap_every=3) for p in 'abacb']
        self.assertEqual(hits, [False, False, True, False, False])
        events = [
            (e['number'], e['kind'], e['prompt'])
            for e in cache.events(after=1, lag_seconds=0.0)
        ]
        # Event 3 (c stored) is dropped.
        self.assertEqual(
            events,
            [
                (2, 'stored', 'b'),
                (4, 'evicted', 'b'),
                (5, 'stored', 'b'),
            ],
        )
        self.assertEqual(cache.events(after=0, lag_seconds=60.0), [])
