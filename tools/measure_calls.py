"""Measure call policies under an open-loop load on a fake clock."""

from __future__ import annotations

import random
import time
from typing import Any

import calls_model
import calls_policies
import click
import hdrh.histogram

from yuccarill.core.calls import dispatcher
from yuccarill.core.config.inventory import CallerClass
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

SEED = 5
FAULT_BEGIN = 20.0
FAULT_AFTER = 30.0
POLICIES = {
    'naive': calls_policies.Naive,
    'naive, patient': calls_policies.PatientNaive,
    'yuccarill': calls_policies.Yuccarill,
    'oracle': calls_policies.Oracle,
}
DECISIONS = 20_000
# Time allowed for recovery after a fault.
RECOVERY_SECONDS = 5.0


@click.group()
def main() -> None:
    """Measure call policies."""


@main.command()
@click.option('--targets', default=1300)
@click.option('--instances', default=22)
@click.option('--plain', is_flag=True, help='Targets without priorities.')
@click.option('--seconds', default=30.0, help='Length of the fault.')
@click.option('--scenario', 'names', multiple=True)
@click.option('--policy', 'chosen', multiple=True)
def faults(
    targets: int,
    instances: int,
    plain: bool,
    seconds: float,
    names: tuple[str, ...],
    chosen: tuple[str, ...],
) -> None:
    """Compare the policies under each fault."""
    size = calls_model.Size(
        targets=targets,
        instances=instances,
        request_rate=760.0 * targets / 1300,
        has_priorities=not plain,
    )
    click.echo(
        f'{targets} targets, {instances} instances, {size.request_rate:.0f} '
        f'requests/s, capacity {size.capacity:.0f}/s; the fault lasts '
        f'{seconds:.0f} s; seed {SEED}'
    )
    click.echo(
        '| fault | policy | goodput during | goodput after | late | refused '
        '| p50 s | p99 s | late after | attempts |'
    )
    click.echo('|---|---|---|---|---|---|---|---|---|---|')
    for scenario in calls_model.Scenario:
        if names and scenario.name.lower() not in names:
            continue
        for name, policy_class in POLICIES.items():
            if chosen and name not in chosen:
                continue
            world = calls_model.World(size, scenario, SEED)
            policy = policy_class(world, SEED)
            end = FAULT_BEGIN + seconds
            world.run(policy, FAULT_BEGIN, end, end + FAULT_AFTER)
            click.echo(_row(scenario, name, world, policy, end))


def _row(scenario: Any, name: str, world: Any, policy: Any, end: float) -> str:
    latency = _latency_class(world, FAULT_BEGIN, end)
    recovered = end + RECOVERY_SECONDS
    refused = sum(r.is_refused_in_time for r in latency) / len(latency)
    histogram = hdrh.histogram.HdrHistogram(1, 600_000, 3)
    for request in latency:
        if request.is_answered:
            seconds = request.ended_at - request.started_at
            histogram.record_value(max(1, int(seconds * 1000)))
    attempts = policy.attempts / len(world.requests)
    return (
        f'| {scenario.value} | {name} '
        f'| {_goodput(world, FAULT_BEGIN, end):.0f}/s '
        f'| {_goodput(world, recovered, end + FAULT_AFTER):.0f}/s '
        f'| {_late(latency):.2%} | {refused:.2%} '
        f'| {histogram.get_value_at_percentile(50) / 1000:.2f} '
        f'| {histogram.get_value_at_percentile(99) / 1000:.2f} '
        f'| {_late(_latency_class(world, recovered, end + FAULT_AFTER)):.2%} '
        f'| {attempts:.2f} |'
    )


def _latency_class(world: Any, begin: float, end: float) -> list[Any]:
    return [
        request
        for request in world.requests
        if begin <= request.started_at < end
        and request.caller_class is CallerClass.LATENCY
    ]


def _late(requests: list[Any]) -> float:
    """Return the share neither answered nor refused in time."""
    in_time = sum(r.is_good or r.is_refused_in_time for r in requests)
    return 1.0 - in_time / len(requests)


def _goodput(world: Any, begin: float, end: float) -> float:
    """Return the answers in time per second, by time of the answer."""
    good = [r for r in world.requests if r.is_good and r.ended_at]
    return sum(begin <= r.ended_at < end for r in good) / (end - begin)


@main.command()
def decisions() -> None:
    """Time one routing decision for several numbers of targets."""
    click.echo('| targets | us a decision |')
    click.echo('|---|---|')
    for count in (13, 130, 1300):
        router = dispatcher.Dispatcher[Any](
            dispatcher.Policy(), random.Random(SEED)
        )
        data_centres = {
            TargetId(str(n)): DataCentreId(str(n % 11)) for n in range(count)
        }
        router.pool.update(data_centres, DataCentreId('0'), Instant(0.0))
        started_at = time.perf_counter()
        for n in range(DECISIONS):
            now = Instant(n * 0.001)
            target = router.pool.choose(now)
            assert target is not None
            router.pool.record_send(target)
            router.record_answer(target, 0.1, None, now)
        seconds = (time.perf_counter() - started_at) / DECISIONS
        click.echo(f'| {count} | {seconds * 1e6:.1f} |')


if __name__ == '__main__':
    main()
