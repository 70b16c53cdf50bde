"""Try a call on targets, one attempt after another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.calls import attempt as attempt_module
from yuccarill.core.calls.attempt import Step
from yuccarill.core.calls import router
from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.daemon.adapters.target import TargetRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.calls.ledger import Answer
    from yuccarill.core.config.inventory import Engine
    from yuccarill.core.config.inventory import Target
    from yuccarill.daemon.adapters.target import TargetAdapter

MAX_ATTEMPTS = 3
# Seconds past its caller's deadline for which a sent call that must not
# run again is listened to, so that its outcome can be asked for.
OUTCOME_SECONDS = 30.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one call of a plain service."""

    request_id: RequestId
    service: ServiceName
    path: str
    query: str = ''
    content_type: str
    body: bytes
    deadline: Instant
    ticket: str | None = None


class AttemptFailed(Exception):
    """Name the target of an attempt that brought no answer."""

    def __init__(
        self, target: TargetId, step: Step, cause: errors.YuccarillError
    ) -> None:
        super().__init__(target)
        self.target = target
        self.step = step
        self.cause = cause


class AttemptController:
    """Choose targets for a call and say truly how its attempts ended."""

    def __init__(
        self,
        blackboard: Blackboard,
        targets: TargetAdapter,
        now: Callable[[], Instant],
    ) -> None:
        self._blackboard = blackboard
        self._targets = targets
        self._now = now

    async def run(self, call: Call, is_repeatable: bool) -> Answer:
        """Return the answer of the first target that gives one.

        Raises an error that says not run only if no attempt sent a byte.
        """
        tried: frozenset[TargetId] = frozenset()
        last: errors.YuccarillError | None = None
        may_have_run = False
        for _ in range(MAX_ATTEMPTS):
            if self._now() >= call.deadline:
                last = last or errors.DeadlinePassed(
                    'The deadline passed before the call was sent.',
                    retry_after=1.0,
                )
                break
            target = self._choose(call, tried)
            if target is None:
                break
            try:
                return await self._attempt(call, target, is_repeatable)
            except AttemptFailed as failure:
                tried |= {failure.target}
                last = failure.cause
                may_have_run |= attempt_module.may_have_run(failure.step)
            if may_have_run and not is_repeatable:
                break
        if may_have_run:
            # The last attempt may not have run while an earlier one did.
            raise errors.OutcomeUnknown(
                f'{last.message if last else ""} The call may have run.',
                retry_after=1.0,
            ) from last
        raise last or errors.NoTarget(
            f'No target of {call.service} is left to try.', retry_after=1.0
        )

    def _choose(
        self, call: Call, tried: frozenset[TargetId]
    ) -> Engine | Target | None:
        head = self._blackboard.head
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        return router.choose(
            head.targets_by_service.get(call.service, ()),
            self._blackboard.in_flight_by_id,
            self._blackboard.me.data_centre,
            tried,
        )

    async def _attempt(
        self, call: Call, target: Engine | Target, is_repeatable: bool
    ) -> Answer:
        step = Step.ACCEPTED

        def note(reached: Step) -> None:
            nonlocal step
            step = max(step, reached)

        late = 0.0 if is_repeatable else OUTCOME_SECONDS
        request = TargetRequest(
            request_id=call.request_id,
            path=call.path,
            query=call.query,
            content_type=call.content_type,
            body=call.body,
            connect_by=call.deadline,
            answer_by=Instant(call.deadline + late),
        )
        in_flight = self._blackboard.in_flight_by_id
        in_flight[target.id] += 1
        try:
            return await self._targets.call(target.address, request, note)
        except errors.YuccarillError as error:
            raise AttemptFailed(target.id, step, error) from error
        finally:
            in_flight[target.id] -= 1
