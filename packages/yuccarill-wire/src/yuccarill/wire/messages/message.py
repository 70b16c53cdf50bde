"""Base of all messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Base of all messages between instances."""
