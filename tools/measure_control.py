"""Measure the cost of the control plane by number of instances.

Starts stand-ins and real instances of one or more builds on loopback, idle
and under configuration changes. Prints a row for each run and a linear fit
over the rows of each build.
"""

from __future__ import annotations

import pathlib
import statistics
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING

import click
import control_fleet
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

SETTLE_SECONDS = 8.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Store the results of one measurement window."""

    build: str
    instances: int
    targets: int
    window: str
    # Percent of one core used per instance.
    cpu_mean: float
    cpu_worst: float
    # Resident memory of the largest instance, in MB.
    memory_worst: float
    # Bytes per second sent to peers, per instance.
    sent_mean: float
    sent_worst: float
    store_reads: float
    store_writes: float
    store_watches: float
    # Watches open at the end of the window.
    waiting_watches: float
    list_reads: float
    # Seconds until the slowest instance has applied a change.
    in_force_median: float = 0.0
    in_force_worst: float = 0.0


class Sample(msgspec.Struct, frozen=True):
    """Store a snapshot of the counters."""

    at: float
    cpu_by_member: list[float]
    sent_by_member: list[int]
    store: dict[str, float]
    list_reads: float


def _take_sample(fleet: control_fleet.Fleet) -> Sample:
    cpu = [sum(process.cpu_times()[:2]) for process in fleet.instances]
    return Sample(
        time.monotonic(),
        cpu,
        fleet.bytes_sent(),
        fleet.store_calls(),
        fleet.count_list_reads(),
    )


def _build_row(
    fleet: control_fleet.Fleet,
    before: Sample,
    after: Sample,
    delays: list[float],
    **labels: Any,
) -> Row:
    seconds = after.at - before.at
    shares = [
        100 * (late - early) / seconds
        for early, late in zip(before.cpu_by_member, after.cpu_by_member)
    ]

    def rate(*kinds: str) -> float:
        return sum(
            after.store.get(kind, 0) - before.store.get(kind, 0)
            for kind in kinds
        ) / max(seconds, 1e-9)

    memory = max(process.memory_info().rss for process in fleet.instances)
    sent = [
        (late - early) / seconds
        for early, late in zip(before.sent_by_member, after.sent_by_member)
    ]
    return Row(
        instances=len(fleet.instances),
        cpu_mean=statistics.fmean(shares),
        cpu_worst=max(shares),
        memory_worst=memory / 1e6,
        sent_mean=statistics.fmean(sent),
        sent_worst=max(sent),
        store_reads=rate('read'),
        store_writes=rate('write'),
        store_watches=rate('watch'),
        waiting_watches=after.store.get('waiting_watches', 0),
        list_reads=(after.list_reads - before.list_reads) / seconds,
        in_force_median=statistics.median(delays) if delays else 0.0,
        in_force_worst=max(delays, default=0.0),
        **labels,
    )


def _measure(
    build: str,
    binary: str,
    instances: int,
    targets: int,
    seconds: float,
    changes: int,
) -> Iterator[Row]:
    with tempfile.TemporaryDirectory() as name:
        fleet = control_fleet.Fleet(
            binary, instances, targets, pathlib.Path(name)
        )
        try:
            fleet.start()
            time.sleep(SETTLE_SECONDS)
            before = _take_sample(fleet)
            time.sleep(seconds)
            after = _take_sample(fleet)
            yield _build_row(
                fleet,
                before,
                after,
                [],
                build=build,
                targets=targets,
                window='idle',
            )
            before = _take_sample(fleet)
            for _ in range(changes):
                fleet.apply_change()
                time.sleep(seconds / changes)
            after = _take_sample(fleet)
            # Outside the window, since polling uses processor time too.
            delays = [fleet.measure_change() for _ in range(changes)]
            yield _build_row(
                fleet,
                before,
                after,
                delays,
                build=build,
                targets=targets,
                window=f'{changes / seconds:.1f} changes/s',
            )
        finally:
            fleet.stop()


def _print_fits(rows: list[Row]) -> None:
    for build in sorted({row.build for row in rows}):
        for window in sorted({row.window for row in rows}):
            chosen = [
                row
                for row in rows
                if (row.build, row.window) == (build, window)
            ]
            for axis in ('instances', 'targets'):
                _print_fit(build, window, axis, chosen)


def _print_fit(build: str, window: str, axis: str, rows: list[Row]) -> None:
    sizes = [float(getattr(row, axis)) for row in rows]
    if len(set(sizes)) < 2:
        return
    for field in Row.__struct_fields__[4:]:
        values = [getattr(row, field) for row in rows]
        fit = statistics.linear_regression(sizes, values)
        click.echo(
            f'{build}, {window}: {field} = {fit.intercept:.3f} '
            f'+ {fit.slope:.5f} x {axis}'
        )


@click.command()
@click.option('--build', 'builds', multiple=True, help='NAME=yuccarilld')
@click.option('--instances', multiple=True, type=int, default=(6, 12, 24))
@click.option('--targets', multiple=True, type=int, default=(10,))
@click.option('--seconds', type=float, default=15.0)
@click.option('--changes', type=int, default=10)
def main(
    builds: tuple[str, ...],
    instances: tuple[int, ...],
    targets: tuple[int, ...],
    seconds: float,
    changes: int,
) -> None:
    """Measure builds with several numbers of instances and targets."""
    rows = []
    for target_count in targets:
        for count in instances:
            for build in builds:
                name, _, binary = build.partition('=')
                for row in _measure(
                    name, binary, count, target_count, seconds, changes
                ):
                    rows.append(row)
                    click.echo(msgspec.json.encode(row).decode())
    _print_fits(rows)


if __name__ == '__main__':
    main()
