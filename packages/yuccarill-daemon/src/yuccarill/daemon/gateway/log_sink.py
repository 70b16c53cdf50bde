"""Write log lines without ever waiting for their reader."""

from __future__ import annotations

import collections
import os
from typing import Any

# Lines a second that are written at most, and how many may come at once. A
# line costs 9 us of processor time (20,000 lines in a loop), so this is 0.5%
# of a core; the holder of a duty with 80 items a second writes some 350.
LINES_PER_SECOND = 500.0
LINE_BURST = 1500.0
# Bytes that wait for a reader at most.
BUFFER_BYTES = 256 * 1024
# Seconds that lines are collected before they are written together.
FLUSH_SECONDS = 0.1


class LogSink:
    """Collect lines, write them in batches, and count those left out.

    A full pipe would stop the only thread, and with it every request.
    """

    def __init__(self, descriptor: int, clock: Any) -> None:
        self.lines_left_out = 0
        self._reported = 0
        self._descriptor = descriptor
        self._clock = clock
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._allowed = LINE_BURST
        self._counted_at = clock.seconds()
        self._timer: Any = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a line, or only its end."""
        if text == '\n':
            return
        if not self._may_write():
            self.lines_left_out += 1
            return
        self._add(text.rstrip('\n').encode() + b'\n')

    def flush(self) -> None:
        """Write later; called for each line by the logging library."""
        if self._timer is None and self._parts:
            self._timer = self._clock.callLater(FLUSH_SECONDS, self._write)

    def close(self) -> None:
        """Write what the reader takes at once, at the process's end."""
        self._write()

    def _may_write(self) -> bool:
        now = self._clock.seconds()
        grown = (now - self._counted_at) * LINES_PER_SECOND
        self._allowed = min(LINE_BURST, self._allowed + grown)
        self._counted_at = now
        if self._allowed < 1.0 or self._bytes >= BUFFER_BYTES:
            return False
        self._allowed -= 1.0
        return True

    def _add(self, line: bytes) -> None:
        self._parts.append(line)
        self._bytes += len(line)

    def _write(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        left_out = self.lines_left_out - self._reported
        if left_out:
            self._reported = self.lines_left_out
            self._add(
                b'{"event": "logs: Left out.", "lines": %d}\n' % left_out
            )
        data = b''.join(self._parts)
        self._parts.clear()
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more: keeping lines would only fill memory.
            written = len(data)
        rest = data[written:]
        if rest:
            self._parts.append(rest)
        self._bytes = len(rest)
        self.flush()
