"""Write log lines without blocking on a slow reader."""

from __future__ import annotations

import collections
import os
from typing import Any

# Rate limit, which bounds the processor time spent on logging. A line costs 9
# us of processor time, so this is 0.5% of a core; a holder with 80 items a
# second writes some 350 lines.
LINES_PER_SECOND = 500.0
LINE_BURST = 1500.0
# Limit on unwritten lines, beyond which lines are dropped.
BUFFER_BYTES = 256 * 1024
# Delay that batches lines into one write.
FLUSH_SECONDS = 0.1


class LogSink:
    """Write lines in batches, and count the dropped ones.

    A blocking write to a full pipe would stop every request.
    """

    def __init__(self, descriptor: int, clock: Any) -> None:
        self.dropped_lines = 0
        self._reported_dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._parts: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._tokens = LINE_BURST
        self._refilled_at = clock.seconds()
        self._timer: Any = None
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Add a line; the logger writes its line end separately."""
        if text == '\n':
            return
        if not self._take_token():
            self.dropped_lines += 1
            return
        self._add(text.rstrip('\n').encode() + b'\n')

    def flush(self) -> None:
        """Schedule a write; called by the logging library for each line."""
        if self._timer is None and self._parts:
            self._timer = self._clock.callLater(FLUSH_SECONDS, self._write)

    def close(self) -> None:
        """Write what fits into the pipe, at the end of the process."""
        self._write()

    def _take_token(self) -> bool:
        now = self._clock.seconds()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(LINE_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0 or self._bytes >= BUFFER_BYTES:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, line: bytes) -> None:
        self._parts.append(line)
        self._bytes += len(line)

    def _write(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        unreported = self.dropped_lines - self._reported_dropped
        if unreported:
            self._reported_dropped = self.dropped_lines
            self._add(
                b'{"event": "logs: Left out.", "lines": %d}\n' % unreported
            )
        data = b''.join(self._parts)
        self._parts.clear()
        try:
            written = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone: drop the lines to bound memory.
            written = len(data)
        rest = data[written:]
        if rest:
            self._parts.append(rest)
        self._bytes = len(rest)
        self.flush()
