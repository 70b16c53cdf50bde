"""Measure leases against the number of instances, on a fake clock.

Run it with --sizes to choose other numbers of instances.
"""

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
QUIET_SECONDS = 25.0
CRASHES = 6
RESTARTS = 6
DAY_SECONDS = 86_400
# Of 410 instances on an ordinary day.
DAY_INSTANCES = 410
DAY_RESTARTS = 440
DAY_CRASHES = 21


@click.command()
@click.option('--sizes', default=SIZES, help='Numbers of instances.')
@click.option('--seed', default=1, type=int)
def main(sizes: str, seed: int) -> None:
    """Print one row a number of instances and the slopes over them."""
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
    """Measure one number of instances."""
    generator = random.Random(seed)
    fleet = lease_fleet.Fleet(size)
    first = fleet.seconds_until_held()
    cold = fleet.calls_by_kind['write']
    fleet.run(QUIET_SECONDS)
    idle = count(fleet, IDLE_SECONDS)
    naive = lease_fleet.NaiveFleet(size)
    naive.run(IDLE_SECONDS, policy_module.LeasePolicy().renewal_period)
    row: dict[str, Any] = {'instances': size}
    row['holders'] = len(set(fleet.holders().values()))
    row['most shards at one'] = most_shards(fleet)
    row['first held, s'] = first
    row['writes until first held'] = cold
    row['writes/s idle'] = idle['write'] / IDLE_SECONDS
    row['reads/s idle'] = idle['read'] / IDLE_SECONDS
    row['cpu ms/s an instance'] = 1000 * idle['cpu'] / IDLE_SECONDS / size
    row['naive writes/s idle'] = naive.calls_by_kind['write'] / IDLE_SECONDS
    row['naive reads/s idle'] = naive.calls_by_kind['read'] / IDLE_SECONDS
    crashes = [crash(fleet, generator) for _ in range(CRASHES)]
    restarts = [restart(fleet, generator) for _ in range(RESTARTS)]
    row['held again, s, median'] = statistics.median(c[0] for c in crashes)
    row['held again, s, worst'] = max(c[0] for c in crashes)
    row['moved by crashes / ideal'] = ratio(crashes)
    row['moved by restarts / ideal'] = ratio(restarts)
    row['other writes a crash'] = statistics.mean(c[3] for c in crashes)
    row['other writes a restart'] = statistics.mean(r[3] for r in restarts)
    row['other writes/s of a day'] = (
        DAY_CRASHES * row['other writes a crash']
        + DAY_RESTARTS * row['other writes a restart']
    ) * (size / DAY_INSTANCES / DAY_SECONDS)
    return row


def count(fleet: lease_fleet.Fleet, seconds: float) -> dict[str, float]:
    """Return the calls and processor seconds of a time."""
    calls = fleet.calls_by_kind.copy()
    cpu = fleet.decision_seconds
    fleet.run(seconds)
    return {
        'write': fleet.calls_by_kind['write'] - calls['write'],
        'read': fleet.calls_by_kind['read'] - calls['read'],
        'cpu': fleet.decision_seconds - cpu,
    }


def crash(
    fleet: lease_fleet.Fleet, generator: random.Random
) -> tuple[float, int, int, int]:
    """Crash a holder; return seconds, moved, ideal and other writes."""
    before = fleet.holders()
    lost = generator.choice(sorted({h for h in before.values() if h}))
    writes = fleet.calls_by_kind['other write']
    # At any moment between two renewals.
    fleet.run(generator.uniform(0, 2))
    fleet.crash(lost)
    seconds = fleet.seconds_until_held()
    fleet.run(QUIET_SECONDS)
    moved = changed(before, fleet.holders())
    ideal = sum(1 for holder in before.values() if holder == lost)
    extra = fleet.calls_by_kind['other write'] - writes
    fleet.start(lost)
    fleet.run(QUIET_SECONDS)
    return seconds, moved, ideal, extra


def restart(
    fleet: lease_fleet.Fleet, generator: random.Random
) -> tuple[float, int, int, int]:
    """Stop an instance gracefully and start it again."""
    before = fleet.holders()
    name = generator.choice(sorted({h for h in before.values() if h}))
    writes = fleet.calls_by_kind['other write']
    fleet.stop(name)
    seconds = fleet.seconds_until_held()
    moved = changed(before, fleet.holders())
    ideal = sum(1 for holder in before.values() if holder == name)
    fleet.start(name)
    middle = fleet.holders()
    fleet.run(QUIET_SECONDS)
    live = [n.id for n in fleet.nodes_by_id.values() if not n.is_dead]
    moved += changed(middle, fleet.holders())
    ideal += sum(
        1
        for shard in shards.ALL_SHARDS
        if placement.rank(shards.placement_duty(shard), live)[0] == name
    )
    extra = fleet.calls_by_kind['other write'] - writes
    return seconds, moved, ideal, extra


def changed(before: dict[int, Any], after: dict[int, Any]) -> int:
    """Return how many shards changed hands."""
    return sum(1 for shard in before if before[shard] != after[shard])


def ratio(events: list[tuple[float, int, int, int]]) -> float:
    """Return the shards moved over those that had to."""
    return sum(e[1] for e in events) / max(1, sum(e[2] for e in events))


def most_shards(fleet: lease_fleet.Fleet) -> int:
    """Return the shards of the instance that holds most."""
    holders = list(fleet.holders().values())
    return max(holders.count(holder) for holder in set(holders))


if __name__ == '__main__':
    main()
