"""Define the metrics of the gateway."""

from __future__ import annotations

import prometheus_client

REGISTRY = prometheus_client.CollectorRegistry()
# Seconds; request objectives lie between 0.1 and 10 s.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)

REQUESTS = prometheus_client.Counter(
    'yuccarill_requests',
    'Client requests by route and outcome',
    ('route', 'outcome'),
    registry=REGISTRY,
)
REQUEST_SECONDS = prometheus_client.Histogram(
    'yuccarill_request_seconds',
    'From a request to the end of its answer',
    ('route',),
    buckets=_BUCKETS,
    registry=REGISTRY,
)
KEYS = prometheus_client.Counter(
    'yuccarill_keys',
    'Keys of requests by what was decided of them',
    ('decision',),
    registry=REGISTRY,
)
USAGE_COUNTED = prometheus_client.Counter(
    'yuccarill_usage_counted',
    'Requests of accounts that were counted here',
    registry=REGISTRY,
)
USAGE_LOST = prometheus_client.Counter(
    'yuccarill_usage_lost',
    'Requests of accounts that no report tells of',
    registry=REGISTRY,
)
USAGE_NOT_SENT = prometheus_client.Counter(
    'yuccarill_usage_not_told',
    'Messages of counts that the holder of the duty did not take',
    registry=REGISTRY,
)
USAGE_REPORTS = prometheus_client.Counter(
    'yuccarill_usage_reports',
    'Reports of usage by outcome, and whether they were late',
    ('outcome', 'is_late'),
    registry=REGISTRY,
)
ATTEMPTS = prometheus_client.Counter(
    'yuccarill_attempts',
    'Calls of targets by service and end',
    ('service', 'end'),
    registry=REGISTRY,
)
ATTEMPT_SECONDS = prometheus_client.Histogram(
    'yuccarill_attempt_seconds',
    'From a call of a target to its end',
    ('service',),
    buckets=_BUCKETS,
    registry=REGISTRY,
)
LOST_CONNECTIONS = prometheus_client.Counter(
    'yuccarill_losses',
    'Lost connections of calls, one a target and moment, by whether it ended',
    ('service', 'has_ended'),
    registry=REGISTRY,
)
HELD_BACK = prometheus_client.Counter(
    'yuccarill_held_back',
    'Requests refused since targets ended under their like, by verdict',
    ('verdict',),
    registry=REGISTRY,
)
QUARANTINED = prometheus_client.Gauge(
    'yuccarill_quarantined',
    'Contents of requests that are refused now',
    registry=REGISTRY,
)
HELD_BYTES = prometheus_client.Gauge(
    'yuccarill_held_bytes',
    'Bytes held for clients that send or read slowly',
    registry=REGISTRY,
)
PAUSED_ANSWERS = prometheus_client.Gauge(
    'yuccarill_paused_answers',
    'Answers of which no more is taken in until their clients read',
    registry=REGISTRY,
)
DROPPED = prometheus_client.Counter(
    'yuccarill_dropped',
    'Requests given up over a bound of memory, by stage and bound',
    ('stage', 'bound'),
    registry=REGISTRY,
)
CONNECTIONS = prometheus_client.Counter(
    'yuccarill_connections',
    'Connections opened',
    registry=REGISTRY,
)
STORE_CALLS = prometheus_client.Counter(
    'yuccarill_store_calls',
    'Calls of the store by way and end',
    ('way', 'end'),
    registry=REGISTRY,
)
STORE_SECONDS = prometheus_client.Histogram(
    'yuccarill_store_seconds',
    'From a call of the store to its end, watches aside',
    ('way',),
    buckets=_BUCKETS,
    registry=REGISTRY,
)
INVALID_ENTRIES = prometheus_client.Counter(
    'yuccarill_entries_left_out',
    "Entries under the targets' keys that no target wrote",
    registry=REGISTRY,
)
RUN_MOVES = prometheus_client.Counter(
    'yuccarill_run_moves',
    'Runs that were moved to another engine by reason',
    ('reason',),
    registry=REGISTRY,
)
GROUPS_PUT_OFF = prometheus_client.Gauge(
    'yuccarill_groups_put_off',
    'Groups that wait behind those that can be whole in time',
    ('service',),
    registry=REGISTRY,
)
ITEMS = prometheus_client.Counter(
    'yuccarill_items',
    'Items of batch jobs by how they ended',
    ('end',),
    registry=REGISTRY,
)
ITEM_SECONDS = prometheus_client.Histogram(
    'yuccarill_item_seconds',
    "From a job's arrival at its runner to an item's result",
    buckets=_BUCKETS,
    registry=REGISTRY,
)
ORDERS = prometheus_client.Counter(
    'yuccarill_orders',
    'Orders to engines by outcome',
    ('outcome',),
    registry=REGISTRY,
)
CAPACITY_PLACES = prometheus_client.Gauge(
    'yuccarill_capacity_places',
    "Requests that a service's targets run at once, by its broker",
    ('service',),
    registry=REGISTRY,
)
CAPACITY_RATE = prometheus_client.Gauge(
    'yuccarill_capacity_rate',
    'Requests a second that a service can serve, by its broker',
    ('service',),
    registry=REGISTRY,
)
CAPACITY_LENT = prometheus_client.Gauge(
    'yuccarill_capacity_lent',
    'Requests a second that are lent to accounts that ask for more',
    ('service',),
    registry=REGISTRY,
)
CAPACITY_WAITING = prometheus_client.Gauge(
    'yuccarill_capacity_waiting',
    'Requests that wait here for capacity',
    ('service',),
    registry=REGISTRY,
)
CAPACITY_REFUSED = prometheus_client.Counter(
    'yuccarill_capacity_refused',
    'Requests refused here for want of capacity',
    ('service', 'priority'),
    registry=REGISTRY,
)

TARGET_ORDERS = prometheus_client.Counter(
    'yuccarill_target_orders',
    'Orders of targets by outcome',
    ('outcome',),
    registry=REGISTRY,
)


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    text: bytes = prometheus_client.generate_latest(REGISTRY)
    return text
