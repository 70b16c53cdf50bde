"""Typed messages between operators and an instance, as JSON over HTTP."""

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
    """Describe an error to a caller, a trainer or an operator."""

    code: int
    name: str
    message: str
    not_run: bool
    retry_after: float | None


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a document to become the next revision."""

    author: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    base: Annotated[Revision, msgspec.Meta(ge=0)]
    document: Any
    # Repeats of one change id make one revision at most.
    change_id: Annotated[ChangeId, msgspec.Meta(max_length=100)] | None = None


class ApplyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Tell which revision stands after an apply."""

    revision: Revision
    change_id: ChangeId
    outcome: str = 'applied'


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Show the configuration in force at an instance."""

    revision: Revision = Revision(0)
    change_id: ChangeId = ChangeId('')
    author: str = ''
    applied_at: WallTime = WallTime(0.0)
    inventory: Inventory = Inventory()


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Show what one instance knows of a target."""

    id: TargetId
    # Calls that this instance has on the target.
    in_flight: int = 0
    # What the engine said of itself, at the instance that orders it.
    weight_version: WeightVersion | None = None
    staged_version: WeightVersion | None = None


class TrainerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Show one trainer as an instance sees it."""

    id: TrainerId
    # The instance that works on the trainer's steps, if one is known.
    holder: InstanceId | None = None
    # Steps that the answering instance works on.
    open_steps: tuple[StepNumber, ...] = ()


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Show what an instance knows."""

    instance: InstanceId
    incarnation: Incarnation
    # 0 as long as no configuration is known.
    revision: Revision
    is_leaving: bool
    # Since the process began, over all streams to and from peers.
    peer_bytes_sent: int = 0
    peer_bytes_received: int = 0
    instances: tuple[Instance, ...] = ()
    # Only those of which this instance knows something: with every target
    # in every reply, asking all instances would move tens of megabytes.
    targets: tuple[TargetStatus, ...] = ()
    trainers: tuple[TrainerStatus, ...] = ()


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Show one change, or one that was refused."""

    base: Revision
    # The revision that the change made, none if it was refused.
    revision: Revision | None
    change_id: ChangeId
    author: str
    at: WallTime
    result: str
    # The entries that changed, as `section id`.
    entries: tuple[str, ...] = ()


class AuditReply(msgspec.Struct, frozen=True, kw_only=True):
    """Show a page of the audit trail, oldest first."""

    changes: tuple[AuditEntry, ...]
    # The last revision of the page before this one, 0 for none.
    previous: Revision = Revision(0)


class AddressesReply(msgspec.Struct, frozen=True):
    """Tell a caller which instances to use, and until when."""

    addresses: tuple[str, ...]
    valid_until: WallTime
