"""Report metrics of the process itself."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING

from yuccarill.daemon import metrics
from yuccarill.daemon.metrics import Metric

if TYPE_CHECKING:
    from twisted.internet.interfaces import IReactorTime

    from yuccarill.core.blackboard import Blackboard

PERIOD_SECONDS = 1.0
_STATM_PATH = pathlib.Path('/proc/self/statm')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class Vitals:
    """Report loop delay, memory and configuration revision periodically."""

    def __init__(self, blackboard: Blackboard, clock: IReactorTime) -> None:
        self._blackboard = blackboard
        self._clock = clock
        self._due_at = 0.0

    def start(self) -> None:
        """Schedule the next report."""
        self._due_at = self._clock.seconds() + PERIOD_SECONDS
        self._clock.callLater(PERIOD_SECONDS, self._report)

    def _report(self) -> None:
        # The delay of this timer is the time for which the event loop was
        # blocked.
        delay = max(0.0, self._clock.seconds() - self._due_at)
        metrics.timing(Metric.PROCESS_LOOP_DELAY, delay)
        pages = int(_STATM_PATH.read_text().split()[1])
        metrics.gauge(Metric.PROCESS_MEMORY, pages * _PAGE_BYTES)
        head = self._blackboard.snapshot
        metrics.gauge(Metric.CONFIG_REVISION, head.revision if head else 0)
        self.start()
