"""Decide where an item may run under a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from yuccarill.core.gateway.routes import RouteTable
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.jobs.job import Item
    from yuccarill.core.jobs.job import Job


class Granted(msgspec.Struct, frozen=True):
    """The item may run at the engines of the given service."""


class Elsewhere(msgspec.Struct, frozen=True):
    """The route of the item names other services."""


class Revoked(msgspec.Struct, frozen=True):
    """No route matches the item any more."""


class Undecided(msgspec.Struct, frozen=True):
    """The configuration is older than the one that accepted the job."""


Decision = Granted | Elsewhere | Revoked | Undecided


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
    """Decide where an item of a service's job may run."""
    known = table_for(table, job)
    if known is None:
        return Undecided()
    route = known.find(job.host, item.path.partition('?')[0])
    if route is None:
        return Revoked()
    if service in route.services:
        return Granted()
    return Elsewhere()
