"""Generate the tokens of an engine stand-in."""

from __future__ import annotations

from collections.abc import Iterable
import random

VOCABULARY = 50_000


def generate(
    prompt: str, seed: int, version: int, positions: Iterable[int]
) -> list[int]:
    """Return tokens that depend only on the arguments."""
    return [
        random.Random(f'{prompt}/{seed}/{version}/{i}').randrange(VOCABULARY)
        for i in positions
    ]
