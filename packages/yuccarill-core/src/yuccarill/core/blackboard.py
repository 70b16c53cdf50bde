"""State that the controllers of one instance share."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.config.snapshot import Snapshot
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import TargetId
    from yuccarill.core.ids import WallTime
    from yuccarill.core.membership.instances import Instance
    from yuccarill.core.membership.member import Member
    from yuccarill.core.weights.orders import TargetState


@dataclasses.dataclass
class Blackboard:
    """Hold the state that controllers read and write."""

    own_instance: Instance
    snapshot: Snapshot | None = None
    instances_by_id: dict[InstanceId, Instance] = dataclasses.field(
        default_factory=dict
    )
    members_by_id: dict[InstanceId, Member] = dataclasses.field(
        default_factory=dict
    )
    in_flight_by_id: collections.Counter[TargetId] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Last reported state of each engine whose lease this instance holds.
    targets_by_id: dict[TargetId, TargetState] = dataclasses.field(
        default_factory=dict
    )
    is_leaving: bool = False
    # Latest expiry of addresses given to callers; None before shutdown.
    serves_until: WallTime | None = None
