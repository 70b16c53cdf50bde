"""Messages between a duty holder, its standby and other instances."""

from __future__ import annotations

import msgspec

from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.core.jobs.job import ItemId
from yuccarill.core.jobs.job import Job
from yuccarill.core.jobs.job import JobId

PATH = '/standby'
# Path for queries whether an instance reaches a holder and the store.
SIGHTING_PATH = '/standby/sight'


class OpenJob(msgspec.Struct, frozen=True, kw_only=True):
    """Report the progress of one open job."""

    id: JobId
    # The whole job, unless the standby has acknowledged it.
    job: Job | None = None
    # Items whose results are listed or no longer needed; without the whole
    # job, only those added since the last acknowledged message.
    ended: tuple[ItemId, ...] = ()


class OpenJobs(msgspec.Struct, frozen=True, kw_only=True):
    """List the copied jobs of a service; the standby drops all others."""

    service: ServiceName
    holder: InstanceId
    jobs: tuple[OpenJob, ...]
    # The holder's process; a restarted process has lost its texts.
    incarnation: Incarnation = Incarnation('')


class Sighting(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether an instance reaches the store and a holder."""

    # Seconds since the last direct or relayed contact with the store.
    store_age: float
    # Whether the queried holder process answered, not a restarted one.
    is_holder_reached: bool
    # The process that sends this report.
    incarnation: Incarnation = Incarnation('')


class Lacking(msgspec.Struct, frozen=True, kw_only=True):
    """List the jobs that the standby needs to receive whole."""

    jobs: tuple[JobId, ...] = ()
