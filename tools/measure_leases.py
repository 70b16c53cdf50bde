"""Measure leases by number of instances, on a fake clock."""

from __future__ import annotations

import random
import statistics
from typing import Any

import click
import lease_fleet

from yuccarill.core.leases import policy as policy_module
from yuccarill.core.leases import shards
from yuccarill.core.membership import placement

SIZES = '6,24,48,100,200,410'
IDLE_SECONDS = 60.0
SETTLE_SECONDS = 25.0
CRASHES = 6
RESTARTS = 6
DAY_SECONDS = 86_400
# Events per day in a deployment of 410 instances.
DAY_INSTANCES = 410
DAY_RESTARTS = 440
DAY_CRASHES = 21


@click.command()
@click.option('--sizes', default=SIZES, help='Numbers of instances.')
@click.option('--seed', default=1, type=int)
def main(sizes: str, seed: int) -> None:
    """Print one column per number of instances, and linear slopes."""
    rows = [measure(int(size), seed) for size in sizes.split(',')]
    for name in rows[0]:
        line = ''.join(f'{row[name]:>10.4g}' for row in rows)
        click.echo(f'{name:<38}{line}')
    if len(rows) < 2:
        return
    for name in ('writes/s idle', 'reads/s idle', 'cpu ms/s an instance'):
        fit = statistics.linear_regression(
            [row['instances'] for row in rows], [row[name] for row in rows]
        )
        click.echo(
            f'slope of {name}: {fit.slope:.5f} an instance, '
            f'from {fit.intercept:.3f}'
        )


def measure(size: int, seed: int) -> dict[str, Any]:
    """Return the measurements for one number of instances."""
    generator = random.Random(seed)
    fleet = lease_fleet.Fleet(size)
    first_held = fleet.seconds_until_held()
    initial_writes = fleet.calls_by_kind['write']
    fleet.run(SETTLE_SECONDS)
    idle = count_calls(fleet, IDLE_SECONDS)
    naive = lease_fleet.NaiveFleet(size)
    naive.run(IDLE_SECONDS, policy_module.LeasePolicy().renewal_period)
    row: dict[str, Any] = {'instances': size}
    row['holders'] = len(set(fleet.holders().values()))
    row['most shards at one'] = most_shards(fleet)
    row['first held, s'] = first_held
    row['writes until first held'] = initial_writes
    row['writes/s idle'] = idle['write'] / IDLE_SECONDS
    row['reads/s idle'] = idle['read'] / IDLE_SECONDS
    row['cpu ms/s an instance'] = 1000 * idle['cpu'] / IDLE_SECONDS / size
    row['naive writes/s idle'] = naive.calls_by_kind['write'] / IDLE_SECONDS
    row['naive reads/s idle'] = naive.calls_by_kind['read'] / IDLE_SECONDS
    crashes = [measure_crash(fleet, generator) for _ in range(CRASHES)]
    restarts = [measure_restart(fleet, generator) for _ in range(RESTARTS)]
    row['held again, s, median'] = statistics.median(c[0] for c in crashes)
    row['held again, s, worst'] = max(c[0] for c in crashes)
    row['moved by crashes / ideal'] = moved_ratio(crashes)
    row['moved by restarts / ideal'] = moved_ratio(restarts)
    row['other writes a crash'] = statistics.mean(c[3] for c in crashes)
    row['other writes a restart'] = statistics.mean(r[3] for r in restarts)
    row['other writes/s of a day'] = (
        DAY_CRASHES * row['other writes a crash']
        + DAY_RESTARTS * row['other writes a restart']
    ) * (size / DAY_INSTANCES / DAY_SECONDS)
    return row


def count_calls(fleet: lease_fleet.Fleet, seconds: float) -> dict[str, float]:
    """Return the store calls and processor seconds of a period."""
    calls = fleet.calls_by_kind.copy()
    cpu = fleet.decision_seconds
    fleet.run(seconds)
    return {
        'write': fleet.calls_by_kind['write'] - calls['write'],
        'read': fleet.calls_by_kind['read'] - calls['read'],
        'cpu': fleet.decision_seconds - cpu,
    }


def measure_crash(
    fleet: lease_fleet.Fleet, generator: random.Random
) -> tuple[float, int, int, int]:
    """Crash a holder; return seconds, moved, ideal and other writes."""
    before = fleet.holders()
    name = generator.choice(sorted({h for h in before.values() if h}))
    writes = fleet.calls_by_kind['other write']
    # Crashes at a random time between two renewals.
    fleet.run(generator.uniform(0, 2))
    fleet.crash(name)
    seconds = fleet.seconds_until_held()
    fleet.run(SETTLE_SECONDS)
    moved = count_moved(before, fleet.holders())
    ideal = sum(1 for holder in before.values() if holder == name)
    other_writes = fleet.calls_by_kind['other write'] - writes
    fleet.start(name)
    fleet.run(SETTLE_SECONDS)
    return seconds, moved, ideal, other_writes


def measure_restart(
    fleet: lease_fleet.Fleet, generator: random.Random
) -> tuple[float, int, int, int]:
    """Restart a holder gracefully; return the same as measure_crash()."""
    before = fleet.holders()
    name = generator.choice(sorted({h for h in before.values() if h}))
    writes = fleet.calls_by_kind['other write']
    fleet.stop(name)
    seconds = fleet.seconds_until_held()
    moved = count_moved(before, fleet.holders())
    ideal = sum(1 for holder in before.values() if holder == name)
    fleet.start(name)
    middle = fleet.holders()
    fleet.run(SETTLE_SECONDS)
    live = [n.id for n in fleet.nodes_by_id.values() if not n.is_dead]
    moved += count_moved(middle, fleet.holders())
    ideal += sum(
        1
        for shard in shards.ALL_SHARDS
        if placement.rank(shards.placement_duty(shard), live)[0] == name
    )
    other_writes = fleet.calls_by_kind['other write'] - writes
    return seconds, moved, ideal, other_writes


def count_moved(before: dict[int, Any], after: dict[int, Any]) -> int:
    """Return the number of shards whose holder changed."""
    return sum(1 for shard in before if before[shard] != after[shard])


def moved_ratio(events: list[tuple[float, int, int, int]]) -> float:
    """Return the ratio of moved shards to the ideal number."""
    return sum(e[1] for e in events) / max(1, sum(e[2] for e in events))


def most_shards(fleet: lease_fleet.Fleet) -> int:
    """Return the largest number of shards held by one instance."""
    holders = list(fleet.holders().values())
    return max(holders.count(holder) for holder in set(holders))


if __name__ == '__main__':
    main()
