"""Naive rollout policy: steps in order, groups restarted on a failure."""

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
    """Serve the oldest waiting sample on any free engine."""

    def __init__(
        self, size: rollout_model.Size, lengths: rollout_model.Lengths
    ) -> None:
        self.loop = rollout_model.Loop()
        self.fleet = rollout_model.Fleet(self.loop, size)
        self.fleet.on_crash = self._crash
        self._groups = size.samples // rollout_model.GROUP_SIZE
        self._lengths = lengths
        self.trainers = [
            rollout_model.TrainerModel(n, self.loop, size, 0)
            for n in range(rollout_model.TRAINERS)
        ]
        self._free = collections.deque(self.fleet.names)
        self._waiting: collections.deque[tuple[_Group, int, int]] = (
            collections.deque()
        )
        self._running_by_engine: dict[TargetId, tuple[_Group, int]] = {}
        self._serials: collections.Counter[TargetId] = collections.Counter()
        self._lags_by_step: dict[tuple[int, int], list[int]] = {}
        self.starts = 0

    def run(self) -> None:
        """Run all steps."""
        for trainer in self.trainers:
            self._submit(trainer)
        self.loop.run(lambda: all(t.is_done for t in self.trainers))

    def _submit(self, trainer: rollout_model.TrainerModel) -> None:
        for step in trainer.due_steps():
            self._lags_by_step[trainer.index, step] = []
            for number in range(self._groups):
                self._enqueue(_Group(trainer.index, step, number))
        self._dispatch()

    def _enqueue(self, group: _Group) -> None:
        for member in range(rollout_model.GROUP_SIZE):
            self._waiting.append((group, group.round, member))

    def _dispatch(self) -> None:
        while self._free and self._waiting:
            group, started_round, member = self._waiting.popleft()
            if started_round == group.round:
                self._start(self._free.popleft(), group, member)

    def _start(self, engine: TargetId, group: _Group, member: int) -> None:
        trainer = self.trainers[group.trainer]
        self.starts += 1
        self._serials[engine] += 1
        self._running_by_engine[engine] = (group, group.round)
        prompt = f'{trainer.id}/{group.step}/{group.number}'
        index = group.number * rollout_model.GROUP_SIZE + member
        length = self._lengths.of_step(group.trainer, group.step)[index]
        seconds = self.fleet.prefill(engine, prompt)
        seconds += length / self.fleet.rate(engine)
        lag = trainer.newest - self.fleet.version(trainer.id, engine)
        serial, started_round = self._serials[engine], group.round

        def end() -> None:
            if self._serials[engine] != serial:
                return
            self._release(engine)
            if started_round == group.round:
                self._finish(group, lag)
            self._dispatch()

        self.loop.schedule(seconds, end)

    def _finish(self, group: _Group, lag: int) -> None:
        group.lags.append(lag)
        if len(group.lags) < rollout_model.GROUP_SIZE:
            return
        lags = self._lags_by_step[group.trainer, group.step]
        lags.extend(group.lags)
        if len(lags) == self._groups * rollout_model.GROUP_SIZE:
            trainer = self.trainers[group.trainer]
            trainer.receive(lags, [], lambda: self._trained(trainer))

    def _trained(self, trainer: rollout_model.TrainerModel) -> None:
        self.fleet.announce(trainer.id)
        self._submit(trainer)

    def _release(self, engine: TargetId) -> None:
        self._running_by_engine.pop(engine, None)
        self._serials[engine] += 1
        # Favours this policy: no attempt reaches an engine under repair.
        repair = self.fleet.seconds_to_repair(engine)
        if repair:
            self.loop.schedule(repair, lambda: self._return_engine(engine))
        else:
            self._free.append(engine)

    def _return_engine(self, engine: TargetId) -> None:
        self._free.append(engine)
        self._dispatch()

    def _crash(self, engine: TargetId, detected_after: float) -> None:
        if engine not in self._running_by_engine:
            return
        group, started_round = self._running_by_engine[engine]
        self._serials[engine] += 1

        def detect() -> None:
            self._release(engine)
            if started_round == group.round:
                group.round += 1
                group.lags = []
                self._enqueue(group)
            self._dispatch()

        self.loop.schedule(detected_after, detect)
