"""Measure one instance: processor time per request, memory and start-up.

Runs stand-ins, one instance and a minimal klein and treq relay on loopback.
Both get the same calls in alternating rounds, so that other load on the
machine affects both alike.
"""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import click
import control_fleet
import psutil

from yuccarill.standins import ports

TOOLS = pathlib.Path(__file__).resolve().parent
BIN = pathlib.Path(sys.executable).parent
EXAMPLE = TOOLS.parent / 'examples/landesstelle.toml'
SERVICE = 'booking'
CALLERS = 8
IDLE_SECONDS = 10.0
MEGABYTE = 1e6
# Imports all modules of an instance without starting anything.
BARE_IMPORTS = """
import sys
for name in ('OpenSSL', '_hashlib', 'ssl'):
    sys.modules[name] = None
import yuccarill.daemon.application
"""


class Bench:
    """Run one instance, its stand-ins and the bare relay."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: list[subprocess.Popen[bytes]] = []
        self._ports = ports.reserve(3)
        self.instance_port, _, self.relay_port = self._ports

    def start(self) -> None:
        """Start all processes and apply the example."""
        self._spawn(
            sys.executable,
            '-m',
            'yuccarill.standins',
            str(EXAMPLE),
            str(self._folder),
        )
        path = self._folder / 'platform.json'
        control_fleet.wait_for(lambda: path.exists() and path.stat().st_size)
        inventory = json.loads((self._folder / 'inventory.json').read_text())
        self._register_instance()
        self.instance = self._spawn(*self._argv('entry-1', *self._ports[:2]))
        control_fleet.wait_for(self._is_ready)
        control_fleet.send(
            'PUT',
            f'127.0.0.1:{self.instance_port}/v1/operators/configuration',
            {'author': 'measure', 'base': 0, 'document': inventory},
        )
        self.relay = self._spawn(
            sys.executable,
            str(TOOLS / 'bare_relay.py'),
            str(self.relay_port),
            inventory['targets'][0]['address'],
        )
        control_fleet.wait_for(lambda: _is_listening(self.relay_port))
        # Guards against measuring a program that took one of the ports.
        if any(process.poll() is not None for process in self._processes):
            raise SystemExit('A process ended at start-up; try again.')

    def stop(self) -> None:
        """Kill every process that was started."""
        for process in self._processes:
            process.kill()
            process.wait()

    def measure_start(self) -> float:
        """Return the seconds until a new instance listens."""
        free_ports = ports.reserve(2)
        started_at = time.monotonic()
        process = self._spawn(*self._argv('entry-2', *free_ports))
        control_fleet.wait_for(lambda: _is_listening(free_ports[0]))
        seconds = time.monotonic() - started_at
        process.kill()
        process.wait()
        self._processes.remove(process)
        return seconds

    def _register_instance(self) -> None:
        platform = json.loads((self._folder / 'platform.json').read_text())
        self._platform = platform
        control_fleet.send(
            'PUT',
            f'{platform["instance_list"]}/admin/instances/entry-1',
            {
                'id': 'entry-1',
                'data_centre': 'freising',
                'host': '127.0.0.1',
                'http_port': self._ports[0],
                'peer_port': self._ports[1],
                'state': 'live',
            },
        )

    def _argv(self, name: str, http_port: int, peer_port: int) -> list[str]:
        flags = {
            'instance': name,
            'data-centre': 'freising',
            'host': '127.0.0.1',
            'http-port': http_port,
            'peer-port': peer_port,
            'key-value': self._platform['key_value'],
            'instance-list': self._platform['instance_list'],
            'weight-store': self._platform['weight_store'],
            'log-level': 'error',
        }
        argv = [str(BIN / 'yuccarilld')]
        for name, value in flags.items():
            argv += [f'--{name}', str(value)]
        return argv

    def _spawn(self, *argv: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(argv, stderr=subprocess.DEVNULL)
        self._processes.append(process)
        return process

    def _is_ready(self) -> bool:
        try:
            address = f'127.0.0.1:{self.instance_port}'
            control_fleet.send('GET', f'{address}/v1/operators/status')
        except OSError:
            return False
        return True


def _is_listening(port: int) -> bool:
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=1)
    try:
        connection.connect()
    except OSError:
        return False
    connection.close()
    return True


def _call(port: int, path: str, count: int) -> None:
    connection = http.client.HTTPConnection('127.0.0.1', port, timeout=30)
    for number in range(count):
        connection.request(
            'POST', path, b'{}', {'Yuccarill-Request-Id': f'r{number}'}
        )
        reply = connection.getresponse()
        reply.read()
        if reply.status != 200:
            raise SystemExit(f'{path} returned status {reply.status}.')
    connection.close()


def _milliseconds_per_request(
    pid: int, port: int, path: str, requests: int
) -> float:
    process = psutil.Process(pid)
    before = process.cpu_times()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        share = requests // CALLERS
        calls = [pool.submit(_call, port, path, share) for _ in range(CALLERS)]
        for call in calls:
            call.result()
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used / (share * CALLERS) * 1000


def _start_bare() -> subprocess.Popen[bytes]:
    """Start an interpreter and wait for its imports to finish."""
    script = f'{BARE_IMPORTS}\nprint(flush=True)\ninput()'
    process = subprocess.Popen(
        [sys.executable, '-c', script],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    process.stdout.readline()
    return process


def _bare_seconds() -> float:
    started_at = time.monotonic()
    process = _start_bare()
    seconds = time.monotonic() - started_at
    process.communicate(b'\n')
    return seconds


def _bare_megabytes() -> float:
    process = _start_bare()
    used = psutil.Process(process.pid).memory_info().rss / MEGABYTE
    process.communicate(b'\n')
    return used


def _print_requests(bench: Bench, rounds: int, requests: int) -> None:
    own_path = f'/v1/services/{SERVICE}/look'
    own, bare = [], []
    for _ in range(rounds):
        own.append(
            _milliseconds_per_request(
                bench.instance.pid, bench.instance_port, own_path, requests
            )
        )
        bare.append(
            _milliseconds_per_request(
                bench.relay.pid, bench.relay_port, '/look', requests
            )
        )
    ratios = [a / b for a, b in zip(own, bare, strict=True)]
    click.echo(
        f'processor time a request: instance {statistics.median(own):.2f} ms,'
        f' bare relay {statistics.median(bare):.2f} ms, ratio '
        f'{statistics.median(ratios):.2f} ({min(ratios):.2f} to '
        f'{max(ratios):.2f} in {rounds} rounds of {requests})'
    )


def _print_start(bench: Bench, rounds: int) -> None:
    own, bare = [], []
    for _ in range(rounds):
        own.append(bench.measure_start())
        bare.append(_bare_seconds())
    # The fastest start is the least affected by other load.
    ratio = min(own) / min(bare)
    click.echo(
        f'start-up, quickest and median: instance {min(own):.2f} and '
        f'{statistics.median(own):.2f} s until it listens, bare imports '
        f'{min(bare):.2f} and {statistics.median(bare):.2f} s, ratio of the '
        f'quickest {ratio:.2f} ({rounds} rounds)'
    )


def _print_memory(bench: Bench) -> None:
    time.sleep(IDLE_SECONDS)
    info: Any = psutil.Process(bench.instance.pid).memory_info()
    click.echo(
        f'resident memory: idle instance {info.rss / MEGABYTE:.1f} MB, '
        f'bare imports {_bare_megabytes():.1f} MB'
    )


@click.command()
@click.option('--rounds', default=7, show_default=True)
@click.option('--requests', default=800, show_default=True)
def main(rounds: int, requests: int) -> None:
    """Print memory, start-up and processor time of one instance."""
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(pathlib.Path(folder))
        try:
            bench.start()
            _print_memory(bench)
            _print_start(bench, rounds)
            _print_requests(bench, rounds, requests)
        finally:
            bench.stop()


if __name__ == '__main__':
    main()
