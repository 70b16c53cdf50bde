"""Measure how often a prompt meets an engine that has it cached."""

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
RATE = 76.0
SECONDS = 120.0
CALL_SECONDS = 2.4
PROMPTS = 20_000
CACHED = 64
HERE = DataCentreId('here')


class Engine:
    """Keep the prompts used last, and count the calls."""

    def __init__(self) -> None:
        self.cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.in_flight = 0
        self.highest = 0

    def begin(self, prompt: str) -> bool:
        """Tell whether a prompt was cached, and cache it."""
        is_hit = prompt in self.cached
        self.cached[prompt] = None
        self.cached.move_to_end(prompt)
        if len(self.cached) > CACHED:
            self.cached.popitem(last=False)
        self.in_flight += 1
        self.highest = max(self.highest, self.in_flight)
        return is_hit


def measure(uses_prefix: bool) -> tuple[float, float, int]:
    """Return the part of hits, the best possible part, and the top load."""
    draw = random.Random(SEED)
    loop = calls_model.Loop()
    engines = {TargetId(str(n)): Engine() for n in range(ENGINES)}
    pools = []
    for number in range(INSTANCES):
        made = pool.Pool(pool.RoutingPolicy(), random.Random(number))
        made.update(dict.fromkeys(engines, HERE), HERE, Instant(0.0))
        pools.append(made)
    weights = [1 / (n + 1) for n in range(PROMPTS)]
    prompts = iter(draw.choices(range(PROMPTS), weights, k=20_000))
    seen: set[str] = set()
    counts: collections.Counter[str] = collections.Counter()

    def arrive() -> None:
        if loop.now >= SECONDS:
            return
        loop.at(draw.expovariate(RATE), arrive)
        prompt = f'prompt {next(prompts)}'
        made = draw.choice(pools)
        target = made.choose(loop.now, prefix=prompt if uses_prefix else None)
        assert target is not None
        made.send(target)
        counts['calls'] += 1
        counts['hits'] += engines[target].begin(prompt)
        counts['best'] += prompt in seen
        seen.add(prompt)
        seconds = draw.expovariate(1 / CALL_SECONDS)
        loop.at(seconds, end, made, target, seconds)

    def end(made: Any, target: TargetId, seconds: float) -> None:
        engine = engines[target]
        engine.in_flight -= 1
        report = LoadReport(engine.in_flight, 0)
        made.answer(target, seconds, report, loop.now)

    loop.at(0.0, arrive)
    loop.run(SECONDS + 60.0)
    top = max(engine.highest for engine in engines.values())
    return (
        counts['hits'] / counts['calls'],
        counts['best'] / counts['calls'],
        top,
    )


@click.command()
def main() -> None:
    """Compare routing by load alone with routing by prefix and load."""
    click.echo('| routing | cached | best possible | most calls at once |')
    click.echo('|---|---|---|---|')
    for name, uses_prefix in (('load', False), ('prefix and load', True)):
        hits, best, top = measure(uses_prefix)
        click.echo(f'| {name} | {hits:.1%} | {best:.1%} | {top} |')


if __name__ == '__main__':
    main()
