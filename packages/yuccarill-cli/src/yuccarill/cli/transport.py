"""The port through which commands reach instances."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable


class Reply(msgspec.Struct, frozen=True):
    """Hold an instance's reply."""

    status: int
    body: bytes


class NotSent(Exception):
    """Tell that no byte of a request was sent."""


class NoReply(Exception):
    """Tell that a request was sent and no whole reply came."""


class Transport(Protocol):
    """Carry one request; commands are tested with another one."""

    def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        seconds: float,
    ) -> Awaitable[Reply]:
        """Send one request.

        Raises NotSent or NoReply.
        """
