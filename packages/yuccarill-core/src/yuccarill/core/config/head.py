"""The one record that says which configuration stands."""

from __future__ import annotations

import msgspec

from yuccarill.core.config.inventory import Inventory
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import WallTime

HEAD_KEY = 'config/head'


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the configuration in force and who set it."""

    revision: Revision
    change_id: ChangeId
    author: str
    applied_at: WallTime
    inventory: Inventory


def encode(head: Head) -> bytes:
    """Encode a head for the key-value service."""
    return msgspec.json.encode(head)


def decode(data: bytes) -> Head:
    """Decode a head read from the key-value service."""
    return msgspec.json.decode(data, type=Head)


def newer(current: Head | None, offered: Head) -> Head:
    """Return the one of the two that stands."""
    if current is None or offered.revision > current.revision:
        return offered
    return current
