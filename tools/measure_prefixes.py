"""Measure the prefix cache hit rate of routing policies."""

from __future__ import annotations

import collections
import random
from typing import Any

import calls_model
import click

from yuccarill.core.calls.load import LoadReport
from yuccarill.core.calls import pool
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import TargetId

SEED = 5
ENGINES = 130
INSTANCES = 8
CALLS_PER_SECOND = 76.0
SECONDS = 120.0
CALL_SECONDS = 2.4
PROMPTS = 20_000
CACHED_PROMPTS = 64
CENTRE = DataCentreId('here')


class Engine:
    """Simulate an LRU prompt cache and count concurrent calls."""

    def __init__(self) -> None:
        self.cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.in_flight = 0
        self.peak_in_flight = 0

    def begin_call(self, prompt: str) -> bool:
        """Begin a call and return whether its prompt was cached."""
        is_hit = prompt in self.cached
        self.cached[prompt] = None
        self.cached.move_to_end(prompt)
        if len(self.cached) > CACHED_PROMPTS:
            self.cached.popitem(last=False)
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        return is_hit


def measure(by_prefix: bool) -> tuple[float, float, int]:
    """Return the hit rate, the best possible rate and the peak load."""
    generator = random.Random(SEED)
    loop = calls_model.Loop()
    engines = {TargetId(str(n)): Engine() for n in range(ENGINES)}
    pools = []
    for number in range(INSTANCES):
        new = pool.Pool(pool.RoutingPolicy(), random.Random(number))
        new.update(dict.fromkeys(engines, CENTRE), CENTRE, Instant(0.0))
        pools.append(new)
    weights = [1 / (n + 1) for n in range(PROMPTS)]
    prompts = iter(generator.choices(range(PROMPTS), weights, k=20_000))
    seen: set[str] = set()
    counts: collections.Counter[str] = collections.Counter()

    def arrive() -> None:
        if loop.now >= SECONDS:
            return
        loop.schedule(generator.expovariate(CALLS_PER_SECOND), arrive)
        prompt = f'prompt {next(prompts)}'
        chosen = generator.choice(pools)
        target = chosen.choose(loop.now, prefix=prompt if by_prefix else None)
        assert target is not None
        chosen.record_send(target)
        counts['calls'] += 1
        counts['hits'] += engines[target].begin_call(prompt)
        counts['best'] += prompt in seen
        seen.add(prompt)
        seconds = generator.expovariate(1 / CALL_SECONDS)
        loop.schedule(seconds, end, chosen, target, seconds)

    def end(chosen: Any, target: TargetId, seconds: float) -> None:
        engine = engines[target]
        engine.in_flight -= 1
        report = LoadReport(engine.in_flight, 0)
        chosen.record_answer(target, seconds, report, loop.now)

    loop.schedule(0.0, arrive)
    loop.run(SECONDS + 60.0)
    peak = max(engine.peak_in_flight for engine in engines.values())
    return (
        counts['hits'] / counts['calls'],
        counts['best'] / counts['calls'],
        peak,
    )


@click.command()
def main() -> None:
    """Compare routing by load alone with routing by prefix and load."""
    click.echo('| routing | cached | best possible | most calls at once |')
    click.echo('|---|---|---|---|')
    for name, by_prefix in (('load', False), ('prefix and load', True)):
        hits, best, peak = measure(by_prefix)
        click.echo(f'| {name} | {hits:.1%} | {best:.1%} | {peak} |')


if __name__ == '__main__':
    main()
