"""Run instances against stand-ins and inject failures."""

from __future__ import annotations

from concurrent import futures
import copy
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from yuccarill.standins.demo import layout
from yuccarill.standins.demo import prepare

ROOT = pathlib.Path(__file__).resolve().parents[4]
EXAMPLE = ROOT / 'examples' / 'landesstelle.toml'
BIN = pathlib.Path(sys.executable).parent
# Long enough for a busy machine.
WAIT_SECONDS = 20.0
# Bounds the wait for a running process on a busy machine.
START_SECONDS = 90.0
POLL_SECONDS = 0.05
LOG_TAIL_CHARACTERS = 600


class Reply:
    """HTTP reply; status 0 means that the connection failed."""

    def __init__(self, status, body):
        self.status = status
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def code(self):
        return self.json.get('code') if self.status else None


def send(method, url, value=None, headers=None, seconds=WAIT_SECONDS):
    """Send one request; status 0 means that no complete reply arrived."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as reply:
            return Reply(reply.status, reply.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.read())
    except (OSError, ValueError) as error:
        return Reply(0, repr(error).encode())


def wait_for(condition, expectation):
    """Wait until a condition is true and return its value."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f'{expectation}: not reached within {WAIT_SECONDS} s')


class Deployment:
    """Stand-ins and instances, each in its own process."""

    def __init__(self, count=3, flags=(), is_relayed=False):
        self._scratch = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._scratch.name)
        self._processes = {}
        self._logs = []
        self.pool = futures.ThreadPoolExecutor(16)
        try:
            self._start(count, flags, is_relayed)
        except BaseException as error:
            error.add_note(self._log_tails())
            self.close()
            raise

    def _start(self, count, flags, is_relayed):
        self._spawn(
            'standins',
            [sys.executable, '-m', 'yuccarill.standins'],
            [str(EXAMPLE), str(self.folder)],
        )
        platform = self.folder / 'platform.json'
        self._wait_for_start(
            'standins',
            lambda: platform.exists() and platform.read_text().endswith('}'),
            'platform.json is incomplete',
        )
        prepare.prepare(self.folder, count)
        self.layout = layout.Layout(self.folder)
        for line in (self.folder / 'instances.txt').read_text().splitlines():
            name, *arguments = line.split()
            self._spawn(name, [str(BIN / 'yuccarilld')], [*arguments, *flags])
        self.addresses = self.layout.addresses
        for instance in self.layout.instances:
            self.register_instance(instance, is_relayed)
        names_by_address = dict(
            zip(
                self.addresses,
                (instance['id'] for instance in self.layout.instances),
                strict=True,
            )
        )
        for address, name in names_by_address.items():
            self._wait_for_start(
                name,
                lambda a=address: self.status(a),
                'the instance returns no status',
            )
        self.apply(self.layout.inventory, base=0, expect=200)
        for address, name in names_by_address.items():
            self._wait_for_start(
                name,
                lambda a=address: self._knows_all(a, count),
                'the instance does not know all instances at revision 1',
            )

    def _wait_for_start(self, name, condition, missing):
        deadline = time.monotonic() + START_SECONDS
        while not condition():
            code = self._processes[name].poll()
            if code is not None:
                raise AssertionError(f'{name} exited with {code}: {missing}.')
            if time.monotonic() >= deadline:
                raise AssertionError(
                    f'{name} is running but not ready: {missing} after '
                    f'{START_SECONDS} s.'
                )
            time.sleep(POLL_SECONDS)

    def close(self):
        """Kill all processes and remove their files."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        for log in self._logs:
            log.close()
        self.pool.shutdown(cancel_futures=True)
        self._scratch.cleanup()

    def signal(self, number, which):
        """Send a signal to an instance."""
        self._processes[f'entry-{number + 1}'].send_signal(which)

    def kill(self, number):
        """Kill an instance without warning."""
        self.signal(number, signal.SIGKILL)
        self._processes[f'entry-{number + 1}'].wait()

    def exit_code(self, number):
        """Wait until an instance exits; return its exit code."""
        return self._processes[f'entry-{number + 1}'].wait(WAIT_SECONDS)

    def register_instance(self, instance, is_relayed=False):
        """Register an instance in the list, optionally behind a relay."""
        if is_relayed:
            peer = f'{instance["host"]}:{instance["peer_port"]}'
            relay = f'relays/{instance["id"]}'
            address = self.admin('relays', relay, {'to': peer})['address']
            port = int(address.rpartition(':')[2])
            instance = {**instance, 'peer_port': port}
        self.admin('instance_list', f'instances/{instance["id"]}', instance)

    def admin(self, service, path, value=None):
        """Read an admin resource of a stand-in, or change it."""
        address = self.layout.platform.get(service, service)
        method = 'GET' if value is None else 'PUT'
        reply = send(method, f'http://{address}/admin/{path}', value)
        assert reply.status == 200, (path, reply.status, reply.body)
        return reply.json

    def writes(self, prefix):
        """Return the logged writes of keys with a prefix."""
        return self.admin('key_value', f'writes?prefix={prefix}')

    def hold_writes(self, prefix, count=1):
        """Make the store hold the next writes of keys with a prefix."""
        changes = {'hold_writes': count, 'only_keys': prefix}
        self.admin('key_value', 'faults', changes)

    def wait_for_held(self):
        """Wait until the store holds a write."""
        wait_for(lambda: self.admin('key_value', 'held'), 'a write is held')

    def release_writes(self):
        """Release the held writes and hold no further ones."""
        self.admin('key_value', 'faults', {'hold_writes': 0})
        return self.admin('key_value', 'held', [])

    def stored_value(self, key):
        """Return the stored value of a key, or None."""
        store = self.layout.platform['key_value']
        reply = send('GET', f'http://{store}/v1/keys/{key}')
        return reply.body if reply.status == 200 else None

    def set_target_faults(self, faults):
        """Set the faults of all plain targets."""
        for target in self.layout.inventory['targets']:
            self.admin(target['address'], 'faults', faults)

    def runs(self, request_id=None):
        """Return the runs recorded by plain targets."""
        found = [
            run
            for target in self.layout.inventory['targets']
            for run in self.admin(target['address'], 'runs')
        ]
        if request_id is None:
            return found
        return [run for run in found if run['request_id'] == request_id]

    def status(self, address):
        """Return the status of an instance, or None."""
        url = f'http://{address}/v1/operators/status'
        reply = send('GET', url, seconds=2.0)
        return reply.json if reply.status == 200 else None

    def apply(
        self,
        inventory,
        base,
        expect=None,
        number=0,
        author='test',
        change_id=None,
    ):
        """Apply an inventory through an instance."""
        url = f'http://{self.addresses[number]}/v1/operators/configuration'
        value = {'author': author, 'base': base, 'document': inventory}
        if change_id is not None:
            value['change_id'] = change_id
        reply = send('PUT', url, value)
        if expect is not None:
            assert reply.status == expect, (reply.status, reply.body)
        return reply

    def changed_inventory(self, caller='one-more'):
        """Return the inventory with one more caller."""
        inventory = copy.deepcopy(self.layout.inventory)
        inventory['callers'].append({'id': caller})
        return inventory

    def revisions(self):
        """Return the revisions in force at the instances."""
        return {self.status(address)['revision'] for address in self.addresses}

    def call(self, number, path, request_id, ticket=None):
        """Call the plain service through an instance."""
        service = self.layout.inventory['services'][0]['name']
        url = f'http://{self.addresses[number]}/v1/services/{service}/{path}'
        headers = {'Yuccarill-Request-Id': request_id}
        if ticket is not None:
            headers['Yuccarill-Ticket'] = ticket
        return send('POST', url, {'of': request_id}, headers)

    def address_reply(self, number):
        """Return the address reply of an instance."""
        url = f'http://{self.addresses[number]}/v1/addresses'
        reply = send('GET', url)
        assert reply.status == 200, (reply.status, reply.body)
        return reply.json

    def _log_tails(self):
        return '\n'.join(
            f'{path.name}: {path.read_text()[-LOG_TAIL_CHARACTERS:]}'
            for path in sorted(self.folder.glob('*.log'))
        )

    def _knows_all(self, address, count):
        status = self.status(address)
        return (
            status
            and status['revision'] == 1
            and len(status['instances']) == count
        )

    def _spawn(self, name, command, arguments):
        log = (self.folder / f'{name}.log').open('wb')
        self._logs.append(log)
        self._processes[name] = subprocess.Popen(
            [*command, *arguments], stdout=log, stderr=subprocess.STDOUT
        )
