"""Keep which instances to use, as callers do."""

from __future__ import annotations

import random
import time
from typing import Any

from yuccarill.standins import client
from yuccarill.standins import server

RETRY_SECONDS = 0.1
# An answer is renewed this long before it ends, so that no request is begun
# on one that lapses meanwhile.
RENEW_SECONDS = 0.5


class AddressBook:
    """Ask for addresses, keep the answer while it is valid."""

    def __init__(self, seeds: list[str], source: random.Random) -> None:
        self._seeds = seeds
        self._known = list(seeds)
        self._source = source
        self._valid_until = 0.0
        self._ticket = ''

    async def addresses(self) -> list[str]:
        """Return the addresses to use now, in random order."""
        while time.time() >= self._valid_until - RENEW_SECONDS:
            await self._renew()
        return self._source.sample(self._known, len(self._known))

    async def ticket(self) -> str:
        """Return the ticket that came with the addresses."""
        await self.addresses()
        return self._ticket

    async def _renew(self) -> None:
        # All addresses of the last answer may be gone by now.
        address = self._source.choice(self._known + self._seeds)
        answer = await self._ask(address)
        if answer is None or not answer['addresses']:
            await server.sleep(RETRY_SECONDS)
            return
        self._known = answer['addresses']
        self._valid_until = answer['valid_until']
        self._ticket = answer['ticket']

    async def _ask(self, address: str) -> Any:
        url = f'http://{address}/v1/addresses'
        try:
            reply = await client.send('GET', url, seconds=2.0)
        except (client.Unreachable, client.Cut):
            return None
        return reply.json() if reply.status == 200 else None
