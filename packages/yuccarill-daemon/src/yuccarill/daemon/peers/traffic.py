"""Byte counters of all peer streams."""

from __future__ import annotations

import dataclasses

from yuccarill.daemon import metrics


@dataclasses.dataclass
class Traffic:
    """Bytes sent and received since the start of the process."""

    sent: int = 0
    received: int = 0
    _sent_reported: int = 0
    _received_reported: int = 0

    def report(self) -> None:
        """Add the bytes since the last report to the metrics."""
        if self.sent == self._sent_reported:
            return
        metrics.count(
            metrics.Metric.PEER_BYTES_SENT, self.sent - self._sent_reported
        )
        metrics.count(
            metrics.Metric.PEER_BYTES_RECEIVED,
            self.received - self._received_reported,
        )
        self._sent_reported = self.sent
        self._received_reported = self.received
