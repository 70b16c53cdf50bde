"""Parse and validate inventory documents."""

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
# Bounds the size of the error reply.
MAX_FAULTS = 200


def read(text: str, syntax: str = 'toml') -> inventory_module.Inventory:
    """Parse a TOML or JSON document and validate it.

    Raises InventoryInvalid with all faults found.
    """
    if len(text.encode(errors='replace')) > MAX_DOCUMENT_BYTES:
        raise errors.InventoryInvalid(
            f'document: over {MAX_DOCUMENT_BYTES} bytes; split the inventory'
        )
    try:
        parsed = tomllib.loads(text) if syntax == 'toml' else json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.InventoryInvalid(f'document: {error}') from error
    return from_decoded(parsed)


def from_decoded(parsed: Any) -> inventory_module.Inventory:
    """Convert a decoded document to an inventory and validate it.

    Raises InventoryInvalid with all faults found.
    """
    conversion_result = conversion.Conversion(parsed)
    faults = conversion_result.faults + list(rules.faults(conversion_result))
    if faults:
        raise errors.InventoryInvalid('\n'.join(_truncated(faults)))
    return conversion_result.inventory


def to_json(inventory: inventory_module.Inventory) -> bytes:
    """Encode an inventory; equal inventories give equal bytes."""
    return msgspec.json.encode(inventory, order='deterministic')


def from_json(data: bytes) -> inventory_module.Inventory:
    """Decode an inventory that was validated before it was stored."""
    return msgspec.json.decode(data, type=inventory_module.Inventory)


def _truncated(faults: list[str]) -> list[str]:
    omitted = len(faults) - MAX_FAULTS
    if omitted <= 0:
        return faults
    return [*faults[:MAX_FAULTS], f'document: {omitted} more faults']
