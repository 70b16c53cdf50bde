"""Trainer that requests steps, checks them and publishes weights."""

from __future__ import annotations

import random
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.standins import client
from yuccarill.standins.demo import address_book
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

GROUPS = 6
SAMPLES_PER_GROUP = 4
MAX_TOKENS = 64
STEP_SECONDS = 30.0
POLL_SECONDS = 0.05
TRAIN_SECONDS = 0.5
# Offsets into a step at which weights are published.
PUBLISH_AFTER_SECONDS = (0.2, 0.5)
SEED = 99


class StepRecord(msgspec.Struct):
    """One step as its trainer sees it."""

    step: int
    submitted_at: float
    delivered_at: float = 0.0
    # Newest version published before the step was fetched.
    newest_version: int = 0
    published_within: int = 0
    samples: list[dict[str, Any]] = []
    is_refetch_same: bool = False
    is_acknowledged: bool = False
    detail: str = ''


class Trainer:
    """Run steps one after another."""

    def __init__(self, layout: Layout) -> None:
        entry = layout.inventory['trainers'][0]
        self.id = entry['id']
        self.staleness_bound: int = entry['staleness_bound']
        self.steps: list[StepRecord] = []
        self.idle_seconds = 0.0
        self.seconds = 0.0
        self._model = entry['model']
        self._weight_store = layout.platform['weight_store']
        self._book = address_book.AddressBook(
            layout.addresses, random.Random(SEED)
        )
        self._newest = 1
        self._is_ending = False

    async def run(self) -> None:
        """Run steps until end() is called and the last step has ended."""
        number = 0
        started_at = time.time()
        while not self._is_ending:
            number += 1
            await self._step(number)
            await server.sleep(TRAIN_SECONDS)
        self.seconds = time.time() - started_at

    def end(self) -> None:
        """Start no further steps."""
        self._is_ending = True

    async def _step(self, number: int) -> None:
        record = StepRecord(number, time.time())
        self.steps.append(record)
        request = self._request(number)
        if not await self._retry_until_accepted('POST', 'steps', request):
            record.detail = 'not submitted'
            return
        # Weights change once in every second step, twice in every fourth.
        publish_count = {0: 2, 2: 1}.get(number % 4, 0)
        publishing = [
            defer.ensureDeferred(self._publish(record, seconds))
            for seconds in PUBLISH_AFTER_SECONDS[:publish_count]
        ]
        await self._complete_step(record, request)
        self.idle_seconds += time.time() - record.submitted_at
        await defer.gatherResults(publishing)

    async def _complete_step(self, record: StepRecord, request: Any) -> None:
        body = await self._fetch(record, request)
        if body is None:
            return
        record.delivered_at = time.time()
        record.samples = msgspec.json.decode(body)['samples']
        again = await self._fetch(record, request)
        record.is_refetch_same = again == body
        path = f'steps/{record.step}/acknowledgement'
        record.is_acknowledged = await self._retry_until_accepted('PUT', path)

    async def _fetch(self, record: StepRecord, request: Any) -> bytes | None:
        deadline = time.time() + STEP_SECONDS
        while time.time() < deadline:
            newest = self._newest
            reply = await self._send('GET', f'steps/{record.step}')
            if reply is not None and reply.status == 200:
                record.newest_version = record.newest_version or newest
                return reply.body
            if reply is not None:
                record.detail = f'{reply.status} {reply.body[:300]!r}'
            if reply is not None and reply.status == 404:
                # The step was lost or never accepted. Submitting a step
                # again under the same number is idempotent.
                await self._send('POST', 'steps', request)
            await server.sleep(POLL_SECONDS)
        return None

    async def _publish(self, record: StepRecord, seconds: float) -> None:
        await server.sleep(seconds)
        if record.delivered_at:
            return
        version = self._newest + 1
        url = f'http://{self._weight_store}/v1/models/{self._model}/newest'
        await client.send('PUT', url, version)
        self._newest = version
        record.published_within += 1
        await self._retry_until_accepted(
            'PUT', 'newest', {'newest_version': version}, 5.0
        )

    def _request(self, number: int) -> dict[str, Any]:
        groups = [
            {
                'prompt': f'{self.id} step {number} group {group}',
                'samples': SAMPLES_PER_GROUP,
                'max_tokens': MAX_TOKENS,
            }
            for group in range(GROUPS)
        ]
        return {
            'step': number,
            'newest_version': self._newest,
            'groups': groups,
        }

    async def _retry_until_accepted(
        self, method: str, path: str, value: Any = None, seconds: float = 20.0
    ) -> bool:
        deadline = time.time() + seconds
        while time.time() < deadline:
            reply = await self._send(method, path, value)
            if reply is not None and reply.status < 300:
                return True
            await server.sleep(POLL_SECONDS)
        return False

    async def _send(
        self, method: str, path: str, value: Any = None
    ) -> client.Reply | None:
        address = (await self._book.addresses())[0]
        base = f'http://{address}/v1/trainers/{self.id}'
        try:
            return await client.send(
                method, f'{base}/{path}', value, seconds=5.0
            )
        except (client.Unreachable, client.ConnectionCut):
            return None
