"""Interface through which commands send requests to instances."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable


class Reply(msgspec.Struct, frozen=True):
    """An HTTP reply of an instance."""

    status: int
    body: bytes


class NotSent(Exception):
    """No byte of the request was sent, so a retry is safe."""


class NoReply(Exception):
    """The request was sent and no complete reply arrived."""


class Transport(Protocol):
    """Interface for sending requests; tests use a fake implementation."""

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
