"""Collect the status of all instances."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.cli import current_configuration
from yuccarill.cli import failures
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import WeightVersion
from yuccarill.core.membership.instances import Instance
from yuccarill.wire import operators

if TYPE_CHECKING:
    from collections.abc import Iterator

    from yuccarill.cli.session import Session
    from yuccarill.core.config.inventory import Inventory

MAX_CONCURRENT_REQUESTS = 16
_PATH = 'operators/status'


class InstanceCondition(enum.Enum):
    """State that an instance reported, or that it did not answer."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SILENT = 'no answer'


class InstanceSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one instance."""

    id: InstanceId
    data_centre: DataCentreId
    address: str
    state: InstanceCondition
    revision: Revision | None = None
    incarnation: str | None = None


class TargetSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one target, merged from all instances."""

    id: TargetId
    runs: str
    data_centre: DataCentreId
    weight_version: WeightVersion | None = None
    staged_version: WeightVersion | None = None
    in_flight: int = 0


class Survey(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the system, merged from all instances."""

    instances: tuple[InstanceSeen, ...]
    targets: tuple[TargetSeen, ...]
    trainers: tuple[operators.TrainerStatus, ...]


async def collect(session: Session) -> Survey:
    """Read the instance list from one instance and the status from each.

    Raises Unreachable or Refused if no address of the session answers.
    """
    first = await session.read(_PATH, operators.StatusReply)
    listed = sorted(first.instances, key=lambda i: (i.data_centre, i.id))
    semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    replies = await defer.gatherResults(
        [semaphore.run(_start_read, session, instance) for instance in listed]
    )
    reported = [t for reply in replies if reply for t in reply.targets]
    current = await current_configuration.read(session)
    return Survey(
        instances=tuple(map(_instance_status, listed, replies)),
        targets=tuple(_target_statuses(current.inventory, reported)),
        trainers=tuple(_trainer_statuses(first, replies)),
    )


def _start_read(
    session: Session, instance: Instance
) -> defer.Deferred[operators.StatusReply | None]:
    return defer.ensureDeferred(_read_status(session, instance))


async def _read_status(
    session: Session, instance: Instance
) -> operators.StatusReply | None:
    try:
        return await session.read_at(
            _address(instance), _PATH, operators.StatusReply
        )
    except failures.CommandFailure:
        return None


def _instance_status(
    instance: Instance, reply: operators.StatusReply | None
) -> InstanceSeen:
    state = InstanceCondition.SILENT
    if reply is not None:
        state = InstanceCondition.LIVE
        if reply.is_leaving:
            state = InstanceCondition.LEAVING
    return InstanceSeen(
        id=instance.id,
        data_centre=instance.data_centre,
        address=_address(instance),
        state=state,
        revision=reply.revision if reply else None,
        incarnation=reply.incarnation if reply else None,
    )


def _target_statuses(
    inventory: Inventory, reported: list[operators.TargetStatus]
) -> Iterator[TargetSeen]:
    statuses_by_id = collections.defaultdict(list)
    for status in reported:
        statuses_by_id[status.id].append(status)
    entries = [(engine, engine.model) for engine in inventory.engines]
    entries += [(target, target.service) for target in inventory.targets]
    for entry, runs in entries:
        statuses = statuses_by_id[entry.id]
        loaded = [s for s in statuses if s.weight_version is not None]
        yield TargetSeen(
            id=entry.id,
            runs=runs,
            data_centre=entry.data_centre,
            weight_version=loaded[0].weight_version if loaded else None,
            staged_version=loaded[0].staged_version if loaded else None,
            in_flight=sum(status.in_flight for status in statuses),
        )


def _trainer_statuses(
    first: operators.StatusReply,
    replies: list[operators.StatusReply | None],
) -> Iterator[operators.TrainerStatus]:
    """Yield the trainers, each with the open steps of all instances."""
    reported = [t for reply in replies if reply for t in reply.trainers]
    for trainer in first.trainers:
        steps = {
            step
            for status in reported
            if status.id == trainer.id
            for step in status.open_steps
        }
        yield msgspec.structs.replace(trainer, open_steps=tuple(sorted(steps)))


def _address(instance: Instance) -> str:
    return f'{instance.host}:{instance.http_port}'
