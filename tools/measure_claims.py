"""Compare store claims and tickets for non-repeatable requests."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import calls_model
import click
import hdrh.histogram

SEED = 5
SECONDS = 60.0
# Non-repeatable requests per second: 30% of 760.
REQUEST_RATE = 228.0
STORE_SECONDS = 0.004
WRITE_RATE = 300.0
PEER_SECONDS = 0.0012
INSTANCES = 8


@dataclasses.dataclass(frozen=True)
class Claims:
    """Set the number of claim holders and their batching delay."""

    holders: int
    batch_seconds: float


class Store:
    """Simulate a store that serialises writes at a limited rate."""

    def __init__(self, loop: Any, generator: random.Random) -> None:
        self._loop = loop
        self._generator = generator
        self._free_at = 0.0
        self.writes = 0

    def write(self, callback: Any) -> None:
        """Call back once the write is durable."""
        self.writes += 1
        self._free_at = max(self._free_at, self._loop.now) + 1 / WRITE_RATE
        wait = self._free_at - self._loop.now
        seconds = self._generator.expovariate(1 / STORE_SECONDS)
        self._loop.schedule(wait + seconds, callback)


class Holder:
    """Write the claims of one key range in batches."""

    def __init__(self, loop: Any, store: Store, batch_seconds: float) -> None:
        self._loop = loop
        self._store = store
        self._batch_seconds = batch_seconds
        self._waiting: list[Any] = []
        self._is_busy = False

    def claim(self, callback: Any) -> None:
        """Call back once a request's claim is durable."""
        self._waiting.append(callback)
        if not self._is_busy:
            self._is_busy = True
            self._loop.schedule(self._batch_seconds, self._write)

    def _write(self) -> None:
        batch, self._waiting = self._waiting, []

        def written() -> None:
            for callback in batch:
                callback()
            if self._waiting:
                self._loop.schedule(self._batch_seconds, self._write)
            else:
                self._is_busy = False

        self._store.write(written)


def measure(claims: Claims) -> tuple[float, Any]:
    """Return writes per second and a histogram of added microseconds."""
    generator = random.Random(SEED)
    loop = calls_model.Loop()
    store = Store(loop, generator)
    holders = [Holder(loop, store, claims.batch_seconds) for _ in range(64)]
    histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)

    def arrive() -> None:
        if loop.now >= SECONDS:
            return
        loop.schedule(generator.expovariate(REQUEST_RATE), arrive)
        started_at = loop.now
        holder = holders[generator.randrange(claims.holders)]
        is_local = generator.random() < 1 / INSTANCES
        delay = 0.0 if is_local else PEER_SECONDS / 2

        def claimed() -> None:
            microseconds = int((loop.now + delay - started_at) * 1e6)
            histogram.record_value(max(1, microseconds))

        loop.schedule(delay, holder.claim, claimed)

    loop.schedule(0.0, arrive)
    loop.run(SECONDS + 30.0)
    return store.writes / SECONDS, histogram


@click.command()
def main() -> None:
    """Compare claims with tickets."""
    click.echo(
        f'{REQUEST_RATE:.0f} non-repeatable requests/s, {INSTANCES} '
        f'instances, store {STORE_SECONDS * 1000:.0f} ms and '
        f'{WRITE_RATE:.0f} writes/s; seed {SEED}'
    )
    click.echo('| way | writes/s | added p50 ms | added p99 ms |')
    click.echo('|---|---|---|---|')
    click.echo('| ticket at its home | 0 | 0.0 | 0.0 |')
    hop = f'{PEER_SECONDS * 1000:.1f}'
    click.echo(f'| ticket passed on | 0 | {hop} | {hop} |')
    for claims in (
        Claims(64, 0.0),
        Claims(8, 0.0),
        Claims(8, 0.05),
        Claims(2, 0.02),
        Claims(2, 0.1),
    ):
        writes, latency = measure(claims)
        p50 = latency.get_value_at_percentile(50) / 1000
        p99 = latency.get_value_at_percentile(99) / 1000
        click.echo(
            f'| claims, {claims.holders} holders, gathered for '
            f'{claims.batch_seconds * 1000:.0f} ms | {writes:.0f} | {p50:.1f} '
            f'| {p99:.1f} |'
        )


if __name__ == '__main__':
    main()
