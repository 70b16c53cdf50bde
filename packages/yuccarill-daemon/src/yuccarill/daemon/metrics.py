"""Send metrics to a statsd server, if the settings name one."""

from __future__ import annotations

import enum
from typing import NamedTuple

import statsd

PREFIX = 'yuccarill'
_MILLISECONDS = 1000.0


class Kind(enum.Enum):
    """How a statsd server aggregates a metric."""

    COUNT = 'count'
    GAUGE = 'gauge'
    TIMING = 'timing'


class Meter(NamedTuple):
    """A metric, as listed in docs/metrics.md."""

    name: str
    kind: Kind
    unit: str
    meaning: str


class Metric(enum.Enum):
    """All metrics; docs/metrics.md has a row for each."""

    API_REQUESTS = Meter(
        'api.requests', Kind.COUNT, 'requests', 'HTTP requests answered'
    )
    API_ERRORS = Meter(
        'api.errors', Kind.COUNT, 'requests', 'HTTP requests refused or failed'
    )
    API_TIME = Meter(
        'api.time', Kind.TIMING, 'ms', 'From an HTTP request to its answer'
    )
    PEER_BYTES_SENT = Meter(
        'peers.bytes_sent', Kind.COUNT, 'bytes', 'Written to peer streams'
    )
    PEER_BYTES_RECEIVED = Meter(
        'peers.bytes_received', Kind.COUNT, 'bytes', 'Read from peer streams'
    )
    PROCESS_LOOP_DELAY = Meter(
        'process.loop_delay',
        Kind.TIMING,
        'ms',
        'How late a timer of the loop came',
    )
    PROCESS_MEMORY = Meter(
        'process.memory', Kind.GAUGE, 'bytes', 'Resident memory'
    )
    PROCESS_CONTROLLERS_ENDED = Meter(
        'process.controllers_ended',
        Kind.COUNT,
        'controllers',
        'Parts of the process that ended by a fault',
    )
    CONFIG_REVISION = Meter(
        'config.revision', Kind.GAUGE, 'revision', 'Revision in force'
    )
    CALLS_ATTEMPTS = Meter(
        'calls.attempts', Kind.COUNT, 'attempts', 'Sent to targets'
    )
    CALLS_RETRIES = Meter(
        'calls.retries', Kind.COUNT, 'attempts', 'Made after a failed one'
    )
    CALLS_HEDGES = Meter(
        'calls.hedges', Kind.COUNT, 'attempts', 'Made beside a slow one'
    )
    CALLS_REFUSED = Meter(
        'calls.refused', Kind.COUNT, 'requests', 'Not run, for want of room'
    )
    CALLS_UNKNOWN = Meter(
        'calls.unknown', Kind.COUNT, 'requests', 'Ended with outcome unknown'
    )
    CALLS_SILENT = Meter(
        'calls.silent', Kind.COUNT, 'attempts', 'Given up without an answer'
    )
    CALLS_RESUMED = Meter(
        'calls.resumed', Kind.COUNT, 'streams', 'Gone on with elsewhere'
    )
    CALLS_WAIT = Meter(
        'calls.wait', Kind.TIMING, 'ms', 'From a call to its admission'
    )


class _Client(statsd.StatsClient):
    """Drop datagrams while the socket's send buffer is full."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, prefix=PREFIX)
        # A blocking send would stall the event loop; the library drops a
        # datagram whose send raises an OSError.
        self._sock.setblocking(False)


_client: _Client | None = None


def configure(address: str | None) -> None:
    """Send metrics to a server given as IP:PORT, or nowhere if None."""
    global _client
    if _client is not None:
        _client.close()
    _client = None
    if address is not None:
        host, _, port = address.rpartition(':')
        _client = _Client(host, int(port))


def count(metric: Metric, value: int = 1) -> None:
    """Increase a counter."""
    if _client is not None:
        _client.incr(metric.value.name, value)


def gauge(metric: Metric, value: float) -> None:
    """Set a gauge."""
    if _client is not None:
        _client.gauge(metric.value.name, value)


def timing(metric: Metric, seconds: float) -> None:
    """Record a duration in seconds; it is sent in milliseconds."""
    if _client is not None:
        _client.timing(metric.value.name, seconds * _MILLISECONDS)
