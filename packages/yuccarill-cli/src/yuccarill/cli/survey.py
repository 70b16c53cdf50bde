"""Ask every instance for its state."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.cli import failures
from yuccarill.cli import standing as standing_module
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

# Instances asked at the same time.
AT_ONCE = 16
_PATH = 'operators/status'


class InstanceCondition(enum.Enum):
    """Say what an instance told of itself, or that it told nothing."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SILENT = 'no answer'


class InstanceSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one instance told of itself."""

    id: InstanceId
    data_centre: DataCentreId
    address: str
    state: InstanceCondition
    revision: Revision | None = None
    incarnation: str | None = None


class TargetSeen(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what all instances know of one target."""

    id: TargetId
    runs: str
    data_centre: DataCentreId
    weight_version: WeightVersion | None = None
    staged_version: WeightVersion | None = None
    in_flight: int = 0


class Survey(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what all instances told."""

    instances: tuple[InstanceSeen, ...]
    targets: tuple[TargetSeen, ...]
    trainers: tuple[operators.TrainerStatus, ...]


async def take(session: Session) -> Survey:
    """Ask one instance for the others, then each of them.

    Raises Unreachable or Refused if none of the session's answers.
    """
    first = await session.read(_PATH, operators.StatusReply)
    listed = sorted(first.instances, key=lambda i: (i.data_centre, i.id))
    tokens = defer.DeferredSemaphore(AT_ONCE)
    replies = await defer.gatherResults(
        [tokens.run(_ask, session, instance) for instance in listed]
    )
    known = [t for reply in replies if reply for t in reply.targets]
    standing = await standing_module.read(session)
    return Survey(
        instances=tuple(map(_seen, listed, replies)),
        targets=tuple(_targets(standing.inventory, known)),
        trainers=tuple(_trainers(first, replies)),
    )


def _ask(
    session: Session, instance: Instance
) -> defer.Deferred[operators.StatusReply | None]:
    return defer.ensureDeferred(_ask_one(session, instance))


async def _ask_one(
    session: Session, instance: Instance
) -> operators.StatusReply | None:
    try:
        return await session.read_at(
            _address(instance), _PATH, operators.StatusReply
        )
    except failures.CommandFailure:
        return None


def _seen(
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


def _targets(
    inventory: Inventory, known: list[operators.TargetStatus]
) -> Iterator[TargetSeen]:
    known_by_id = collections.defaultdict(list)
    for status in known:
        known_by_id[status.id].append(status)
    described = [(engine, engine.model) for engine in inventory.engines]
    described += [(target, target.service) for target in inventory.targets]
    for entry, runs in described:
        statuses = known_by_id[entry.id]
        ordered = [s for s in statuses if s.weight_version is not None]
        yield TargetSeen(
            id=entry.id,
            runs=runs,
            data_centre=entry.data_centre,
            weight_version=ordered[0].weight_version if ordered else None,
            staged_version=ordered[0].staged_version if ordered else None,
            in_flight=sum(status.in_flight for status in statuses),
        )


def _trainers(
    first: operators.StatusReply,
    replies: list[operators.StatusReply | None],
) -> Iterator[operators.TrainerStatus]:
    """Return the trainers with the steps that any instance works on."""
    told = [t for reply in replies if reply for t in reply.trainers]
    for trainer in first.trainers:
        steps = {
            step
            for status in told
            if status.id == trainer.id
            for step in status.open_steps
        }
        yield msgspec.structs.replace(trainer, open_steps=tuple(sorted(steps)))


def _address(instance: Instance) -> str:
    return f'{instance.host}:{instance.http_port}'
