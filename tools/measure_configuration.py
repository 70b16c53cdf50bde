"""Measure the propagation of configuration changes to the instances.

Runs the controllers of many instances in one process on a simulated clock,
with simulated delays between regions. Compares them with a naive design, in
which every instance watches the store and fetches the whole document.
"""

from __future__ import annotations

import argparse
import itertools
import logging
import statistics
import time
from typing import Any
from typing import TYPE_CHECKING

import configuration_fleet
from configuration_fleet import Fleet
import structlog
from twisted.internet import defer

from yuccarill.core.config import reader
from yuccarill.standins import memory

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from yuccarill.core.ids import InstanceId

TARGETS = 1300
CHANGES_A_DAY = 6000
DAY_SECONDS = 86400
IDLE_SECONDS = 20.0
PAUSE_SECONDS = 4.0
PARTITIONED_REGION = 4
CALLS_SECONDS = 60.0
CALLS_CHANGES = 32
CALLS_PAUSE_SECONDS = 2.0


def documents(targets: int) -> Iterator[dict[str, Any]]:
    """Yield documents that each differ from the previous in one entry."""
    engines = [
        {
            'id': f'engine-{n:04d}',
            'model': f'model-{n % 7}',
            'address': f'10.{n // 250}.{n % 250}.1:9000',
            'data_centre': f'd{n % configuration_fleet.DATA_CENTRES}',
            'checks_fencing': True,
        }
        for n in range(targets)
    ]
    for number in itertools.count():
        changed = engines[number % targets]
        changed['checks_fencing'] = not changed['checks_fencing']
        yield {
            'models': [{'name': f'model-{n}'} for n in range(7)],
            'engines': [dict(engine) for engine in engines],
        }


def measure_fleet(count: int, changes: int, killed: int) -> None:
    """Print propagation times, bytes and processor time."""
    fleet = Fleet(count, seed=1)
    source = documents(TARGETS)
    fleet.clock.run(1.0)
    revision = 1
    reads = fleet.store.calls_by_kind['read']
    fleet.apply(fleet.instances[0], 0, next(source))
    first = fleet.seconds_until_applied(revision, 30.0)
    fleet.clock.run(5.0)
    reads = fleet.store.calls_by_kind['read'] - reads
    idle_bytes, idle_processor = _idle(fleet)
    _print('whole document, no delta, in force after', f'{first:.2f} s')
    _print('reads of the store for it', f'{reads}')
    before, start = fleet.traffic(), time.process_time()
    watched = fleet.store.bytes_by_kind['watch']
    written = fleet.store.bytes_by_kind['write']
    simulated_start = fleet.clock.seconds()
    delays, decoding = [], 0.0
    for _ in range(changes):
        at = fleet.random.choice(fleet.instances)
        document = next(source)
        mark = time.process_time()
        reader.from_decoded(document)
        decoding += time.process_time() - mark
        fleet.apply(at, revision, document)
        revision += 1
        delays.append(fleet.seconds_until_applied(revision, 10.0))
        fleet.clock.run(PAUSE_SECONDS)
    elapsed = fleet.clock.seconds() - simulated_start
    used = time.process_time() - start - elapsed * idle_processor - decoding
    watched = fleet.store.bytes_by_kind['watch'] - watched
    written = fleet.store.bytes_by_kind['write'] - written
    watchers = 2 * len({i.data_centre for i in fleet.instances})
    head = watched / changes / watchers
    after = fleet.traffic()
    sent = [
        (after[i] - before[i] - idle_bytes[i] * elapsed) / changes
        for i in after
    ]
    daily = CHANGES_A_DAY / DAY_SECONDS
    steady = [
        rate + daily * (n + head) for rate, n in zip(idle_bytes.values(), sent)
    ]
    processor = used / changes / count
    share = idle_processor / count + processor * daily
    idle_mean = statistics.mean(idle_bytes.values())
    _print('in force everywhere, worst', f'{max(delays):.2f} s')
    _print('in force everywhere, median', f'{statistics.median(delays):.2f} s')
    _print('idle, bytes/s a node', f'{idle_mean:.0f}')
    _print('bytes a node a change, mean', f'{statistics.mean(sent):.0f}')
    _print('bytes a node a change, most', f'{max(sent):.0f}')
    _print('head read by a watcher a change, bytes', f'{head:.0f}')
    _print('written to the store a change, bytes', f'{written / changes:.0f}')
    _print('bytes/s at 6,000 a day, busiest watcher', f'{max(steady):.0f}')
    _print('processor idle, of a core', f'{idle_processor / count:.4%}')
    _print('processor a change', f'{processor * 1000:.2f} ms')
    _print('processor at 6,000 a day, of a core', f'{share:.4%}')
    _measure_partition(fleet, source, revision, changes)
    _measure_losses(fleet, source, revision + changes, changes, killed)


def _idle(fleet: Fleet) -> tuple[dict[InstanceId, float], float]:
    before, start = fleet.traffic(), time.process_time()
    fleet.clock.run(IDLE_SECONDS)
    used = time.process_time() - start
    rates = {
        i: (n - before[i]) / IDLE_SECONDS for i, n in fleet.traffic().items()
    }
    return rates, used / IDLE_SECONDS


def _measure_partition(
    fleet: Fleet, source: Any, revision: int, changes: int
) -> None:
    fleet.partition_region(PARTITIONED_REGION)
    for base in range(revision, revision + changes):
        fleet.apply(fleet.instances[0], base, next(source))
        fleet.clock.run(PAUSE_SECONDS)
    reads = fleet.store.calls_by_kind['read']
    fleet.heal()
    delay = fleet.seconds_until_applied(revision + changes, 30.0)
    reads = fleet.store.calls_by_kind['read'] - reads
    _print(f'region cut off for {changes} changes, then', f'{delay:.2f} s')
    _print('reads of the store then', f'{reads}')
    fleet.clock.run(PAUSE_SECONDS)


def _measure_losses(
    fleet: Fleet, source: Any, revision: int, runs: int, killed: int
) -> None:
    delays = []
    for _ in range(runs):
        lost = fleet.random.sample(fleet.instances, killed)
        fleet.apply(
            next(i for i in fleet.instances if i not in lost),
            revision,
            next(source),
        )
        revision += 1
        for instance in lost:
            fleet.kill(instance)
        delays.append(fleet.seconds_until_applied(revision, 20.0))
        for instance in lost:
            fleet.start(instance)
        fleet.clock.run(PAUSE_SECONDS)
    _print(f'with {killed} killed at once, worst', f'{max(delays):.2f} s')
    _print(
        f'with {killed} killed at once, median',
        f'{statistics.median(delays):.2f} s',
    )


class NaiveFleet:
    """Make every instance watch the whole document."""

    def __init__(self, count: int) -> None:
        self.clock = configuration_fleet.SimulatedClock()
        self.store = memory.MemoryKeyValue(
            self.clock, configuration_fleet.STORE_SECONDS
        )
        for _ in range(count):
            defer.ensureDeferred(self._follow())

    def apply(self, value: bytes) -> None:
        """Write a document after reading it, as an operator does."""
        defer.ensureDeferred(self._apply(value))

    async def _apply(self, value: bytes) -> None:
        current = await self.store.get('head')
        await self.store.swap('head', value, current.version)

    async def _follow(self) -> None:
        version = 0
        while True:
            entry = await self.store.watch('head', version)
            if entry.version != version:
                version = entry.version
                reader.from_json(entry.value)


def measure_naive(count: int, changes: int) -> None:
    """Print bytes and processor time of the naive design."""
    fleet = NaiveFleet(count)
    source = documents(TARGETS)
    fleet.clock.run(1.0)
    values = [
        reader.to_json(reader.from_decoded(next(source)))
        for _ in range(changes)
    ]
    start = time.process_time()
    for value in values:
        fleet.apply(value)
        fleet.clock.run(1.0)
    used = time.process_time() - start
    size = fleet.store.bytes_by_kind['watch'] / changes / count
    daily = CHANGES_A_DAY / DAY_SECONDS
    _print('naive: bytes a node a change', f'{size:.0f}')
    _print('naive: bytes/s a node at 6,000 a day', f'{size * daily:.0f}')
    _print(
        'naive: processor a change a node',
        f'{used / changes / count * 1000:.2f} ms',
    )


def measure_store_calls(counts: list[int]) -> None:
    """Print store calls per second by number of instances."""
    print('| instances | way | calls/s idle | calls a change |')
    for count in counts:
        fleet = Fleet(count, seed=1)
        fleet.clock.run(1.0)
        source = documents(20)
        revisions = itertools.count()
        _print_calls(
            f'{count} | watchers',
            fleet,
            lambda: fleet.apply(
                fleet.instances[0], next(revisions), next(source)
            ),
        )
        naive = NaiveFleet(count)
        _print_calls(
            f'{count} | naive',
            naive,
            lambda: naive.apply(
                reader.to_json(reader.from_decoded(next(source)))
            ),
        )


def _print_calls(
    name: str, fleet: Fleet | NaiveFleet, change: Callable[[], Any]
) -> None:
    change()
    fleet.clock.run(10.0)
    before = fleet.store.calls_by_kind.total()
    fleet.clock.run(CALLS_SECONDS)
    idle = (fleet.store.calls_by_kind.total() - before) / CALLS_SECONDS
    before = fleet.store.calls_by_kind.total()
    for _ in range(CALLS_CHANGES):
        change()
        fleet.clock.run(CALLS_PAUSE_SECONDS)
    calls = fleet.store.calls_by_kind.total() - before
    idle_calls = idle * CALLS_PAUSE_SECONDS
    _print(name, f'{idle:.1f} | {calls / CALLS_CHANGES - idle_calls:.1f}')


def _print(name: str, value: str) -> None:
    print(f'| {name} | {value} |')


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, default=410)
    parser.add_argument('--changes', type=int, default=20)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    print(f'{options.instances} instances, {TARGETS} targets')
    measure_fleet(options.instances, options.changes, options.instances // 10)
    measure_naive(options.instances, options.changes)
    measure_store_calls([6, 12, 24, 48, 96, 205, 410])


if __name__ == '__main__':
    main()
