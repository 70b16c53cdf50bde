"""Count the bytes of all streams."""

from __future__ import annotations

import dataclasses

from yuccarill.daemon import metrics


@dataclasses.dataclass
class Traffic:
    """Sum up bytes since the start; streams add, operators read."""

    sent: int = 0
    received: int = 0
    _sent_reported: int = 0
    _received_reported: int = 0

    def report(self) -> None:
        """Count what was added since the last report."""
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
