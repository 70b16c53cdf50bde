"""Speak HTTP as callers, trainers and the platform's operators do."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import treq

CALL_SECONDS = 10.0


class Reply(msgspec.Struct, frozen=True):
    """Hold one whole reply."""

    status: int
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


async def send(
    method: str,
    url: str,
    value: Any = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request and read its whole reply."""
    response = await treq.request(
        method,
        url,
        data=None if value is None else json.dumps(value).encode(),
        headers=headers or {},
        timeout=CALL_SECONDS,
        persistent=False,
    )
    return Reply(response.code, await treq.content(response))
