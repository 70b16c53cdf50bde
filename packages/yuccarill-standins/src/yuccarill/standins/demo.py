"""Drive the demonstration: callers, a trainer and faults."""

from __future__ import annotations

import json
import pathlib
import socket
import sys
from typing import Any

import click
from twisted.internet import defer
from twisted.internet import reactor

from yuccarill.standins import client
from yuccarill.standins import server

INSTANCES = 6
START_SECONDS = 30
STEP_SECONDS = 30


@click.group()
def main() -> None:
    """Prepare and run the demonstration in FOLDER."""


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def prepare(folder: pathlib.Path) -> None:
    """Choose ports and write the instances' flags."""
    inventory = json.loads((folder / 'inventory.json').read_text())
    platform = json.loads((folder / 'platform.json').read_text())
    centres = sorted({e['data_centre'] for e in inventory['engines']})
    ports = _free_ports(2 * INSTANCES)
    instances = []
    lines = []
    for number in range(INSTANCES):
        instance = {
            'id': f'entry-{number + 1}',
            'data_centre': centres[number % len(centres)],
            'host': server.LOOPBACK,
            'http_port': ports[2 * number],
            'peer_port': ports[2 * number + 1],
            'state': 'live',
        }
        instances.append(instance)
        flags = {
            'instance': instance['id'],
            'data-centre': instance['data_centre'],
            'host': instance['host'],
            'http-port': instance['http_port'],
            'peer-port': instance['peer_port'],
            'key-value': platform['key_value'],
            'instance-list': platform['instance_list'],
            'weight-store': platform['weight_store'],
        }
        words = ' '.join(f'--{k} {v}' for k, v in flags.items())
        lines.append(f'{instance["id"]} {words}\n')
    (folder / 'instances.json').write_text(json.dumps(instances))
    (folder / 'instances.txt').write_text(''.join(lines))
    (folder / 'first-address.txt').write_text(_address(instances[0]))


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def wait(folder: pathlib.Path) -> None:
    """Enter the instances in the list and wait until they answer."""
    _run(Demo(folder).wait())


@main.command()
@click.argument('folder', type=click.Path(path_type=pathlib.Path))
def run(folder: pathlib.Path) -> None:
    """Call, train and print what was counted."""
    _run(Demo(folder).run())


class Demo:
    """Hold the demonstration's places."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._platform = json.loads((folder / 'platform.json').read_text())
        self._instances = json.loads((folder / 'instances.json').read_text())
        self._inventory = json.loads((folder / 'inventory.json').read_text())

    async def wait(self) -> None:
        """Enter the instances and wait for each."""
        for instance in self._instances:
            url = f'http://{self._platform["instance_list"]}/admin/instances'
            await client.send('PUT', f'{url}/{instance["id"]}', instance)
            await self._answers(instance)

    async def run(self) -> None:
        """Do one of each job."""
        for instance in self._instances:
            await self._in_force(instance)
        first = _address(self._instances[0])
        base = f'http://{first}/v1'
        told = (await client.send('GET', f'{base}/addresses')).json()
        click.echo(f'addresses: {len(told["addresses"])}')
        service = self._inventory['services'][0]
        once = service['not_repeatable'][0]
        headers = {
            'Yuccarill-Request-Id': 'r1',
            'Yuccarill-Ticket': told['ticket'],
        }
        for address in told['addresses'][:3]:
            url = f'http://{address}/v1/services/{service["name"]}/{once}'
            reply = await client.send('POST', url, {'a': 1}, headers)
            click.echo(f'call: {reply.status} {reply.body.decode()}')
        model = self._inventory['models'][0]['name']
        reply = await client.send(
            'POST',
            f'{base}/models/{model}/generate',
            {'prompt': 'Freising 8 am', 'max_tokens': 10},
            headers,
        )
        click.echo(f'generate: {reply.status}, {len(reply.body)} bytes')
        await self._train(base)

    async def _train(self, base: str) -> None:
        trainer = self._inventory['trainers'][0]['id']
        url = f'{base}/trainers/{trainer}/steps'
        groups = [{'prompt': f'p{n}', 'samples': 4} for n in range(8)]
        step = {'step': 1, 'newest_version': 1, 'groups': groups}
        reply = await client.send('POST', url, step)
        click.echo(f'step: {reply.status}')
        for _ in range(STEP_SECONDS * 5):
            reply = await client.send('GET', f'{url}/1')
            if reply.status != 202:
                break
            await server.sleep(0.2)
        if reply.status != 200:
            raise SystemExit(f'step: {reply.status} {reply.body!r}')
        click.echo(f'samples: {len(reply.json()["samples"])}')
        await client.send('PUT', f'{url}/1/acknowledgement')

    async def _answers(self, instance: dict[str, Any]) -> None:
        url = f'http://{_address(instance)}/v1/operators/status'
        for _ in range(START_SECONDS * 10):
            try:
                await client.send('GET', url)
                return
            except Exception:
                await server.sleep(0.1)
        raise SystemExit(f'{instance["id"]} did not start')

    async def _in_force(self, instance: dict[str, Any]) -> None:
        url = f'http://{_address(instance)}/v1/operators/status'
        for _ in range(START_SECONDS * 10):
            status = (await client.send('GET', url)).json()
            if status['revision'] and len(status['instances']) == INSTANCES:
                return
            await server.sleep(0.1)
        raise SystemExit(f'{instance["id"]} has no configuration')


def _address(instance: dict[str, Any]) -> str:
    return f'{instance["host"]}:{instance["http_port"]}'


def _free_ports(count: int) -> list[int]:
    sockets = [
        socket.create_server((server.LOOPBACK, 0)) for _ in range(count)
    ]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def _run(work: Any) -> None:
    code = 0

    def fail(failure: Any) -> None:
        nonlocal code
        code = 1
        click.echo(failure.getErrorMessage(), err=True)

    def begin() -> None:
        done = defer.ensureDeferred(work)
        done.addErrback(fail)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    sys.exit(code)


if __name__ == '__main__':
    main()
