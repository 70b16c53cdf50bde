"""Test the metrics and docs/metrics.md."""

from __future__ import annotations

import pathlib
import re
import socket
import unittest

from nose2.tools import params

from yuccarill.daemon import metrics

ROOT = pathlib.Path(__file__).resolve().parents[3]
SOURCES = ROOT / 'packages/yuccarill-daemon/src'


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server.bind(('127.0.0.1', 0))
        self.server.settimeout(5.0)
        self.addCleanup(self.server.close)
        self.addCleanup(metrics.configure, None)

    @params(
        (metrics.count, 2, 'api.requests:2|c'),
        (metrics.gauge, 7, 'api.requests:7|g'),
        (metrics.timing, 0.25, 'api.requests:250.000000|ms'),
    )
    def test_sends(self, send: object, value: float, expected: str) -> None:
        metrics.configure(f'127.0.0.1:{self.server.getsockname()[1]}')
        send(metrics.Metric.API_REQUESTS, value)  # type: ignore[operator]
        self.assertEqual(
            f'yuccarill.{expected}', self.server.recv(512).decode()
        )

    def test_sends_nothing_when_not_set(self) -> None:
        metrics.configure(None)
        metrics.count(metrics.Metric.API_REQUESTS)


class PageTest(unittest.TestCase):
    def test_page_lists_every_metric(self) -> None:
        rows = [
            f'| `{m.name}` | {m.kind.value} | {m.unit} | {m.meaning} |'
            for m in (metric.value for metric in metrics.Metric)
        ]
        page = (ROOT / 'docs/metrics.md').read_text()
        listed = re.findall(r'^\| `.*$', page, re.MULTILINE)
        self.assertEqual(sorted(rows), sorted(listed))

    def test_every_metric_is_sent(self) -> None:
        code = ''.join(p.read_text() for p in SOURCES.rglob('*.py'))
        unsent = [m.name for m in metrics.Metric if f'.{m.name}' not in code]
        self.assertEqual([], unsent)
