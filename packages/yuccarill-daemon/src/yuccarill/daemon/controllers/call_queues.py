"""Queue calls of each service or model and choose their targets."""

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
    """Describe the caller and the deadline of a queued call."""

    caller: Caller
    deadline: Instant

    @property
    def is_urgent(self) -> bool:
        return self.caller.caller_class is CallerClass.LATENCY

    @property
    def priority(self) -> int:
        return _PRIORITIES[self.caller.caller_class]


class CallQueue:
    """Admit and dispatch the calls of one service or model."""

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
        self._queued: set[admission.QueuedCall[defer.Deferred[None]]] = set()
        self._targets_by_id: dict[TargetId, Engine | Target] = {}
        self.dispatcher = dispatcher.Dispatcher[defer.Deferred[None]](
            policy, random.Random()
        )

    async def enter(self, entry: Entry) -> None:
        """Wait until a call is admitted; leave() must follow.

        Raises Overloaded if shed, or once it would miss its deadline.
        """
        self._update_targets()
        admitted: defer.Deferred[None] = defer.Deferred()
        queued = admission.QueuedCall(
            admitted,
            entry.caller.id,
            entry.caller.caller_class,
            entry.caller.share,
            entry.deadline,
        )
        started_at = self._now()
        self._queued.add(queued)
        for refused in self.dispatcher.offer(queued, started_at):
            self._refuse(refused)
        self._admit()
        timer = None
        if queued.is_queued:
            start_by = entry.deadline - self.dispatcher.expected_latency
            left = max(_MIN_SECONDS, start_by - started_at)
            timer = self._clock.callLater(left, self._withdraw, queued)
        try:
            await admitted
        finally:
            # A caller that disconnected must not be admitted later: nobody
            # would release its slot.
            self._queued.discard(queued)
            self.dispatcher.withdraw(queued)
            if timer is not None and timer.active():
                timer.cancel()
        metrics.timing(metrics.Metric.CALLS_WAIT, self._now() - started_at)

    def leave(self) -> None:
        """Release the slot of an admitted call."""
        self.dispatcher.release()
        self._admit()

    def refuse_waiting(self) -> None:
        """Refuse the queued calls, as this instance stops."""
        for queued in list(self._queued):
            if queued.is_queued:
                self._withdraw(queued)

    def choose(
        self,
        tried: frozenset[TargetId],
        entry: Entry,
        prefix: str | None = None,
    ) -> Engine | Target | None:
        """Return a target for the next attempt, or None."""
        self._update_targets()
        target = self.dispatcher.pool.choose(
            self._now(), tried, entry.is_urgent, prefix
        )
        return None if target is None else self._targets_by_id[target]

    def record_send(self, target: TargetId) -> None:
        """Count an attempt; called before its first byte is sent."""
        self._blackboard.in_flight_by_id[target] += 1
        self.dispatcher.pool.record_send(target)
        metrics.count(metrics.Metric.CALLS_ATTEMPTS)

    def record_answer(
        self, target: TargetId, started_at: Instant, report: LoadReport | None
    ) -> None:
        """Record the latency and load report of an answered attempt."""
        self._blackboard.in_flight_by_id[target] -= 1
        now = self._now()
        self.dispatcher.record_answer(target, now - started_at, report, now)

    def record_failure(
        self, target: TargetId, started_at: Instant, failure: Failure
    ) -> None:
        """Record a failed attempt."""
        self._blackboard.in_flight_by_id[target] -= 1
        now = self._now()
        self.dispatcher.record_failure(target, failure, now - started_at, now)

    def cancel_attempt(self, target: TargetId) -> None:
        """Discard an attempt that is no longer needed."""
        self._blackboard.in_flight_by_id[target] -= 1
        self.dispatcher.pool.cancel_attempt(target)

    def _update_targets(self) -> None:
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
        # A call that ends at once releases its slot in this loop; admitting
        # the next call from there would recurse as deep as the queue.
        if self._is_admitting:
            return
        self._is_admitting = True
        try:
            while self._admit_batch():
                pass
        finally:
            self._is_admitting = False

    def _admit_batch(self) -> bool:
        admitted, expired = self.dispatcher.admit(self._now())
        for queued in expired:
            self._refuse(queued)
        for queued in admitted:
            queued.item.callback(None)
        return bool(admitted or expired)

    def _withdraw(self, queued: admission.QueuedCall[Any]) -> None:
        self.dispatcher.withdraw(queued)
        self._refuse(queued)

    def _refuse(self, queued: admission.QueuedCall[Any]) -> None:
        metrics.count(metrics.Metric.CALLS_REFUSED)
        retry_after = self.dispatcher.retry_after(queued)
        queued.item.errback(
            errors.Overloaded(
                'The targets are overloaded; retry after the given delay.',
                retry_after=retry_after,
            )
        )


class CallQueues:
    """Hold the queue of each service and model."""

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
        self._queues_by_service: dict[ServiceName, CallQueue] = {}
        self._queues_by_model: dict[ModelName, CallQueue] = {}

    def for_service(self, name: ServiceName) -> CallQueue:
        """Return the queue of a service in the inventory.

        Raises NoConfiguration, UnknownService.
        """
        if name not in self._snapshot().services_by_name:
            raise errors.UnknownService(
                f'Service {name} is not in the inventory; check its name.'
            )
        if name not in self._queues_by_service:
            self._queues_by_service[name] = self._new_queue(
                lambda snapshot: snapshot.targets_by_service.get(name, ())
            )
        return self._queues_by_service[name]

    def for_model(self, name: ModelName) -> CallQueue:
        """Return the queue of a model in the inventory.

        Raises NoConfiguration, UnknownService.
        """
        if name not in self._snapshot().engines_by_model:
            raise errors.UnknownService(f'No engine runs model {name}.')
        if name not in self._queues_by_model:
            self._queues_by_model[name] = self._new_queue(
                lambda snapshot: snapshot.engines_by_model.get(name, ())
            )
        return self._queues_by_model[name]

    def refuse_waiting(self) -> None:
        """Refuse all queued calls."""
        for queues_by_name in (self._queues_by_service, self._queues_by_model):
            for queue in queues_by_name.values():
                queue.refuse_waiting()

    def caller(self, caller: CallerId | None) -> Caller:
        """Return the inventory entry of a caller, or the default one."""
        callers_by_id = self._snapshot().callers_by_id
        if caller is not None and caller in callers_by_id:
            return callers_by_id[caller]
        # All callers missing from the inventory share one quota.
        return _UNKNOWN_CALLER

    def _new_queue(
        self, find: Callable[[Snapshot], Sequence[Engine | Target]]
    ) -> CallQueue:
        return CallQueue(
            self._blackboard, find, self._policy, self._now, self._clock
        )

    def _snapshot(self) -> Snapshot:
        snapshot = self._blackboard.snapshot
        if snapshot is None:
            raise errors.NoConfiguration(
                'No configuration is loaded yet; try again.', retry_after=1.0
            )
        return snapshot


_UNKNOWN_CALLER = Caller(id=CallerId(''))
