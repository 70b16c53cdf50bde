"""Test that logging never blocks the process."""

from __future__ import annotations

import json
import os
import unittest

from twisted.internet import task

from yuccarill.daemon.gateway import log_sink


class LogSinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.clock = task.Clock()
        self.sink = log_sink.LogSink(writer, self.clock)

    def write(self, count: int, text: str = 'line') -> None:
        for number in range(count):
            self.sink.write(f'{text} {number}')
            self.sink.write('\n')
            self.sink.flush()

    def read(self) -> list[str]:
        parts = []
        while True:
            try:
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                break
            parts.append(part)
        return b''.join(parts).decode().splitlines()

    def test_lines_are_written_together(self) -> None:
        self.write(3)
        self.assertEqual([], self.read())
        self.clock.advance(log_sink.FLUSH_SECONDS)
        self.assertEqual(['line 0', 'line 1', 'line 2'], self.read())

    def test_lines_over_the_limit_are_dropped_and_counted(self) -> None:
        self.write(int(log_sink.LINE_BURST) + 50)
        self.clock.advance(log_sink.FLUSH_SECONDS)
        lines = self.read()
        self.assertEqual(50, json.loads(lines[-1])['lines'])

    def test_full_pipe_does_not_block(self) -> None:
        """Guard against a full pipe that blocks the only thread."""
        for _ in range(200):
            self.write(20, 'x' * 500)
            self.clock.advance(1.0)
        self.assertGreater(self.sink.dropped_lines, 0)
        lines = []
        for _ in range(100):
            lines += self.read()
            self.clock.advance(1.0)
        self.assertTrue(any('Left out' in line for line in lines))

    def test_closed_reader_is_tolerated(self) -> None:
        reader, writer = os.pipe()
        sink = log_sink.LogSink(writer, self.clock)
        os.close(reader)
        self.addCleanup(os.close, writer)
        sink.write('line')
        sink.flush()
        self.clock.advance(1.0)
        sink.close()
