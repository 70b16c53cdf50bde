"""Messages by which a holder lets its standby know the open jobs."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId

PATH = '/standby'
# Where an instance says what it knows of a holder, and that it is alive.
SIGHT_PATH = '/standby/sight'


class OpenJob(msgspec.Struct, frozen=True, kw_only=True):
    """Say how far one open job is."""

    id: JobId
    # Whole where the standby may not have it.
    job: Job | None = None
    # Items whose results are listed, or whose job has no more use for them,
    # since the last message that the standby took.
    ended: tuple[ItemId, ...] = ()


class OpenJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every open job of a service; all others have ended."""

    service: ServiceName
    holder: InstanceId
    jobs: tuple[OpenJob, ...]
    # The process that holds them; one started again has lost its texts.
    incarnation: Incarnation = Incarnation('')


class Sighting(msgspec.Struct, frozen=True, kw_only=True):
    """Say what an instance knows of the store and of a holder."""

    # Seconds since it last heard the store, by itself or through others.
    store_age: float
    # By the process that was asked for, and no later one.
    is_holder_reached: bool
    # The process that answers.
    incarnation: Incarnation = Incarnation('')


class Lacking(msgspec.Struct, frozen=True, kw_only=True):
    """Name the jobs that a standby would need whole."""

    jobs: tuple[JobId, ...] = ()
