"""Wait until instances serve and act on a revision."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from yuccarill.standins import client
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.places import Places

START_SECONDS = 30.0
POLL_SECONDS = 0.1


async def enter_all(places: Places) -> None:
    """Enter the instances in the list and wait until each answers."""
    base = f'http://{places.platform["instance_list"]}/admin/instances'
    for instance in places.instances:
        await client.send('PUT', f'{base}/{instance["id"]}', instance)
    for address in places.addresses:
        await _until(lambda status: True, address)


async def in_force(places: Places) -> None:
    """Wait until each instance has a revision and knows all others."""
    count = len(places.instances)

    def is_ready(status: dict[str, Any]) -> bool:
        return status['revision'] > 0 and len(status['instances']) == count

    for address in places.addresses:
        await _until(is_ready, address)


async def status_of(address: str) -> dict[str, Any] | None:
    """Return an instance's status, or nothing if it does not answer."""
    url = f'http://{address}/v1/operators/status'
    try:
        reply = await client.send('GET', url, seconds=1.0)
    except (client.Unreachable, client.Cut):
        return None
    return reply.json() if reply.status == 200 else None


async def _until(condition: Any, address: str) -> None:
    given_up_at = time.monotonic() + START_SECONDS
    while time.monotonic() < given_up_at:
        status = await status_of(address)
        if status is not None and condition(status):
            return
        await server.sleep(POLL_SECONDS)
    raise SystemExit(f'The instance at {address} is not ready; see its log.')
