"""Define the base of all messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field='kind'):
    """Be one message of the instances' protocol."""
