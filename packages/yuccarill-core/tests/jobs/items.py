"""Build jobs, engines and runs for tests."""

from __future__ import annotations

import msgspec

from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.gateway.targets import TargetStart
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion
from yuccarill.core.jobs import engines
from yuccarill.core.jobs.job import GroupId
from yuccarill.core.jobs.job import Item
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId
from yuccarill.core.jobs import job_queue

MODEL = ModelName('m')


def make_job(
    name: str = 'j',
    groups: int = 2,
    size: int = 2,
    min_version: int = 1,
    model: ModelName = MODEL,
    **more: object,
) -> Job:
    items = tuple(
        Item(
            id=ItemId(f'{name}-{group}-{member}'),
            path='/generate',
            headers=(),
            body=b'prompt',
            tokens=100,
            group=GroupId(f'{name}-{group}'),
        )
        for group in range(groups)
        for member in range(size)
    )
    fields: dict = {
        'max_attempts': 3,
        'submitted_at': WallTime(0.0),
        'due_at': WallTime(7.5),
        'retained_until': WallTime(40.0),
        'items': items,
        **more,
    }
    return Job(
        id=JobId(name),
        service=ServiceName('s'),
        host='h',
        route='r',
        model=model,
        min_version=WeightVersion(min_version),
        **fields,
    )


def make_state(job: Job, submitted_at: float = 0.0) -> job_queue.JobState:
    return job_queue.JobState(
        job,
        Instant(submitted_at),
        Instant(submitted_at + 7.5),
        Instant(submitted_at + 40.0),
    )


def make_target(
    name: str, slots: int = 4, is_leaving: bool = False, **versions: int
) -> ListedTarget:
    return ListedTarget(
        id=TargetId(name),
        service=ServiceName('s'),
        address='10.0.0.1:80',
        data_centre=DataCentreId('d'),
        slots=slots,
        is_leaving=is_leaving,
        versions_by_model={
            ModelName(model): WeightVersion(version)
            for model, version in (versions or {'m': 1}).items()
        },
    )


def make_started(name: str, started_at: int, **versions: int) -> ListedTarget:
    """Return an engine that was started at a given time."""
    return msgspec.structs.replace(
        make_target(name, **versions),
        start=TargetStart(started_at=started_at),
    )


def make_fleet(*targets: ListedTarget) -> engines.EngineFleet:
    fleet = engines.EngineFleet()
    fleet.update(targets)
    return fleet
