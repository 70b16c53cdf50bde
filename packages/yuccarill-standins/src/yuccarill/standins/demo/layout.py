"""Layout of a run: its folder, inventory, services and instances."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class Layout:
    """Files of a run's folder, parsed."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.inventory_file = folder / 'inventory.json'
        self.inventory: dict[str, Any] = _read_json(self.inventory_file)
        self.platform: dict[str, str] = _read_json(folder / 'platform.json')
        self.instances: list[dict[str, Any]] = []
        if (folder / 'instances.json').exists():
            self.instances = _read_json(folder / 'instances.json')

    @property
    def addresses(self) -> list[str]:
        return [address_of(instance) for instance in self.instances]

    def pid(self, name: str) -> int:
        return int((self.folder / f'{name}.pid').read_text())


def address_of(instance: dict[str, Any]) -> str:
    """Return the address where an instance serves HTTP."""
    return f'{instance["host"]}:{instance["http_port"]}'


def _read_json(path: pathlib.Path) -> Any:
    return json.loads(path.read_text())
