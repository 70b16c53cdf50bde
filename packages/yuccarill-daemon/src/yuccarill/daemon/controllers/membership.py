"""Follow the instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.membership.instances import InstanceState
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.adapters.instance_list import InstanceListAdapter

log = logs.for_part('membership')

POLL_SECONDS = 1.0


class MembershipController:
    """Keep the blackboard's instances as the list shows them."""

    def __init__(
        self, blackboard: Blackboard, instance_list: InstanceListAdapter
    ) -> None:
        self._blackboard = blackboard
        self._instance_list = instance_list

    async def follow(self) -> None:
        """Read the list until the process ends."""
        while True:
            try:
                instances = await self._instance_list.read()
                self._blackboard.instances_by_id = {
                    instance.id: instance for instance in instances
                }
            except errors.StoreUnavailable as error:
                log.warning('List not read.', cause=error.message)
            await task.deferLater(reactor, POLL_SECONDS, lambda: None)

    def live(self) -> list[Instance]:
        """Return the instances that may be given new work."""
        instances = self._blackboard.instances_by_id.values()
        return [i for i in instances if i.state is InstanceState.LIVE]
