"""Read an inventory document and check it."""

from __future__ import annotations

import json
import tomllib
from typing import Any

import msgspec

from yuccarill.core.config import conversion
from yuccarill.core.config import inventory as inventory_module
from yuccarill.core.config import rules
from yuccarill.core import errors

MAX_DOCUMENT_BYTES = 900_000
# A document of nothing but faults would otherwise make a reply of megabytes.
MAX_FAULTS = 200


def read(text: str, form: str = 'toml') -> inventory_module.Inventory:
    """Parse a document in the named form and check it.

    Raises InventoryInvalid with every fault that was found.
    """
    if len(text.encode(errors='replace')) > MAX_DOCUMENT_BYTES:
        raise errors.InventoryInvalid(
            f'document: over {MAX_DOCUMENT_BYTES} bytes; split the fleet'
        )
    try:
        plain = tomllib.loads(text) if form == 'toml' else json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.InventoryInvalid(f'document: {error}') from error
    return from_plain(plain)


def from_plain(plain: Any) -> inventory_module.Inventory:
    """Convert plain values to an inventory and check it.

    Raises InventoryInvalid with every fault that was found.
    """
    converted = conversion.Conversion(plain)
    faults = converted.faults + list(rules.faults(converted))
    if faults:
        raise errors.InventoryInvalid('\n'.join(_limited(faults)))
    return converted.inventory


def to_json(inventory: inventory_module.Inventory) -> bytes:
    """Encode an inventory in its canonical form."""
    return msgspec.json.encode(inventory, order='deterministic')


def from_json(data: bytes) -> inventory_module.Inventory:
    """Decode an inventory that was checked before it was stored."""
    return msgspec.json.decode(data, type=inventory_module.Inventory)


def _limited(faults: list[str]) -> list[str]:
    hidden = len(faults) - MAX_FAULTS
    if hidden <= 0:
        return faults
    return [*faults[:MAX_FAULTS], f'document: {hidden} more faults']
