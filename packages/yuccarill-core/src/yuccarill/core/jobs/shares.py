"""Divide a job among the partitions of a large service."""

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

# Separates the job id from the partition number.
_SEPARATOR = ':'


def share_id(job: JobId, number: int) -> JobId:
    """Return the id of the share of a job in one partition."""
    return JobId(f'{job}{_SEPARATOR}{number}')


def divide(job: Job, count: int) -> tuple[Job, ...]:
    """Return the shares of a job, one for each partition with items.

    The id of a group determines its partition, so a later job with the same
    group finds its partial texts there.
    """
    items_by_number: dict[int, list[Item]] = {}
    for item in job.items:
        number = partitions.part_number(item.group, count)
        items_by_number.setdefault(number, []).append(item)
    groups = len({item.group for item in job.items})
    return tuple(
        _share(job, number, count, items, groups)
        for number, items in sorted(items_by_number.items())
    )


def _share(
    job: Job, number: int, count: int, items: list[Item], groups: int
) -> Job:
    fraction = len({item.group for item in items}) / groups
    return msgspec.structs.replace(
        job,
        id=share_id(job.id, number),
        service=partitions.part_name(job.service, number, count),
        wanted_groups=math.ceil(job.wanted_groups * fraction),
        items=tuple(items),
        share=JobShare(job=job.id, number=number),
    )
