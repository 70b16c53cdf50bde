"""Decide where an item may run under a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import ServiceName

if TYPE_CHECKING:
    from collections.abc import Container

    from yuccarill.core.gateway.routes import RouteTable
    from yuccarill.core.jobs.job import Item
    from yuccarill.core.jobs.job import Job
    from yuccarill.core.jobs.job import JobId


class RunAt(msgspec.Struct, frozen=True):
    """The item may run at the engines of a service."""

    service: ServiceName


class Revoked(msgspec.Struct, frozen=True):
    """No route matches the item any more."""


class Undecided(msgspec.Struct, frozen=True):
    """The configuration is too old, or the route has no service."""


Decision = RunAt | Revoked | Undecided


def table_for(table: RouteTable | None, job: Job) -> RouteTable | None:
    """Return the table, or None if it is older than the job's acceptance.

    A route that is missing in an older configuration may have been added
    since.
    """
    if table is None or table.version < job.accepted_version:
        return None
    return table


def decide(
    table: RouteTable | None, job: Job, item: Item, service: ServiceName
) -> Decision:
    """Decide where an item may run that is queued for a service.

    The item stays with its service while its route names it. An operator can
    move the route to another service after the job was accepted.
    """
    known = table_for(table, job)
    if known is None:
        return Undecided()
    route = known.find(job.host, item.path.partition('?')[0])
    if route is None:
        return Revoked()
    if not route.services:
        return Undecided()
    if service in route.services:
        return RunAt(service)
    return RunAt(route.services[0])


class JobServices:
    """Cache the services at which the items of each job may run."""

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._table: RouteTable | None = None
        self._services_by_job: dict[JobId, frozenset[ServiceName]] = {}

    def update(
        self, table: RouteTable | None, open_jobs: Container[JobId]
    ) -> None:
        """Drop what is known of ended jobs, and of an older configuration."""
        if table is not self._table:
            self._table = table
            self._services_by_job.clear()
        for job in list(self._services_by_job):
            if job not in open_jobs:
                del self._services_by_job[job]

    def of(self, job: Job) -> frozenset[ServiceName]:
        """Return the services of a job's items."""
        found = self._services_by_job.get(job.id)
        if found is None:
            decisions = (
                decide(self._table, job, item, self._service)
                for item in job.items
            )
            found = frozenset(
                decision.service
                for decision in decisions
                if isinstance(decision, RunAt)
            )
            self._services_by_job[job.id] = found
        return found
