"""Find the instance that holds the trainer's lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.leases import shards
from yuccarill.core.leases import table
from yuccarill.standins import client

if TYPE_CHECKING:
    from yuccarill.standins.demo.layout import Layout


async def trainer_holder(layout: Layout) -> str | None:
    """Return the holder of the first trainer's lease, or None."""
    store = layout.platform['key_value']
    url = f'http://{store}/v1/keys/{table.TABLE_KEY}'
    reply = await client.send('GET', url)
    if reply.status != 200:
        return None
    trainer = layout.inventory['trainers'][0]['id']
    shard = shards.shard_of(shards.trainer_duty(trainer))
    holder = table.decode(1, reply.body).entries[shard].holder
    return holder.instance if holder else None
