"""Run instances and stand-ins for the services they use, on loopback."""

from __future__ import annotations

import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.request

import psutil

from yuccarill.standins import ports

LOOPBACK = '127.0.0.1'
DATA_CENTRES = ('centre-a', 'centre-b', 'centre-c')
START_TIMEOUT_SECONDS = 60.0
CHANGE_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.02


class Fleet:
    """Run stand-ins and the instances of one build."""

    def __init__(
        self, binary: str, instances: int, targets: int, folder: pathlib.Path
    ) -> None:
        self._binary = binary
        self._folder = folder
        self._instance_count = instances
        self._document = _build_document(targets)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._platform: dict[str, str] = {}
        self._revision = 0
        self.http_ports: list[int] = []
        self.instances: list[psutil.Process] = []

    def start(self) -> None:
        """Start all processes and apply the first inventory."""
        example = self._folder / 'example.json'
        example.write_text(json.dumps(self._document))
        self._spawn(
            'standins',
            [
                sys.executable,
                '-m',
                'yuccarill.standins',
                str(_write_toml(example, self._document)),
                str(self._folder),
            ],
        )
        ready = self._folder / 'platform.json'
        wait_for(lambda: ready.exists() and ready.stat().st_size > 0)
        self._platform = json.loads(ready.read_text())
        inventory = self._folder / 'inventory.json'
        self._document = json.loads(inventory.read_text())
        free = ports.reserve(2 * self._instance_count)
        for number in range(self._instance_count):
            self._start_instance(number, free[2 * number : 2 * number + 2])
        for port in self.http_ports:
            wait_for(lambda port=port: self._status(port) is not None)
        self.apply_change()
        wait_for(lambda: self._is_applied(self._revision))

    def apply_change(self) -> float:
        """Apply a changed inventory and return the time of sending."""
        models = self._document['models']
        models[0]['serving_part'] = 0.4 + self._revision % 100 / 1000
        sent_at = time.monotonic()
        reply = send(
            'PUT',
            f'{LOOPBACK}:{self.http_ports[0]}/v1/operators/configuration',
            {
                'author': 'measure',
                'base': self._revision,
                'document': self._document,
            },
        )
        self._revision = reply['revision']
        return sent_at

    def measure_change(self) -> float:
        """Return the seconds until every instance has applied a change."""
        sent_at = self.apply_change()
        self.wait_until_applied()
        return time.monotonic() - sent_at

    def wait_until_applied(self) -> None:
        """Wait until every instance has applied the last change."""
        deadline = time.monotonic() + CHANGE_TIMEOUT_SECONDS
        waiting = list(self.http_ports)
        while waiting and time.monotonic() < deadline:
            status = self._status(waiting[0])
            if status is not None and status['revision'] >= self._revision:
                waiting.pop(0)
            else:
                time.sleep(POLL_SECONDS)
        if waiting:
            raise SystemExit('The instances did not apply a change in time.')

    def store_calls(self) -> dict[str, float]:
        """Return the number of key-value service calls by kind."""
        url = f'{self._platform["key_value"]}/admin/calls'
        return dict(send('GET', url))

    def bytes_sent(self) -> list[int]:
        """Return the bytes sent to peers by each instance since its start."""
        return [
            (self._status(port) or {}).get('peer_bytes_sent', 0)
            for port in self.http_ports
        ]

    def count_list_reads(self) -> float:
        """Return the instance list reads, or 0 if the count is unavailable."""
        try:
            url = f'{self._platform["instance_list"]}/admin/calls'
            return float(sum(send('GET', url).values()))
        except OSError:
            return 0.0

    def stop(self) -> None:
        """Kill every process that was started."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()

    def _start_instance(self, number: int, free: list[int]) -> None:
        entry = {
            'id': f'entry-{number}',
            'data_centre': DATA_CENTRES[number % len(DATA_CENTRES)],
            'host': LOOPBACK,
            'http_port': free[0],
            'peer_port': free[1],
            'state': 'live',
        }
        url = f'{self._platform["instance_list"]}/admin/instances'
        send('PUT', f'{url}/{entry["id"]}', entry)
        command = [self._binary, '--instance', entry['id']]
        for name in ('data_centre', 'host', 'http_port', 'peer_port'):
            command += [f'--{name.replace("_", "-")}', str(entry[name])]
        for name in ('key_value', 'instance_list', 'weight_store'):
            command += [f'--{name.replace("_", "-")}', self._platform[name]]
        process = self._spawn(str(entry['id']), command)
        self.instances.append(psutil.Process(process.pid))
        self.http_ports.append(free[0])

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        log = (self._folder / f'{name}.log').open('wb')
        process = subprocess.Popen(command, stdout=log, stderr=log)
        self._processes.append(process)
        return process

    def _status(self, port: int) -> Any:
        try:
            return send('GET', f'{LOOPBACK}:{port}/v1/operators/status')
        except OSError:
            return None

    def _is_applied(self, revision: int) -> bool:
        for port in self.http_ports:
            status = self._status(port)
            if status is None or status['revision'] < revision:
                return False
        return True


def _build_document(targets: int) -> dict[str, Any]:
    engines = [
        {
            'id': f'engine-{number}',
            'model': 'model',
            'address': '127.0.0.1:1',
            'data_centre': DATA_CENTRES[number % len(DATA_CENTRES)],
        }
        for number in range(targets)
    ]
    return {'models': [{'name': 'model'}], 'engines': engines}


def _write_toml(path: pathlib.Path, document: dict[str, Any]) -> pathlib.Path:
    lines = ['[[models]]', 'name = "model"']
    for engine in document['engines']:
        lines.append('[[engines]]')
        lines += [f'{key} = "{value}"' for key, value in engine.items()]
    toml = path.with_suffix('.toml')
    toml.write_text('\n'.join(lines))
    return toml


def send(method: str, address: str, value: Any = None) -> Any:
    """Send one request and return its decoded reply."""
    request = urllib.request.Request(
        f'http://{address}',
        method=method,
        data=None if value is None else json.dumps(value).encode(),
    )
    with urllib.request.urlopen(request, timeout=10) as reply:
        return json.load(reply)


def wait_for(condition: Any) -> None:
    """Wait until a condition holds; exit the program on a timeout."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit('The fleet did not start in time.')
        time.sleep(0.05)
