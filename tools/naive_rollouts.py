"""The naive policy: whole steps in turn, whole groups again on a failure."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import rollout_model

if TYPE_CHECKING:
    from yuccarill.core.ids import TargetId


class _Group:
    def __init__(self, trainer: int, step: int, number: int) -> None:
        self.trainer = trainer
        self.step = step
        self.number = number
        self.round = 0
        self.lags: list[int] = []


class NaiveRun:
    """Serve the oldest waiting sample on whichever engine is free."""

    def __init__(
        self, size: rollout_model.Size, lengths: rollout_model.Lengths
    ) -> None:
        self.loop = rollout_model.Loop()
        self.fleet = rollout_model.Fleet(self.loop, size)
        self.fleet.on_crash = self._crash
        self._groups = size.samples // rollout_model.MEMBERS
        self._lengths = lengths
        self.trainers = [
            rollout_model.TrainerModel(n, self.loop, size, 0)
            for n in range(rollout_model.TRAINERS)
        ]
        self._free = collections.deque(self.fleet.names)
        self._waiting: collections.deque[tuple[_Group, int, int]] = (
            collections.deque()
        )
        self._running: dict[TargetId, tuple[_Group, int]] = {}
        self._serial: collections.Counter[TargetId] = collections.Counter()
        self._whole: dict[tuple[int, int], list[int]] = {}
        self.starts = 0

    def run(self) -> None:
        """Run all steps."""
        for trainer in self.trainers:
            self._submit(trainer)
        self.loop.run(lambda: all(t.is_done for t in self.trainers))

    def _submit(self, trainer: rollout_model.TrainerModel) -> None:
        for step in trainer.due():
            self._whole[trainer.index, step] = []
            for number in range(self._groups):
                self._enter(_Group(trainer.index, step, number))
        self._pump()

    def _enter(self, group: _Group) -> None:
        for member in range(rollout_model.MEMBERS):
            self._waiting.append((group, group.round, member))

    def _pump(self) -> None:
        while self._free and self._waiting:
            group, tried, member = self._waiting.popleft()
            if tried == group.round:
                self._start(self._free.popleft(), group, member)

    def _start(self, engine: TargetId, group: _Group, member: int) -> None:
        trainer = self.trainers[group.trainer]
        self.starts += 1
        self._serial[engine] += 1
        self._running[engine] = (group, group.round)
        prompt = f'{trainer.id}/{group.step}/{group.number}'
        index = group.number * rollout_model.MEMBERS + member
        length = self._lengths.of(group.trainer, group.step)[index]
        seconds = self.fleet.prefill(engine, prompt)
        seconds += length / self.fleet.rate(engine)
        lag = trainer.newest - self.fleet.version(trainer.id, engine)
        serial, tried = self._serial[engine], group.round

        def end() -> None:
            if self._serial[engine] != serial:
                return
            self._release(engine)
            if tried == group.round:
                self._finish(group, lag)
            self._pump()

        self.loop.after(seconds, end)

    def _finish(self, group: _Group, lag: int) -> None:
        group.lags.append(lag)
        if len(group.lags) < rollout_model.MEMBERS:
            return
        lags = self._whole[group.trainer, group.step]
        lags.extend(group.lags)
        if len(lags) == self._groups * rollout_model.MEMBERS:
            trainer = self.trainers[group.trainer]
            trainer.receive(lags, [], lambda: self._trained(trainer))

    def _trained(self, trainer: rollout_model.TrainerModel) -> None:
        self.fleet.announce(trainer.id)
        self._submit(trainer)

    def _release(self, engine: TargetId) -> None:
        self._running.pop(engine, None)
        self._serial[engine] += 1
        # Spared the worst: a crashed engine is not asked until it works.
        wait = self.fleet.repaired_in(engine)
        if wait:
            self.loop.after(wait, lambda: self._back(engine))
        else:
            self._free.append(engine)

    def _back(self, engine: TargetId) -> None:
        self._free.append(engine)
        self._pump()

    def _crash(self, engine: TargetId, noticed_in: float) -> None:
        if engine not in self._running:
            return
        group, tried = self._running[engine]
        self._serial[engine] += 1

        def notice() -> None:
            self._release(engine)
            if tried == group.round:
                group.round += 1
                group.lags = []
                self._enter(group)
            self._pump()

        self.loop.after(noticed_in, notice)
