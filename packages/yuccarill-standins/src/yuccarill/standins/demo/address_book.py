"""Cache of instance addresses, as clients keep one."""

from __future__ import annotations

import random
import time
from typing import Any

from yuccarill.standins import client
from yuccarill.standins import server

RETRY_SECONDS = 0.1
# Margin before expiry, so that addresses stay valid during a request.
RENEW_SECONDS = 0.5


class AddressBook:
    """Request addresses and cache the reply until it expires."""

    def __init__(self, initial: list[str], randomness: random.Random) -> None:
        self._initial = initial
        self._addresses = list(initial)
        self._random = randomness
        self._valid_until = 0.0
        self._ticket = ''

    async def addresses(self) -> list[str]:
        """Return valid addresses in random order."""
        while time.time() >= self._valid_until - RENEW_SECONDS:
            await self._renew()
        return self._random.sample(self._addresses, len(self._addresses))

    async def ticket(self) -> str:
        """Return the ticket issued with the addresses."""
        await self.addresses()
        return self._ticket

    async def _renew(self) -> None:
        # Initial addresses are included in case all known ones are gone.
        address = self._random.choice(self._addresses + self._initial)
        reply = await self._request_addresses(address)
        if reply is None or not reply['addresses']:
            await server.sleep(RETRY_SECONDS)
            return
        self._addresses = reply['addresses']
        self._valid_until = reply['valid_until']
        self._ticket = reply['ticket']

    async def _request_addresses(self, address: str) -> Any:
        url = f'http://{address}/v1/addresses'
        try:
            reply = await client.send('GET', url, seconds=2.0)
        except (client.Unreachable, client.ConnectionCut):
            return None
        return reply.json() if reply.status == 200 else None
