"""Make the tokens that an engine stand-in answers with."""

from __future__ import annotations

from collections.abc import Iterable
import random

VOCABULARY = 50_000


def make(
    prompt: str, seed: int, version: int, positions: Iterable[int]
) -> list[int]:
    """Return tokens that depend on these values and nothing else."""
    return [
        random.Random(f'{prompt}/{seed}/{version}/{i}').randrange(VOCABULARY)
        for i in positions
    ]
