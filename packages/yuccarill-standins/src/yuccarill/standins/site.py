"""Start the stand-ins for one inventory."""

from __future__ import annotations

import json
import tomllib
from typing import TYPE_CHECKING

from yuccarill.standins import engine
from yuccarill.standins import instance_list
from yuccarill.standins import key_value
from yuccarill.standins import plain_target
from yuccarill.standins import relay
from yuccarill.standins import scorer
from yuccarill.standins import server
from yuccarill.standins import weight_store

if TYPE_CHECKING:
    import pathlib


async def start(example: pathlib.Path, folder: pathlib.Path) -> None:
    """Serve the stand-ins of an example inventory on loopback.

    Writes inventory.json with the addresses in use, and platform.json.
    """
    inventory = tomllib.loads(example.read_text())
    for entry in inventory.get('engines', []):
        app = engine.EngineStandIn(
            entry['id'], entry.get('checks_fencing', False), entry['model']
        ).app
        entry['address'] = await _serve(app)
    for entry in inventory.get('targets', []):
        target = plain_target.PlainTargetStandIn(entry['id'])
        target.listening = await server.listen(target.app)
        entry['address'] = server.address_of(target.listening)
    for entry in inventory.get('scorers', []):
        entry['address'] = await _serve(scorer.ScorerStandIn().app)
    platform = {
        'key_value': await _serve(key_value.KeyValueStandIn().app),
        'instance_list': await _serve(instance_list.InstanceListStandIn().app),
        'weight_store': await _serve(weight_store.WeightStoreStandIn().app),
        'relays': await _serve(relay.RelayAdmin().app),
    }
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'inventory.json').write_text(json.dumps(inventory, indent=1))
    # Written last: scripts wait for this file before they send requests.
    (folder / 'platform.json').write_text(json.dumps(platform, indent=1))


async def _serve(app: object) -> str:
    return server.address_of(await server.listen(app))
