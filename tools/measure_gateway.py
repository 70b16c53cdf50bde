"""Measure what one gateway process costs, beside stand-ins on loopback.

Run as `.venv/bin/python tools/measure_gateway.py`. Prints processor time a
poll of a watcher's copy, a request passed on and an item of a batch job, and
the resident memory of an idle process.
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
_MS = 1000.0


def _spent(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(spent.user + spent.system for spent in times)


def _cost(
    processes: list[psutil.Process], count: int, work: Callable[[], Any]
) -> float:
    before = _spent(processes)
    for _ in range(count):
        work()
    return (_spent(processes) - before) / count * _MS


@click.command()
@click.option('--count', default=1000, help='Polls and requests each.')
def main(count: int) -> None:
    """Print the table."""
    sys.path.insert(0, str(PLATFORM))
    fleet_module = importlib.import_module('tests.processes.fleet')
    tests = importlib.import_module('tests.processes.test_fleet')
    fleet = fleet_module.Fleet(2)
    try:
        fleet.start()
        time.sleep(3.0)
        one = psutil.Process(fleet.processes['n0'].pid)
        both = [psutil.Process(fleet.processes[n].pid) for n in fleet.names]
        megabytes = one.memory_info().rss / 2**20
        peer = http.client.HTTPConnection(f'{fleet.ip("n0")}:7380')
        client = http.client.HTTPConnection(fleet.address('n0'))

        def poll() -> None:
            peer.request('GET', '/feed?prefix=servers/')
            peer.getresponse().read()

        def ask() -> None:
            headers = {
                'Host': fleet_module.HOST,
                'Request-Id': uuid.uuid4().hex,
            }
            client.request('POST', '/ask/1', b'x', headers)
            client.getresponse().read()

        poll_cost = _cost([one], count, poll)
        ask_cost = _cost([one], count, ask)
        case = tests.ServeTest('test_a_request_is_served')
        case.fleet = fleet
        jobs = 20

        def train() -> None:
            job_id, _ = case.submit('n0', tests.job(groups=4))
            case.wait_whole('n0', job_id)

        item_cost = _cost(both, jobs, train) / (4 * tests.SIZE)
    finally:
        fleet.stop()
    click.echo('| what | cost |')
    click.echo('|---|---|')
    click.echo(f"| a poll of a watcher's copy | {poll_cost:.2f} ms |")
    click.echo(f'| a request passed on | {ask_cost:.2f} ms |')
    click.echo(
        f'| an item of 12 events, scored and listed | {item_cost:.2f} ms |'
    )
    click.echo(f'| resident memory, idle | {megabytes:.1f} MB |')


if __name__ == '__main__':
    main()
