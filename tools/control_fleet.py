"""Run stand-ins and instances on loopback to measure them."""

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
START_SECONDS = 60.0
IN_FORCE_SECONDS = 20.0
POLL_SECONDS = 0.02


class Fleet:
    """Run stand-ins and instances of one build."""

    def __init__(
        self, binary: str, instances: int, targets: int, folder: pathlib.Path
    ) -> None:
        self._binary = binary
        self._folder = folder
        self._count = instances
        self._document = _document(targets)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._platform: dict[str, str] = {}
        self._revision = 0
        self.http_ports: list[int] = []
        self.members: list[psutil.Process] = []

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
                str(_as_toml(example, self._document)),
                str(self._folder),
            ],
        )
        ready = self._folder / 'platform.json'
        until(lambda: ready.exists() and ready.stat().st_size > 0)
        self._platform = json.loads(ready.read_text())
        inventory = self._folder / 'inventory.json'
        self._document = json.loads(inventory.read_text())
        chosen = ports.free(2 * self._count)
        for number in range(self._count):
            self._start_instance(number, chosen[2 * number : 2 * number + 2])
        for port in self.http_ports:
            until(lambda port=port: self._status(port) is not None)
        self.change()
        until(lambda: self._in_force(self._revision))

    def change(self) -> float:
        """Apply a changed inventory; return when it was sent."""
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

    def seconds_in_force(self) -> float:
        """Apply a change and wait until every instance has it."""
        sent_at = self.change()
        self.wait_in_force()
        return time.monotonic() - sent_at

    def wait_in_force(self) -> None:
        """Wait until every instance has the last change."""
        deadline = time.monotonic() + IN_FORCE_SECONDS
        waiting = list(self.http_ports)
        while waiting and time.monotonic() < deadline:
            status = self._status(waiting[0])
            if status is not None and status['revision'] >= self._revision:
                waiting.pop(0)
            else:
                time.sleep(POLL_SECONDS)
        if waiting:
            raise SystemExit('A change was not in force in time.')

    def store_calls(self) -> dict[str, float]:
        """Return the key-value service's counts by kind."""
        url = f'{self._platform["key_value"]}/admin/calls'
        return dict(send('GET', url))

    def bytes_sent(self) -> list[int]:
        """Return what each instance sent its peers since its start."""
        return [
            (self._status(port) or {}).get('peer_bytes_sent', 0)
            for port in self.http_ports
        ]

    def list_calls(self) -> float:
        """Return how often the instance list was read, if it tells."""
        try:
            url = f'{self._platform["instance_list"]}/admin/calls'
            return float(sum(send('GET', url).values()))
        except OSError:
            return 0.0

    def stop(self) -> None:
        """End every process that was started."""
        for process in self._processes:
            process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()

    def _start_instance(self, number: int, chosen: list[int]) -> None:
        entry = {
            'id': f'entry-{number}',
            'data_centre': DATA_CENTRES[number % len(DATA_CENTRES)],
            'host': LOOPBACK,
            'http_port': chosen[0],
            'peer_port': chosen[1],
            'state': 'live',
        }
        url = f'{self._platform["instance_list"]}/admin/instances'
        send('PUT', f'{url}/{entry["id"]}', entry)
        words = [self._binary, '--instance', entry['id']]
        for name in ('data_centre', 'host', 'http_port', 'peer_port'):
            words += [f'--{name.replace("_", "-")}', str(entry[name])]
        for name in ('key_value', 'instance_list', 'weight_store'):
            words += [f'--{name.replace("_", "-")}', self._platform[name]]
        process = self._spawn(str(entry['id']), words)
        self.members.append(psutil.Process(process.pid))
        self.http_ports.append(chosen[0])

    def _spawn(self, name: str, words: list[str]) -> subprocess.Popen[bytes]:
        log = (self._folder / f'{name}.log').open('wb')
        process = subprocess.Popen(words, stdout=log, stderr=log)
        self._processes.append(process)
        return process

    def _status(self, port: int) -> Any:
        try:
            return send('GET', f'{LOOPBACK}:{port}/v1/operators/status')
        except OSError:
            return None

    def _in_force(self, revision: int) -> bool:
        for port in self.http_ports:
            status = self._status(port)
            if status is None or status['revision'] < revision:
                return False
        return True


def _document(targets: int) -> dict[str, Any]:
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


def _as_toml(path: pathlib.Path, document: dict[str, Any]) -> pathlib.Path:
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


def until(condition: Any) -> None:
    """Wait until a condition holds, or end the program."""
    deadline = time.monotonic() + START_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit('The fleet did not start in time.')
        time.sleep(0.05)
