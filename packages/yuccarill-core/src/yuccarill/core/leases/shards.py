"""Assignment of duties to a fixed number of shards."""

from __future__ import annotations

import xxhash

from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ShardNumber
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId

# Bounds the number of leases. All instances must be stopped to change it.
SHARD_COUNT = 64

ALL_SHARDS = tuple(ShardNumber(n) for n in range(SHARD_COUNT))


def shard_of(duty: str) -> ShardNumber:
    """Return the shard of a duty."""
    digest = xxhash.xxh3_64_intdigest(duty.encode())
    return ShardNumber(digest % SHARD_COUNT)


def placement_duty(shard: ShardNumber) -> str:
    """Return the key by which instances are ranked for a shard."""
    return f'shard/{shard}'


def trainer_duty(trainer: TrainerId) -> str:
    """Return the duty of working on a trainer's steps."""
    return f'trainer/{trainer}'


def target_duty(target: TargetId) -> str:
    """Return the duty of sending orders to a target."""
    return f'target/{target}'


def model_duty(model: ModelName) -> str:
    """Return the duty of planning a model's weight rollout."""
    return f'model/{model}'
