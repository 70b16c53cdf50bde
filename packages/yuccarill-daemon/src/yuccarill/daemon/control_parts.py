"""Compose the components that coordinate an instance with its peers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from twisted.internet import reactor

from yuccarill.core import errors
from yuccarill.daemon.adapters import instance_list
from yuccarill.daemon.controllers import configuration
from yuccarill.daemon.controllers import decisions
from yuccarill.daemon.controllers import dissemination
from yuccarill.daemon.controllers import leases
from yuccarill.daemon.controllers import membership
from yuccarill.daemon.peers import peers
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.daemon.adapters.http import HttpClient
    from yuccarill.daemon.adapters.key_value import KeyValueAdapter


class ControlParts:
    """The components for membership, configuration and leases."""

    def __init__(
        self,
        blackboard: Blackboard,
        incarnation: Incarnation,
        client: HttpClient,
        store: KeyValueAdapter,
        list_address: str,
        handle: Callable[[messages.Body], Awaitable[messages.Body]],
    ) -> None:
        self.peers = peers.Peers(handle, blackboard.own_instance, incarnation)
        self.membership = membership.MembershipController(
            blackboard,
            instance_list.InstanceListAdapter(client, list_address),
            self.peers,
            incarnation,
        )
        self._dissemination = dissemination.DisseminationController(
            blackboard.own_instance,
            self.membership,
            self.peers,
            store,
            random.Random(),
            reactor,
        )
        self.leases = leases.LeaseController(
            blackboard,
            incarnation,
            self.membership,
            store,
            self._dissemination,
            self.peers,
            random.Random(),
            reactor,
        )
        self.configuration = configuration.ConfigurationController(
            blackboard,
            self._dissemination,
            self.peers,
            decisions.DecisionRunner(store, reactor),
            reactor,
        )

    def create_loops(self) -> list[Awaitable[None]]:
        """Return the background loops, which run until the process ends."""
        return [
            self.configuration.follow(),
            self.membership.follow(),
            self._dissemination.follow(),
            self.leases.follow(),
        ]

    async def handle(self, body: messages.Body) -> messages.Body:
        """Answer a peer's request.

        Raises FrameInvalid if the message is not a request.
        """
        match body:
            case (
                messages.Probe()
                | messages.IndirectProbe()
                | messages.ViewRequest()
            ):
                return await self.membership.handle(body)
            case messages.RecordOffer() | messages.RecordExchange():
                return self._dissemination.handle(body)
            case messages.LeaseAsk() | messages.LeaseInvite():
                return await self.leases.handle(body)
            case messages.ConfigurationFetch():
                return self.configuration.handle(body)
            case _:
                raise errors.FrameInvalid('The message is not a request.')
