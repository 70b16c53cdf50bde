"""Test that logging never holds the process up."""

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

    def test_lines_over_the_limit_are_counted(self) -> None:
        self.write(int(log_sink.LINE_BURST) + 50)
        self.clock.advance(log_sink.FLUSH_SECONDS)
        lines = self.read()
        self.assertEqual(50, json.loads(lines[-1])['lines'])

    def test_a_reader_that_does_not_read_stops_nothing(self) -> None:
        """A full pipe would stop the only thread, and every request.

        1. Nobody reads standard output any more.
        2. Lines are kept up to a limit, and then counted.
        3. When somebody reads again, they come out whole.
        """
        for _ in range(200):
            self.write(20, 'x' * 500)
            self.clock.advance(1.0)
        self.assertGreater(self.sink.lines_left_out, 0)
        lines = []
        for _ in range(100):
            lines += self.read()
            self.clock.advance(1.0)
        self.assertTrue(any('Left out' in line for line in lines))

    def test_a_reader_that_is_gone_is_forgotten(self) -> None:
        reader, writer = os.pipe()
        sink = log_sink.LogSink(writer, self.clock)
        os.close(reader)
        self.addCleanup(os.close, writer)
        sink.write('line')
        sink.flush()
        self.clock.advance(1.0)
        sink.close()
