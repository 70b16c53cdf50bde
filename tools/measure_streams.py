"""Measure the processor time of relaying a streamed generation."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import pathlib
import statistics
import tempfile
import urllib.request

import click
import control_fleet

TARGETS = 8
CALLERS = 16
TOKEN_COUNTS = (16, 128, 512)


def _generate(port: int, number: int, tokens: int) -> None:
    request = urllib.request.Request(
        f'http://127.0.0.1:{port}/v1/models/model/generate',
        method='POST',
        data=json.dumps(
            {'prompt': f'prompt {number}', 'max_tokens': tokens}
        ).encode(),
        headers={
            'Yuccarill-Request-Id': f'stream-{number}',
            'Yuccarill-Timeout': '60',
        },
    )
    with urllib.request.urlopen(request, timeout=60) as reply:
        last = reply.read().splitlines()[-1]
    if not json.loads(last).get('done'):
        raise SystemExit(f'A stream ended early with {last!r}.')


def _cpu_seconds(fleet: control_fleet.Fleet) -> float:
    return float(sum(fleet.instances[0].cpu_times()[:2]))


def _request_cost(
    fleet: control_fleet.Fleet,
    numbers: itertools.count[int],
    tokens: int,
    requests: int,
) -> float:
    port = fleet.http_ports[0]
    before = _cpu_seconds(fleet)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        list(
            pool.map(
                lambda number: _generate(port, number, tokens),
                itertools.islice(numbers, requests),
            )
        )
    return (_cpu_seconds(fleet) - before) / requests


@click.command()
@click.option('--requests', type=int, default=200)
@click.option('--rounds', type=int, default=3)
def main(requests: int, rounds: int) -> None:
    """Measure several lengths and print a linear fit."""
    numbers = itertools.count()
    lengths = []
    costs = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = control_fleet.Fleet(
            '.venv/bin/yuccarilld', 1, TARGETS, pathlib.Path(folder)
        )
        try:
            fleet.start()
            for length in TOKEN_COUNTS * rounds:
                cost = _request_cost(fleet, numbers, length, requests)
                lengths.append(float(length))
                costs.append(1000 * cost)
                click.echo(f'{length} tokens: {1000 * cost:.2f} ms a request')
        finally:
            fleet.stop()
    fit = statistics.linear_regression(lengths, costs)
    click.echo(
        f'{fit.intercept:.2f} ms a request + {1000 * fit.slope:.2f} ms '
        'a 1,000 tokens'
    )


if __name__ == '__main__':
    main()
