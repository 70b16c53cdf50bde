"""Reserve ports and write the command lines of the instances."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.standins.demo import layout as layout_module
from yuccarill.standins import ports
from yuccarill.standins import server

if TYPE_CHECKING:
    import pathlib

INSTANCES = 6
# The first instances have a disk, each in its own data centre.
DISK_INSTANCES = 3


def prepare(folder: pathlib.Path, count: int = INSTANCES) -> None:
    """Write instances.json, instances.txt and first-address.txt."""
    layout = layout_module.Layout(folder)
    centres = sorted({e['data_centre'] for e in layout.inventory['engines']})
    free_ports = ports.reserve(2 * count)
    instances = [
        {
            'id': f'entry-{number + 1}',
            'data_centre': centres[number % len(centres)],
            'host': server.LOOPBACK,
            'http_port': free_ports[2 * number],
            'peer_port': free_ports[2 * number + 1],
            'state': 'live',
        }
        for number in range(count)
    ]
    lines = [_arguments(instance, layout.platform) for instance in instances]
    for number in range(min(count, DISK_INSTANCES)):
        data = (folder / 'data' / instances[number]['id']).resolve()
        data.mkdir(parents=True, exist_ok=True)
        lines[number] = f'{lines[number].rstrip()} --data-folder {data}\n'
    (folder / 'instances.json').write_text(json.dumps(instances))
    (folder / 'instances.txt').write_text(''.join(lines))
    first = layout_module.address_of(instances[0])
    (folder / 'first-address.txt').write_text(first)


def _arguments(instance: dict[str, Any], platform: dict[str, str]) -> str:
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
    arguments = ' '.join(f'--{name} {value}' for name, value in flags.items())
    return f'{instance["id"]} {arguments}\n'
