"""Test the metrics of the process itself."""

from __future__ import annotations

import unittest
from unittest import mock

from twisted.internet import task

from yuccarill.daemon import metrics
from yuccarill.daemon.metrics import Metric
from yuccarill.daemon import process_metrics


class ProcessMetricsTest(unittest.TestCase):
    def test_reports_the_loop_delay(self) -> None:
        clock = task.Clock()
        reporter = process_metrics.Vitals(mock.Mock(snapshot=None), clock)
        with (
            mock.patch.object(metrics, 'timing', autospec=True) as timing,
            mock.patch.object(metrics, 'gauge', autospec=True) as gauge,
        ):
            reporter.start()
            clock.advance(process_metrics.PERIOD_SECONDS + 0.25)
            clock.advance(process_metrics.PERIOD_SECONDS)
        self.assertEqual(
            [
                mock.call(Metric.PROCESS_LOOP_DELAY, 0.25),
                mock.call(Metric.PROCESS_LOOP_DELAY, 0.0),
            ],
            timing.mock_calls,
        )
        self.assertIn(mock.call(Metric.CONFIG_REVISION, 0), gauge.mock_calls)
