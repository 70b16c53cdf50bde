"""Choose the targets that one request is sent to, one after the other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.daemon.gateway.capacity import port

if TYPE_CHECKING:
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.requests.attempting import Attempts


class TargetTries:
    """Choose targets as long as a request may be sent to one more."""

    def __init__(
        self,
        attempting: Attempts,
        service: ServiceName,
        content: ContentDigest,
        limit: int,
        entry: port.Entry = port.OPEN,
    ) -> None:
        self._attempting = attempting
        self._guard = attempting.guard
        self._service = service
        self._content = content
        self._limit = limit
        self._entry = entry
        self._sent = 0
        self._tried: set[TargetId] = set()
        self._unreached: set[TargetId] = set()

    def next(self) -> ListedTarget | None:
        """Return a target to send the request to, none if none is left.

        Raises RequestQuarantined if its like ended targets.
        """
        if self._sent >= self._limit:
            return None
        self._guard.admit(self._content, self._service)
        if self._sent and not self._entry.may_try_again():
            return None
        target = self._attempting.choose(
            self._service,
            frozenset(self._tried),
            self._guard.elsewhere(self._content),
        )
        if target is None or target.id in self._unreached:
            return None
        self._tried.add(target.id)
        self._sent += 1
        return target

    def not_reached(self, target: ListedTarget) -> None:
        """Note a target to which no byte was sent.

        It does not count: while two of three targets are gone and still
        listed, a request that may be sent to two used both up on them, and
        was refused beside a target that could have served it.
        """
        self._unreached.add(target.id)
        self._sent -= 1
