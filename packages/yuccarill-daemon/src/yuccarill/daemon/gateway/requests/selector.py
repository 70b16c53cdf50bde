"""Select the targets for the successive attempts of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.daemon.gateway.capacity import port

if TYPE_CHECKING:
    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.core.ids import ContentDigest
    from yuccarill.core.ids import ServiceName
    from yuccarill.core.ids import TargetId
    from yuccarill.daemon.gateway.requests.attempts import Attempts


class TargetSelector:
    """Select targets within the attempt limit and the retry budget."""

    def __init__(
        self,
        attempting: Attempts,
        service: ServiceName,
        content: ContentDigest,
        limit: int,
        permit: port.SendPermit = port.UNLIMITED,
        is_trial: bool = False,
    ) -> None:
        self._attempting = attempting
        self._guard = attempting.guard
        self._service = service
        self._content = content
        self._limit = limit
        self._permit = permit
        self._is_trial = is_trial
        self._sent = 0
        self._tried: set[TargetId] = set()
        self._unreached: set[TargetId] = set()

    def next(self) -> ListedTarget | None:
        """Return the next target, none if targets or attempts are used up.

        Raises RequestQuarantined if the content is quarantined.
        """
        if self._sent >= self._limit:
            return None
        self._guard.admit(self._content, self._service, self._is_trial)
        if self._sent and not self._permit.may_retry():
            return None
        target = self._attempting.choose(
            self._service,
            frozenset(self._tried),
            self._guard.targets_to_avoid(self._content),
        )
        if target is None or target.id in self._unreached:
            return None
        self._tried.add(target.id)
        self._sent += 1
        return target

    def record_unreached(self, target: ListedTarget) -> None:
        """Record a target to which nothing could be sent.

        Such an attempt doesn't count, so that targets that are gone but still
        listed don't use up the attempts.
        """
        self._unreached.add(target.id)
        self._sent -= 1
