"""Find which instance works for the trainer, from the platform's records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.leases import shards
from yuccarill.core.leases import table
from yuccarill.standins import client

if TYPE_CHECKING:
    from yuccarill.standins.demo.places import Places


async def trainer_holder(places: Places) -> str | None:
    """Return the instance that works on the first trainer's steps."""
    store = places.platform['key_value']
    url = f'http://{store}/v1/keys/{table.TABLE_KEY}'
    reply = await client.send('GET', url)
    if reply.status != 200:
        return None
    trainer = places.inventory['trainers'][0]['id']
    shard = shards.shard_of(shards.trainer_duty(trainer))
    holder = table.decode(1, reply.body).entries[shard].holder
    return holder.instance if holder else None
