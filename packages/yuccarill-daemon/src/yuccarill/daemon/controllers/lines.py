"""Let calls of one service or model in, and tell them their targets."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import defer

from yuccarill.core.calls import admission
from yuccarill.core.calls import dispatcher
from yuccarill.core.config.inventory import Caller
from yuccarill.core.config.inventory import CallerClass
from yuccarill.core import errors
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import Instant
from yuccarill.daemon import metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.calls.load import LoadReport
    from yuccarill.core.calls.pool import Failure
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.core.config.snapshot import Snapshot
    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId

_PRIORITIES = {CallerClass.LATENCY: 0, CallerClass.INTERNAL: 10}
_MIN_SECONDS = 0.001


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Say who asks, and until when."""

    caller: Caller
    deadline: Instant

    @property
    def is_urgent(self) -> bool:
        return self.caller.caller_class is CallerClass.LATENCY

    @property
    def priority(self) -> int:
        return _PRIORITIES[self.caller.caller_class]


class Line:
    """Drive the dispatcher of one service or model."""

    def __init__(
        self,
        blackboard: Blackboard,
        find: Callable[[Snapshot], Sequence[Engine | Target]],
        policy: dispatcher.Policy,
        now: Callable[[], Instant],
        clock: Any,
    ) -> None:
        self._blackboard = blackboard
        self._find = find
        self._now = now
        self._clock = clock
        self._is_admitting = False
        self._snapshot: Snapshot | None = None
        self._waiting: set[admission.QueuedCall[defer.Deferred[None]]] = set()
        self._targets_by_id: dict[TargetId, Engine | Target] = {}
        self.dispatcher = dispatcher.Dispatcher[defer.Deferred[None]](
            policy, random.Random()
        )

    async def enter(self, entry: Entry) -> None:
        """Wait until a call may go on; leave() must follow.

        Raises Overloaded, at once or as soon as it would be late.
        """
        self._follow()
        admitted: defer.Deferred[None] = defer.Deferred()
        waiting = admission.QueuedCall(
            admitted,
            entry.caller.id,
            entry.caller.caller_class,
            entry.caller.share,
            entry.deadline,
        )
        begun_at = self._now()
        self._waiting.add(waiting)
        for refused in self.dispatcher.offer(waiting, begun_at):
            self._refuse(refused)
        self._admit()
        timer = None
        if waiting.is_queued:
            patience = entry.deadline - self.dispatcher.expected_latency
            left = max(_MIN_SECONDS, patience - begun_at)
            timer = self._clock.callLater(left, self._give_up, waiting)
        try:
            await admitted
        finally:
            # A caller that went away must not be admitted later: nobody
            # would free its place.
            self._waiting.discard(waiting)
            self.dispatcher.withdraw(waiting)
            if timer is not None and timer.active():
                timer.cancel()
        metrics.timing(metrics.Metric.CALLS_WAIT, self._now() - begun_at)

    def leave(self) -> None:
        """Free the place of a call that entered."""
        self.dispatcher.release()
        self._admit()

    def refuse_waiting(self) -> None:
        """Refuse the calls that wait, as this instance ends."""
        for waiting in list(self._waiting):
            if waiting.is_queued:
                self._give_up(waiting)

    def choose(
        self,
        tried: frozenset[TargetId],
        entry: Entry,
        prefix: str | None = None,
    ) -> Engine | Target | None:
        """Return a target for the next attempt, or none."""
        self._follow()
        target = self.dispatcher.pool.choose(
            self._now(), tried, entry.is_urgent, prefix
        )
        return None if target is None else self._targets_by_id[target]

    def send(self, target: TargetId) -> None:
        """Count an attempt from before its first byte."""
        self._blackboard.in_flight_by_id[target] += 1
        self.dispatcher.pool.record_send(target)
        metrics.count(metrics.Metric.CALLS_ATTEMPTS)

    def answer(
        self, target: TargetId, begun_at: Instant, report: LoadReport | None
    ) -> None:
        """Learn from an attempt that was answered."""
        self._blackboard.in_flight_by_id[target] -= 1
        now = self._now()
        self.dispatcher.record_answer(target, now - begun_at, report, now)

    def fail(
        self, target: TargetId, begun_at: Instant, failure: Failure
    ) -> None:
        """Learn from an attempt that failed."""
        self._blackboard.in_flight_by_id[target] -= 1
        now = self._now()
        self.dispatcher.record_failure(target, failure, now - begun_at, now)

    def give_up(self, target: TargetId) -> None:
        """Take back an attempt that was not needed any more."""
        self._blackboard.in_flight_by_id[target] -= 1
        self.dispatcher.pool.cancel_attempt(target)

    def _follow(self) -> None:
        snapshot = self._blackboard.snapshot
        if snapshot is None or snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        self._targets_by_id = {t.id: t for t in self._find(snapshot)}
        centres = {t.id: t.data_centre for t in self._targets_by_id.values()}
        self.dispatcher.pool.update(
            centres, self._blackboard.own_instance.data_centre, self._now()
        )

    def _admit(self) -> None:
        # A call that ends at once frees its place within this loop; were
        # the next let in from there, a long queue would nest too deep.
        if self._is_admitting:
            return
        self._is_admitting = True
        try:
            while self._admit_some():
                pass
        finally:
            self._is_admitting = False

    def _admit_some(self) -> bool:
        admitted, given_up = self.dispatcher.admit(self._now())
        for waiting in given_up:
            self._refuse(waiting)
        for waiting in admitted:
            waiting.item.callback(None)
        return bool(admitted or given_up)

    def _give_up(self, waiting: admission.QueuedCall[Any]) -> None:
        self.dispatcher.withdraw(waiting)
        self._refuse(waiting)

    def _refuse(self, waiting: admission.QueuedCall[Any]) -> None:
        metrics.count(metrics.Metric.CALLS_REFUSED)
        wait = self.dispatcher.retry_after(waiting)
        waiting.item.errback(
            errors.Overloaded(
                'More is asked for than the targets bear; come back later.',
                retry_after=wait,
            )
        )


class Lines:
    """Hold the line of each service and model."""

    def __init__(
        self,
        blackboard: Blackboard,
        now: Callable[[], Instant],
        clock: Any,
        policy: dispatcher.Policy,
    ) -> None:
        self._blackboard = blackboard
        self._now = now
        self._clock = clock
        self._policy = policy
        self._lines_by_service: dict[ServiceName, Line] = {}
        self._lines_by_model: dict[ModelName, Line] = {}

    def of_service(self, name: ServiceName) -> Line:
        """Return the line of a service of the inventory.

        Raises NoConfiguration, UnknownService.
        """
        if name not in self._snapshot().services_by_name:
            raise errors.UnknownService(
                f'Service {name} is not in the inventory; check its name.'
            )
        if name not in self._lines_by_service:
            self._lines_by_service[name] = self._line(
                lambda snapshot: snapshot.targets_by_service.get(name, ())
            )
        return self._lines_by_service[name]

    def of_model(self, name: ModelName) -> Line:
        """Return the line of a model of the inventory.

        Raises NoConfiguration, UnknownService.
        """
        if name not in self._snapshot().engines_by_model:
            raise errors.UnknownService(f'No engine runs model {name}.')
        if name not in self._lines_by_model:
            self._lines_by_model[name] = self._line(
                lambda snapshot: snapshot.engines_by_model.get(name, ())
            )
        return self._lines_by_model[name]

    def refuse_waiting(self) -> None:
        """Refuse all calls that wait."""
        for lines_by_name in (self._lines_by_service, self._lines_by_model):
            for line in lines_by_name.values():
                line.refuse_waiting()

    def caller(self, caller: CallerId | None) -> Caller:
        """Return what the inventory says of a caller."""
        callers_by_id = self._snapshot().callers_by_id
        if caller is not None and caller in callers_by_id:
            return callers_by_id[caller]
        # All callers that nobody described share one part.
        return _UNKNOWN_CALLER

    def _line(
        self, find: Callable[[Snapshot], Sequence[Engine | Target]]
    ) -> Line:
        return Line(
            self._blackboard, find, self._policy, self._now, self._clock
        )

    def _snapshot(self) -> Snapshot:
        head = self._blackboard.snapshot
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        return head


_UNKNOWN_CALLER = Caller(id=CallerId(''))
