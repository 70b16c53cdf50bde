"""Read an inventory document and check it."""

from __future__ import annotations

import ipaddress
import json
import tomllib
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.config import inventory as inventory_module
from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_DOCUMENT_BYTES = 900_000


def read(text: str, form: str = 'toml') -> inventory_module.Inventory:
    """Parse a document in the named form and check it.

    Raises InventoryInvalid with every fault that was found.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise errors.InventoryInvalid(
            f'document: over {MAX_DOCUMENT_BYTES} bytes; split the fleet'
        )
    try:
        plain = tomllib.loads(text) if form == 'toml' else json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.InventoryInvalid(f'document: {error}') from error
    return from_plain(plain)


def from_plain(plain: Any) -> inventory_module.Inventory:
    """Convert plain values to an inventory and check it."""
    try:
        inventory = msgspec.convert(plain, inventory_module.Inventory)
    except msgspec.ValidationError as error:
        raise errors.InventoryInvalid(str(error)) from error
    faults = list(_faults(inventory))
    if faults:
        raise errors.InventoryInvalid('\n'.join(faults))
    return inventory


def to_json(inventory: inventory_module.Inventory) -> bytes:
    """Encode an inventory in its canonical form."""
    return msgspec.json.encode(inventory, order='deterministic')


def from_json(data: bytes) -> inventory_module.Inventory:
    """Decode an inventory that was checked before it was stored."""
    return msgspec.json.decode(data, type=inventory_module.Inventory)


def _faults(inventory: inventory_module.Inventory) -> Iterator[str]:
    yield from _doubled('callers', [str(c.id) for c in inventory.callers])
    yield from _doubled('models', [str(m.name) for m in inventory.models])
    yield from _doubled('services', [str(s.name) for s in inventory.services])
    yield from _doubled('scorers', [str(s.id) for s in inventory.scorers])
    yield from _doubled('trainers', [str(t.id) for t in inventory.trainers])
    yield from _doubled(
        'engines and targets',
        [str(e.id) for e in inventory.engines]
        + [str(t.id) for t in inventory.targets],
    )
    models = {model.name for model in inventory.models}
    services = {service.name for service in inventory.services}
    scorers = {scorer.id for scorer in inventory.scorers}
    for engine in inventory.engines:
        place = f'engines {engine.id}'
        yield from _address(place, engine.address)
        yield from _known(place, 'model', engine.model, models.__contains__)
    for target in inventory.targets:
        place = f'targets {target.id}'
        yield from _address(place, target.address)
        yield from _known(
            place, 'service', target.service, services.__contains__
        )
    for scorer in inventory.scorers:
        yield from _address(f'scorers {scorer.id}', scorer.address)
    for trainer in inventory.trainers:
        place = f'trainers {trainer.id}'
        yield from _known(place, 'model', trainer.model, models.__contains__)
        yield from _known(
            place, 'scorer', trainer.scorer, scorers.__contains__
        )
        if trainer.staleness_bound < 0:
            yield f'{place}: staleness_bound is below 0; write 0 or more'


def _doubled(section: str, names: list[str]) -> Iterator[str]:
    for name in sorted(set(names)):
        if not name:
            yield f'{section}: an entry has an empty name; give it one'
        elif names.count(name) > 1:
            yield f'{section}: {name} stands twice; rename or remove one'


def _known(
    place: str, kind: str, name: str, is_known: Callable[[Any], bool]
) -> Iterator[str]:
    if not is_known(name):
        yield f'{place}: {kind} {name} is not described; add it or correct it'


def _address(place: str, address: str) -> Iterator[str]:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        yield f'{place}: address {address} is wrong; write an IP and a port'
