"""Faults and operator changes of the demonstration."""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from typing import Any
from typing import TYPE_CHECKING

import click
import msgspec
from twisted.internet import utils

from yuccarill.standins import client
from yuccarill.standins.demo import layout as layout_module
from yuccarill.standins.demo import trainer_lease
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

CRASHED_SECONDS = 2.0
# Delay of the platform in noticing a change of an instance.
PLATFORM_LAG_SECONDS = 2.0
CLOSED_SECONDS = 1.5
FROZEN_SECONDS = 2.0
STOP_SECONDS = 30.0
SCORER_FAULTS = {'fail_calls': 2, 'answer_twice': 2, 'answer_another': 2}


class FaultRecords(msgspec.Struct):
    """Injected faults with their wall clock times."""

    killed: str = ''
    killed_at: float = 0.0
    stopped: str = ''
    stopped_at: float = 0.0
    exited_at: float = 0.0
    removed: list[str] = []
    removed_address: list[str] = []
    # Start and end of the apply command.
    apply_begun_at: float = 0.0
    accepted_at: float = 0.0
    revision: int = 0


class Faults:
    """Inject faults and operator changes."""

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self.records = FaultRecords()
        self._live_instances = list(layout.instances)

    async def slow_engines(self, seconds: float) -> None:
        """Set the seconds per chunk of tokens."""
        for engine in self._layout.inventory['engines']:
            changes = {'seconds_per_chunk': seconds}
            await _put_admin(engine['address'], 'faults', changes)

    async def close_targets(self) -> None:
        """Make every plain target refuse connections for a time."""
        click.echo('All plain targets refuse connections for a time.')
        for target in self._layout.inventory['targets']:
            await _put_admin(target['address'], 'close', CLOSED_SECONDS)
        await server.sleep(CLOSED_SECONDS)

    async def freeze_target(self) -> None:
        """Freeze one plain target for a time."""
        target = self._layout.inventory['targets'][0]
        click.echo(f'Target {target["id"]} is frozen for a time.')
        await _put_admin(target['address'], 'faults', {'is_frozen': True})
        await server.sleep(FROZEN_SECONDS)
        await _put_admin(target['address'], 'faults', {'is_frozen': False})

    async def inject_engine_faults(self) -> None:
        """Inject faults into engines and scorers."""
        first, second, third, *_ = self._layout.inventory['engines']
        click.echo(
            f'Engine {first["id"]} fails to swap weights, {second["id"]} cuts '
            f'streams and {third["id"]} crashes. Scorers fail, reply twice '
            'and reply for other samples.'
        )
        await _put_admin(first['address'], 'faults', {'fail_swaps': 2})
        await _put_admin(second['address'], 'faults', {'cut_streams': 3})
        for scorer in self._layout.inventory['scorers']:
            await _put_admin(scorer['address'], 'faults', SCORER_FAULTS)
        await _put_admin(third['address'], 'faults', {'is_crashed': True})
        await server.sleep(CRASHED_SECONDS)
        await _put_admin(third['address'], 'faults', {'is_crashed': False})

    async def kill_instance(self) -> None:
        """Kill the holder of the trainer's lease; delist it after a delay."""
        holder = await trainer_lease.trainer_holder(self._layout)
        instance = next(
            (entry for entry in self._live_instances if entry['id'] == holder),
            self._live_instances[0],
        )
        self._live_instances.remove(instance)
        self.records.killed = instance['id']
        click.echo(
            f'Instance {instance["id"]} is killed; the holder of the '
            f"trainer's steps was {holder or 'none'}."
        )
        self.records.killed_at = time.time()
        os.kill(self._layout.pid(instance['id']), signal.SIGKILL)
        await server.sleep(PLATFORM_LAG_SECONDS)
        await self._update_list('DELETE', instance)

    async def stop_instance(self) -> None:
        """Stop one instance gracefully and wait until it exits."""
        instance = self._live_instances.pop()
        self.records.stopped = instance['id']
        (self._layout.folder / 'stopped.txt').write_text(instance['id'])
        click.echo(f'Instance {instance["id"]} is stopped gracefully.')
        pid = self._layout.pid(instance['id'])
        self.records.stopped_at = time.time()
        os.kill(pid, signal.SIGTERM)
        await server.sleep(PLATFORM_LAG_SECONDS)
        await self._update_list('PUT', {**instance, 'state': 'leaving'})
        deadline = time.time() + STOP_SECONDS
        while time.time() < deadline and _is_running(pid):
            await server.sleep(0.05)
        self.records.exited_at = time.time()
        await self._update_list('DELETE', instance)

    async def remove_targets(self) -> None:
        """Remove one plain target and one engine from the inventory."""
        inventory = json.loads(json.dumps(self._layout.inventory))
        removed = [inventory['targets'].pop(), inventory['engines'].pop()]
        names = [entry['id'] for entry in removed]
        click.echo(f'Targets {", ".join(names)} are being removed.')
        path = self._layout.folder / 'inventory-2.json'
        path.write_text(json.dumps(inventory))
        survivor = layout_module.address_of(self._live_instances[0])
        command = os.path.join(os.path.dirname(sys.executable), 'yuccarill')
        arguments = ['--address', survivor, 'apply', str(path), '--base', '1']
        self.records.apply_begun_at = time.time()
        out, err, code = await utils.getProcessOutputAndValue(
            command, [*arguments, '--author', 'demo'], os.environ
        )
        self.records.accepted_at = time.time()
        click.echo(f'  {(out + err).decode().strip()}')
        if code:
            raise SystemExit(f'Apply failed with exit code {code}.')
        self.records.revision = 2
        self.records.removed = names
        self.records.removed_address = [e['address'] for e in removed]

    async def _update_list(
        self, method: str, instance: dict[str, Any]
    ) -> None:
        base = f'http://{self._layout.platform["instance_list"]}'
        url = f'{base}/admin/instances/{instance["id"]}'
        await client.send(method, url, instance)


async def _put_admin(address: str, path: str, value: Any) -> None:
    await client.send('PUT', f'http://{address}/admin/{path}', value)


def _is_running(pid: int) -> bool:
    # An exited process stays a zombie until its parent shell reaps it.
    try:
        with open(f'/proc/{pid}/stat') as stat:
            return stat.read().rpartition(')')[2].split()[0] != 'Z'
    except FileNotFoundError:
        return False
