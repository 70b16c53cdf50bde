"""Price durable claims of non-repeatable requests against tickets."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import calls_model
import click
import hdrh.histogram

SEED = 5
SECONDS = 60.0
# 30% of 760 requests a second may not be repeated.
RATE = 228.0
STORE_SECONDS = 0.004
STORE_WRITES = 300.0
PEER_SECONDS = 0.0012
INSTANCES = 8


@dataclasses.dataclass(frozen=True)
class Claims:
    """Say how many holders write claims, and how long they gather them."""

    holders: int
    gather: float


class Store:
    """Answer writes one after another at the rate that is allowed."""

    def __init__(self, loop: Any, draw: random.Random) -> None:
        self._loop = loop
        self._draw = draw
        self._free_at = 0.0
        self.writes = 0

    def write(self, done: Any) -> None:
        """Answer once the write has taken effect."""
        self.writes += 1
        self._free_at = max(self._free_at, self._loop.now) + 1 / STORE_WRITES
        wait = self._free_at - self._loop.now
        seconds = self._draw.expovariate(1 / STORE_SECONDS)
        self._loop.at(wait + seconds, done)


class Holder:
    """Write the claims of its part of the keys, one group at a time."""

    def __init__(self, loop: Any, store: Store, gather: float) -> None:
        self._loop = loop
        self._store = store
        self._gather = gather
        self._waiting: list[Any] = []
        self._is_busy = False

    def claim(self, done: Any) -> None:
        """Call back once a request's claim is durable."""
        self._waiting.append(done)
        if not self._is_busy:
            self._is_busy = True
            self._loop.at(self._gather, self._write)

    def _write(self) -> None:
        group, self._waiting = self._waiting, []

        def written() -> None:
            for done in group:
                done()
            if self._waiting:
                self._loop.at(self._gather, self._write)
            else:
                self._is_busy = False

        self._store.write(written)


def measure(claims: Claims) -> tuple[float, Any]:
    """Return the writes a second and the added latencies."""
    draw = random.Random(SEED)
    loop = calls_model.Loop()
    store = Store(loop, draw)
    holders = [Holder(loop, store, claims.gather) for _ in range(64)]
    histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)

    def arrive() -> None:
        if loop.now >= SECONDS:
            return
        loop.at(draw.expovariate(RATE), arrive)
        begun = loop.now
        holder = holders[draw.randrange(claims.holders)]
        is_here = draw.random() < 1 / INSTANCES
        way = 0.0 if is_here else PEER_SECONDS / 2

        def claimed() -> None:
            microseconds = int((loop.now + way - begun) * 1e6)
            histogram.record_value(max(1, microseconds))

        loop.at(way, holder.claim, claimed)

    loop.at(0.0, arrive)
    loop.run(SECONDS + 30.0)
    return store.writes / SECONDS, histogram


@click.command()
def main() -> None:
    """Compare claims with tickets."""
    click.echo(
        f'{RATE:.0f} non-repeatable requests/s, {INSTANCES} instances, store '
        f'{STORE_SECONDS * 1000:.0f} ms and {STORE_WRITES:.0f} writes/s; seed '
        f'{SEED}'
    )
    click.echo('| way | writes/s | added p50 ms | added p99 ms |')
    click.echo('|---|---|---|---|')
    click.echo('| ticket at its home | 0 | 0.0 | 0.0 |')
    passed = f'{PEER_SECONDS * 1000:.1f}'
    click.echo(f'| ticket passed on | 0 | {passed} | {passed} |')
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
            f'{claims.gather * 1000:.0f} ms | {writes:.0f} | {p50:.1f} '
            f'| {p99:.1f} |'
        )


if __name__ == '__main__':
    main()
