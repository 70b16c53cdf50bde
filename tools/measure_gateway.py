"""Measure the resource use of a gateway process on loopback.

Run as `.venv/bin/python tools/measure_gateway.py`. Prints the processor time
per poll of the feed, forwarded request and batch job item, and the resident
memory of an idle process.
"""

from __future__ import annotations

import http.client
import importlib
import pathlib
import sys
import time
from typing import Any
from typing import TYPE_CHECKING
import uuid

import click
import psutil

if TYPE_CHECKING:
    from collections.abc import Callable

PLATFORM = pathlib.Path(__file__).parents[1] / 'platform'
_MS_PER_SECOND = 1000.0


def _cpu_seconds(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(spent.user + spent.system for spent in times)


def _cpu_ms(
    processes: list[psutil.Process], count: int, work: Callable[[], Any]
) -> float:
    before = _cpu_seconds(processes)
    for _ in range(count):
        work()
    return (_cpu_seconds(processes) - before) / count * _MS_PER_SECOND


@click.command()
@click.option('--count', default=1000, help='Number of polls and of requests.')
def main(count: int) -> None:
    """Print a table of the costs."""
    sys.path.insert(0, str(PLATFORM))
    fleet_module = importlib.import_module('tests.processes.fleet')
    tests = importlib.import_module('tests.processes.test_fleet')
    fleet = fleet_module.Fleet(2)
    try:
        fleet.start()
        time.sleep(3.0)
        process = psutil.Process(fleet.processes['n0'].pid)
        both = [psutil.Process(fleet.processes[n].pid) for n in fleet.names]
        megabytes = process.memory_info().rss / 2**20
        peer = http.client.HTTPConnection(f'{fleet.ip("n0")}:7380')
        client = http.client.HTTPConnection(fleet.address('n0'))

        def poll() -> None:
            peer.request('GET', '/feed?prefix=servers/')
            peer.getresponse().read()

        def send_request() -> None:
            headers = {
                'Host': fleet_module.HOST,
                'Request-Id': uuid.uuid4().hex,
            }
            client.request('POST', '/ask/1', b'x', headers)
            client.getresponse().read()

        poll_cost = _cpu_ms([process], count, poll)
        request_cost = _cpu_ms([process], count, send_request)
        case = tests.ServeTest('test_a_request_is_served')
        case.fleet = fleet
        jobs = 20

        def run_job() -> None:
            job_id, _ = case.submit('n0', tests.job(groups=4))
            case.wait_whole('n0', job_id)

        item_cost = _cpu_ms(both, jobs, run_job) / (4 * tests.SIZE)
    finally:
        fleet.stop()
    click.echo('| what | cost |')
    click.echo('|---|---|')
    click.echo(f"| a poll of a watcher's copy | {poll_cost:.2f} ms |")
    click.echo(f'| a request passed on | {request_cost:.2f} ms |')
    click.echo(
        f'| an item of 12 events, scored and listed | {item_cost:.2f} ms |'
    )
    click.echo(f'| resident memory, idle | {megabytes:.1f} MB |')


if __name__ == '__main__':
    main()
