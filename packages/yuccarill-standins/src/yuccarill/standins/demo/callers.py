"""Run concurrent callers until they are stopped."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.standins.demo import caller as caller_module
from yuccarill.standins.demo import records
from yuccarill.standins import server

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout

WORKERS_PER_CALLER = 3
ONCE_WORKERS = 3
STREAM_WORKERS = 3
THINK_SECONDS = 0.05


class Callers:
    """Concurrent callers of an inventory."""

    def __init__(self, layout: Layout) -> None:
        self.records = records.CallerRecords()
        self._layout = layout
        self._is_ending = False
        self._seed = 0

    async def run(self) -> None:
        """Send requests until end() is called and the last ones have ended."""
        inventory = self._layout.inventory
        service = inventory['services'][0]
        repeatable = f'services/{service["name"]}/look-up'
        once = f'services/{service["name"]}/{service["not_repeatable"][0]}'
        stream = f'models/{inventory["models"][0]["name"]}/generate'
        loops = []
        for entry in inventory['callers']:
            is_latency = entry['caller_class'] == 'latency'
            for _ in range(WORKERS_PER_CALLER):
                loops.append(
                    self._loop(entry['id'], 'ask_repeatable', repeatable)
                )
            for _ in range(ONCE_WORKERS if is_latency else 0):
                loops.append(self._loop(entry['id'], 'ask_once', once))
            for _ in range(STREAM_WORKERS if is_latency else 0):
                loops.append(self._loop(entry['id'], 'ask_stream', stream))
        await defer.gatherResults([defer.ensureDeferred(x) for x in loops])

    def end(self) -> None:
        """Start no further requests."""
        self._is_ending = True

    async def _loop(self, name: str, method: str, url_path: str) -> None:
        self._seed += 1
        caller = caller_module.Caller(
            f'{name}-{self._seed}',
            self._layout.addresses,
            self.records,
            self._seed,
        )
        ask: Any = getattr(caller, method)
        while not self._is_ending:
            await ask(url_path)
            await server.sleep(THINK_SECONDS)
