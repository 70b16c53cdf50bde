"""Spread duties over a fixed number of shards."""

from __future__ import annotations

import xxhash

from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ShardNumber
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId

# Bounds the leases, and with them the renewals, whatever the number of
# duties and instances. Changing it needs every instance stopped.
SHARD_COUNT = 64

ALL_SHARDS = tuple(ShardNumber(n) for n in range(SHARD_COUNT))


def shard_of(duty: str) -> ShardNumber:
    """Return the shard that carries a duty."""
    digest = xxhash.xxh3_64_intdigest(duty.encode())
    return ShardNumber(digest % SHARD_COUNT)


def placement_duty(shard: ShardNumber) -> str:
    """Return the name under which a shard is placed on instances."""
    return f'shard/{shard}'


def trainer_duty(trainer: TrainerId) -> str:
    """Name the duty to work on a trainer's steps."""
    return f'trainer/{trainer}'


def target_duty(target: TargetId) -> str:
    """Name the duty to give a target its orders."""
    return f'target/{target}'


def model_duty(model: ModelName) -> str:
    """Name the duty to plan a model's weights."""
    return f'model/{model}'
