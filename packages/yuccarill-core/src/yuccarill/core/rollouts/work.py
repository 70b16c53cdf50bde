"""Track one step on its holder until it is delivered."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.core.ids import GroupNumber
from yuccarill.core.rollouts import delivery
from yuccarill.core.rollouts import sample as sample_module

if TYPE_CHECKING:
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import SampleId
    from yuccarill.core.ids import StepNumber
    from yuccarill.core.ids import TrainerId
    from yuccarill.core.ids import WeightVersion
    from yuccarill.core.rollouts.records import Manifest
    from yuccarill.core.rollouts.replicas import Disk
    from yuccarill.core.rollouts.sample import Finished
    from yuccarill.core.rollouts.sample import Place
    from yuccarill.core.rollouts.step import StepRequest


class StepWork:
    """Collect a step's finished samples until it has a manifest."""

    def __init__(
        self, trainer: TrainerId, request: StepRequest, spare_groups: int = 0
    ) -> None:
        self.trainer = trainer
        self.request = request
        self.digest = request.digest
        self.finished_by_place: dict[Place, Finished] = {}
        self.disks_by_place: dict[Place, tuple[Disk, ...]] = {}
        self._places = frozenset(self.places())
        spare = min(spare_groups, request.spare_groups)
        self._needed_groups = max(0, len(request.groups) - spare)
        self._filled_by_group: collections.Counter[GroupNumber] = (
            collections.Counter()
        )
        self._complete_groups: set[GroupNumber] = set()
        self._failed_groups: set[GroupNumber] = set()
        self.error: errors.YuccarillError | None = None
        self.manifest: Manifest | None = None
        self.body: bytes | None = None
        # Reason for waiting that is reported to the trainer.
        self.pending_reason = 'its samples'

    @property
    def step(self) -> StepNumber:
        return self.request.step

    @property
    def is_whole(self) -> bool:
        return len(self._complete_groups) >= self._needed_groups

    @property
    def is_open(self) -> bool:
        """Return whether the step still accepts samples."""
        return self.error is None and self.manifest is None

    @property
    def is_closed(self) -> bool:
        return isinstance(self.error, errors.StepClosed)

    def places(self) -> list[Place]:
        """Return every place of the step, in the order of delivery."""
        return [
            sample_module.Place(GroupNumber(number), member)
            for number, group in enumerate(self.request.groups)
            for member in range(group.samples)
        ]

    def missing(self) -> list[Place]:
        """Return the unfilled places of groups that have not failed."""
        return [
            place
            for place in self.places()
            if place not in self.finished_by_place
            and place.group not in self._failed_groups
        ]

    def abandon_group(self, group: GroupNumber) -> bool:
        """Drop a group; return whether the step can still be complete."""
        self._failed_groups.add(group)
        return (
            len(self.request.groups) - len(self._failed_groups)
            >= self._needed_groups
        )

    def add_sample(
        self, finished: Finished, disks: tuple[Disk, ...] = ()
    ) -> bool:
        """Add a sample; return False if it is late or a duplicate."""
        place = sample_module.place_of(finished.id)
        # A hedged attempt or a repeated scorer response may deliver a place
        # twice. Counting both would make the step complete too early.
        if not self.is_open or place in self.finished_by_place:
            return False
        if place not in self._places:
            return False
        self.finished_by_place[place] = finished
        self.disks_by_place[place] = disks
        self._filled_by_group[place.group] += 1
        if self._filled_by_group[place.group] == self._group_size(place.group):
            self._complete_groups.add(place.group)
        return True

    def stored_on(self) -> tuple[InstanceId, ...]:
        """Return the disk instances that store any of the samples."""
        kept = self.disks_by_place.values()
        return tuple(sorted({d.instance for disks in kept for d in disks}))

    def drop_stale(self, newest: WeightVersion, bound: int) -> list[Place]:
        """Drop the stale samples and return their places."""
        stale = [
            place
            for place, finished in self.finished_by_place.items()
            if not sample_module.is_fresh(
                finished.oldest_version, newest, bound
            )
        ]
        for place in stale:
            del self.finished_by_place[place]
            del self.disks_by_place[place]
            self._filled_by_group[place.group] -= 1
            self._complete_groups.discard(place.group)
        return stale

    def in_order(self) -> list[Finished]:
        """Return the samples to deliver, in order."""
        chosen = set(sorted(self._complete_groups)[: self._needed_groups])
        return [
            self.finished_by_place[place]
            for place in self.places()
            if place.group in chosen
        ]

    def encoded_by_id(self) -> dict[SampleId, bytes]:
        """Return the encoded samples by id."""
        return {f.id: f.encoded for f in self.finished_by_place.values()}

    def sample_digest(self) -> str:
        """Return the digest of the samples to deliver."""
        return delivery.digest(f.encoded for f in self.in_order())

    def _group_size(self, group: GroupNumber) -> int:
        return self.request.groups[group].samples

    def decide(self, manifest: Manifest) -> None:
        """Set the stored manifest, after which no sample is accepted."""
        self.manifest = manifest

    def deliver(self, body: bytes) -> None:
        """Keep the encoded delivery for repeated fetches; drop the samples."""
        self.body = body
        self.finished_by_place = {}
        self.disks_by_place = {}
