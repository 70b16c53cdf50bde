"""Wait until instances are ready and have a revision in force."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.standins import client
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

START_SECONDS = 30.0
POLL_SECONDS = 0.1


async def register_all(layout: Layout) -> None:
    """Register the instances and wait until each answers."""
    base = f'http://{layout.platform["instance_list"]}/admin/instances'
    for instance in layout.instances:
        await client.send('PUT', f'{base}/{instance["id"]}', instance)
    for address in layout.addresses:
        await _wait_until(lambda status: True, address)


async def wait_until_in_force(layout: Layout) -> None:
    """Wait until each instance has a revision and knows all instances."""
    count = len(layout.instances)

    def is_ready(status: dict[str, Any]) -> bool:
        return status['revision'] > 0 and len(status['instances']) == count

    for address in layout.addresses:
        await _wait_until(is_ready, address)


async def status_of(address: str) -> dict[str, Any] | None:
    """Return the status of an instance, or None without an answer."""
    url = f'http://{address}/v1/operators/status'
    try:
        reply = await client.send('GET', url, seconds=1.0)
    except (client.Unreachable, client.ConnectionCut):
        return None
    return reply.json() if reply.status == 200 else None


async def _wait_until(condition: Any, address: str) -> None:
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        status = await status_of(address)
        if status is not None and condition(status):
            return
        await server.sleep(POLL_SECONDS)
    raise SystemExit(f'The instance at {address} is not ready; see its log.')
