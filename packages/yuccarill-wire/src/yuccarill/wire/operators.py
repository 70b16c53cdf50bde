"""JSON messages of the HTTP interface for operators."""

from __future__ import annotations

from typing import Annotated
from typing import Any

import msgspec

from yuccarill.core.config.inventory import Inventory
from yuccarill.core.ids import ChangeId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Revision
from yuccarill.core.ids import StepNumber
from yuccarill.core.ids import TargetId
from yuccarill.core.ids import TrainerId
from yuccarill.core.ids import WallTime
from yuccarill.core.ids import WeightVersion
from yuccarill.core.membership.instances import Instance


class ErrorReply(msgspec.Struct, frozen=True):
    """An error, as callers, trainers and operators receive it."""

    code: int
    name: str
    message: str
    not_run: bool
    retry_after: float | None


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to apply a document as the next revision."""

    author: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    base: Annotated[Revision, msgspec.Meta(ge=0)]
    document: Any
    # Makes retries idempotent: one change id makes at most one revision.
    change_id: Annotated[ChangeId, msgspec.Meta(max_length=100)] | None = None


class ApplyReply(msgspec.Struct, frozen=True, kw_only=True):
    """The revision that an apply made or confirmed."""

    revision: Revision
    change_id: ChangeId
    outcome: str = 'applied'


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that an instance uses."""

    revision: Revision = Revision(0)
    change_id: ChangeId = ChangeId('')
    author: str = ''
    applied_at: WallTime = WallTime(0.0)
    inventory: Inventory = Inventory()


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a target, as one instance sees it."""

    id: TargetId
    # Calls from this instance that the target is processing.
    in_flight: int = 0
    # Reported by the engine; None if another instance holds its lease.
    weight_version: WeightVersion | None = None
    staged_version: WeightVersion | None = None


class TrainerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a trainer, as one instance sees it."""

    id: TrainerId
    # The instance that processes the trainer's steps, None if unknown.
    holder: InstanceId | None = None
    # Steps that the answering instance processes.
    open_steps: tuple[StepNumber, ...] = ()


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an instance and of the peers and targets it knows."""

    instance: InstanceId
    incarnation: Incarnation
    # 0 if no configuration is known.
    revision: Revision
    is_leaving: bool
    # Totals over all peer streams since the process started.
    peer_bytes_sent: int = 0
    peer_bytes_received: int = 0
    instances: tuple[Instance, ...] = ()
    # Only targets with status data; listing all targets would make the
    # replies of all instances tens of megabytes.
    targets: tuple[TargetStatus, ...] = ()
    trainers: tuple[TrainerStatus, ...] = ()


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An applied or refused change."""

    base: Revision
    # The revision that the change made, None if it was refused.
    revision: Revision | None
    change_id: ChangeId
    author: str
    at: WallTime
    result: str
    # The entries that changed, as `section id`.
    entries: tuple[str, ...] = ()


class AuditReply(msgspec.Struct, frozen=True, kw_only=True):
    """A page of the audit trail, oldest change first."""

    changes: tuple[AuditEntry, ...]
    # The last revision of the preceding page, 0 for none.
    previous: Revision = Revision(0)


class AddressesReply(msgspec.Struct, frozen=True):
    """Addresses of instances for a caller, valid until a time."""

    addresses: tuple[str, ...]
    valid_until: WallTime
