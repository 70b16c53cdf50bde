"""Divide a job among the holders of a large service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.gateway import partitions
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs.job import JobShare

if TYPE_CHECKING:
    from yuccarill.core.jobs.job import Item
    from yuccarill.core.jobs.job import Job

# Between a job's id and the number of a share.
_SIGN = ':'


def share_id(job: JobId, number: int) -> JobId:
    """Return the id under which a part's share of a job is kept."""
    return JobId(f'{job}{_SIGN}{number}')


def divide(job: Job, count: int) -> tuple[Job, ...]:
    """Return each part's share of a job, none for parts without an item.

    A group goes to the part that its id names, so a group that comes again
    in a later job finds its texts there.
    """
    items_by_number: dict[int, list[Item]] = {}
    for item in job.items:
        number = partitions.number_of(item.group, count)
        items_by_number.setdefault(number, []).append(item)
    groups = len({item.group for item in job.items})
    return tuple(
        _share(job, number, count, items, groups)
        for number, items in sorted(items_by_number.items())
    )


def _share(
    job: Job, number: int, count: int, items: list[Item], groups: int
) -> Job:
    part = len({item.group for item in items}) / groups
    return msgspec.structs.replace(
        job,
        id=share_id(job.id, number),
        service=partitions.name(job.service, number, count),
        wanted_groups=math.ceil(job.wanted_groups * part),
        items=tuple(items),
        share=JobShare(job=job.id, number=number),
    )
