"""Find out whether a target ended under the calls that it had."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway.end_ledger import EndReport
from yuccarill.core.gateway.targets import ListedTarget
from yuccarill.core.ids import ContentDigest
from yuccarill.daemon.gateway import meters
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.ids import RequestId
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.quarantine.guard import ContentGuard
    from yuccarill.platform.calls import Calls

log = logs.for_part('ends')


@dataclasses.dataclass
class _Loss:
    """Gather the calls of one target whose connections were lost."""

    target: ListedTarget
    # In the order in which they were lost.
    requests_by_content: dict[ContentDigest, RequestId]
    waiting: list[defer.Deferred[bool]]


class TargetEnds:
    """Tell a process that ended from a connection that was cut.

    A network that cuts connections leaves the process listening; one that
    crashed refuses the next connection.
    """

    def __init__(self, calls: Calls, guard: ContentGuard) -> None:
        self._calls = calls
        self._guard = guard
        self._losses_by_target: dict[TargetId, _Loss] = {}

    async def lost(
        self,
        target: ListedTarget,
        content: ContentDigest,
        request: RequestId,
    ) -> bool:
        """Note a call whose connection was lost; tell if its target ended."""
        ended: defer.Deferred[bool] = defer.Deferred()
        loss = self._losses_by_target.get(target.id)
        if loss is not None and loss.target.is_same_start(target):
            # All connections of a process end within one moment, and one
            # look is enough.
            loss.requests_by_content[content] = request
            loss.waiting.append(ended)
            return await ended
        loss = _Loss(target, {content: request}, [ended])
        self._losses_by_target[target.id] = loss
        # The look goes on if the call that began it is given up: its
        # caller's leaving does not undo the end.
        looking = defer.Deferred.fromCoroutine(self._look(loss))
        looking.addErrback(self._failed, loss)
        return await ended

    async def _look(self, loss: _Loss) -> None:
        target = loss.target
        has_ended = await self._calls.has_ended(target)
        contents = tuple(loss.requests_by_content)
        meters.LOSSES.labels(target.service, has_ended).inc()
        log.info(
            'Target ended.' if has_ended else 'Connection lost.',
            target=target.id,
            service=target.service,
            contents=contents,
        )
        if has_ended:
            self._guard.target_ended(
                EndReport(
                    target=target.id,
                    contents=contents,
                    requests_by_content=loss.requests_by_content,
                )
            )
        self._end(loss, has_ended)

    def _failed(self, failure: Any, loss: _Loss) -> None:
        log.error('Look failed.', cause=failure.getTraceback())
        self._end(loss, has_ended=False)

    def _end(self, loss: _Loss, has_ended: bool) -> None:
        if self._losses_by_target.get(loss.target.id) is loss:
            del self._losses_by_target[loss.target.id]
        for waiting in loss.waiting:
            waiting.callback(has_ended)
