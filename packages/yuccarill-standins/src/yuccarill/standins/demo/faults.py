"""What goes wrong, and what operators change, in the demonstration."""

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
from yuccarill.standins.demo import duties
from yuccarill.standins.demo import places as places_module
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.places import Places

CRASHED_SECONDS = 2.0
# Seconds that the platform takes to notice a change of an instance.
PLATFORM_LAG_SECONDS = 2.0
CLOSED_SECONDS = 1.5
FROZEN_SECONDS = 2.0
STOP_SECONDS = 30.0
SCORER_FAULTS = {'fail_calls': 2, 'answer_twice': 2, 'answer_another': 2}


class FaultRecords(msgspec.Struct):
    """Record what was done, in wall clock time."""

    killed: str = ''
    killed_at: float = 0.0
    stopped: str = ''
    stopped_at: float = 0.0
    exited_at: float = 0.0
    removed: list[str] = []
    removed_address: list[str] = []
    # Between these two the command that applied the change ran.
    apply_begun_at: float = 0.0
    accepted_at: float = 0.0
    revision: int = 0


class Faults:
    """Cause one thing after another."""

    def __init__(self, places: Places) -> None:
        self._places = places
        self.records = FaultRecords()
        self._left = list(places.instances)

    async def slow_engines(self, seconds: float) -> None:
        """Let each chunk of tokens take some seconds."""
        for engine in self._places.inventory['engines']:
            order = {'seconds_per_chunk': seconds}
            await _order(engine['address'], 'faults', order)

    async def close_targets(self) -> None:
        """Let every plain target refuse connections for a time."""
        click.echo('All plain targets refuse connections for a time.')
        for target in self._places.inventory['targets']:
            await _order(target['address'], 'close', CLOSED_SECONDS)
        await server.sleep(CLOSED_SECONDS)

    async def freeze_target(self) -> None:
        """Let one plain target stand still for a time."""
        target = self._places.inventory['targets'][0]
        click.echo(f'Target {target["id"]} stands still for a time.')
        await _order(target['address'], 'faults', {'is_frozen': True})
        await server.sleep(FROZEN_SECONDS)
        await _order(target['address'], 'faults', {'is_frozen': False})

    async def trouble_engines(self) -> None:
        """Let engines and scorers fail in several ways."""
        first, second, third, *_ = self._places.inventory['engines']
        click.echo(
            f'Engine {first["id"]} fails to swap weights, {second["id"]} '
            f'breaks off answers, {third["id"]} crashes; scorers fail, answer '
            'twice and for other samples.'
        )
        await _order(first['address'], 'faults', {'fail_swaps': 2})
        await _order(second['address'], 'faults', {'cut_streams': 3})
        for scorer in self._places.inventory['scorers']:
            await _order(scorer['address'], 'faults', SCORER_FAULTS)
        await _order(third['address'], 'faults', {'is_crashed': True})
        await server.sleep(CRASHED_SECONDS)
        await _order(third['address'], 'faults', {'is_crashed': False})

    async def kill_instance(self) -> None:
        """Kill the trainer's instance, which the platform notices later."""
        holder = await duties.trainer_holder(self._places)
        instance = next(
            (entry for entry in self._left if entry['id'] == holder),
            self._left[0],
        )
        self._left.remove(instance)
        self.records.killed = instance['id']
        click.echo(
            f"Instance {instance['id']} is killed; the trainer's steps were "
            f'worked on by {holder or "none"}.'
        )
        self.records.killed_at = time.time()
        os.kill(self._places.pid(instance['id']), signal.SIGKILL)
        await server.sleep(PLATFORM_LAG_SECONDS)
        await self._list('DELETE', instance)

    async def stop_instance(self) -> None:
        """Stop one instance in a planned way and wait for its end."""
        instance = self._left.pop()
        self.records.stopped = instance['id']
        (self._places.folder / 'stopped.txt').write_text(instance['id'])
        click.echo(f'Instance {instance["id"]} is stopped as planned.')
        pid = self._places.pid(instance['id'])
        self.records.stopped_at = time.time()
        os.kill(pid, signal.SIGTERM)
        await server.sleep(PLATFORM_LAG_SECONDS)
        await self._list('PUT', {**instance, 'state': 'leaving'})
        given_up_at = time.time() + STOP_SECONDS
        while time.time() < given_up_at and _is_running(pid):
            await server.sleep(0.05)
        self.records.exited_at = time.time()
        await self._list('DELETE', instance)

    async def remove_targets(self) -> None:
        """Apply an inventory without one plain target and one engine."""
        inventory = json.loads(json.dumps(self._places.inventory))
        removed = [inventory['targets'].pop(), inventory['engines'].pop()]
        names = [entry['id'] for entry in removed]
        click.echo(f'Targets {", ".join(names)} leave the inventory.')
        path = self._places.folder / 'inventory-2.json'
        path.write_text(json.dumps(inventory))
        survivor = places_module.address_of(self._left[0])
        command = os.path.join(os.path.dirname(sys.executable), 'yuccarill')
        words = ['--address', survivor, 'apply', str(path), '--base', '1']
        self.records.apply_begun_at = time.time()
        out, err, code = await utils.getProcessOutputAndValue(
            command, [*words, '--author', 'demo'], os.environ
        )
        self.records.accepted_at = time.time()
        click.echo(f'  {(out + err).decode().strip()}')
        if code:
            raise SystemExit(f'apply ended with {code}')
        self.records.revision = 2
        self.records.removed = names
        self.records.removed_address = [e['address'] for e in removed]

    async def _list(self, method: str, instance: dict[str, Any]) -> None:
        base = f'http://{self._places.platform["instance_list"]}'
        url = f'{base}/admin/instances/{instance["id"]}'
        await client.send(method, url, instance)


async def _order(address: str, place: str, value: Any) -> None:
    await client.send('PUT', f'http://{address}/admin/{place}', value)


def _is_running(pid: int) -> bool:
    # An ended process stays in the table until the shell that started it
    # waits for it; its state tells the difference.
    try:
        with open(f'/proc/{pid}/stat') as stat:
            return stat.read().rpartition(')')[2].split()[0] != 'Z'
    except FileNotFoundError:
        return False
