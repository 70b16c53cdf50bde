"""Track the member instances and which can take new work."""

from __future__ import annotations

import random
import time
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.ids import WallTime
from yuccarill.core.membership import list_merger
from yuccarill.core.membership import member as member_module
from yuccarill.core.membership.member import MemberState
from yuccarill.core.membership import view as view_module
from yuccarill.daemon.controllers import probing
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import Incarnation
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.adapters.instance_list import InstanceListAdapter
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('membership')

TICK_SECONDS = 1.0


class MembershipController:
    """Maintain the view of members and publish it to the blackboard."""

    def __init__(
        self,
        blackboard: Blackboard,
        instance_list: InstanceListAdapter,
        peers: Peers,
        incarnation: Incarnation,
        clock: Any = reactor,
    ) -> None:
        self._blackboard = blackboard
        self._instance_list = instance_list
        self._clock = clock
        self._random = random.Random(incarnation)
        me = member_module.from_instance(
            blackboard.own_instance, incarnation, int(time.time() * 1000)
        )
        self._view = view_module.View(me)
        self._list_merger = list_merger.ListMerger(self._view)
        self._probes = probing.ProbeController(
            self._view, peers, self._random, clock
        )
        self._read_at = Instant(clock.seconds())
        self._was_reader = False
        self._ranked_changes = 0
        self._live_changes = 0
        self._live: list[Instance] = []
        self._is_reading = False
        self._is_list_down = False
        self._published_changes = 0

    async def follow(self) -> None:
        """Read the instance list and probe members periodically."""
        # Avoids simultaneous probes by instances started together.
        await self._pause(self._random.uniform(0.0, TICK_SECONDS))
        while True:
            self.step()
            await self._pause(TICK_SECONDS)

    def step(self) -> None:
        """Read the instance list if due and probe each neighbour once."""
        if self._is_read_due():
            defer.ensureDeferred(self._read())
        self._probes.tick()
        self._publish_view()

    def live(self) -> list[Instance]:
        """Return the instances that can take new work.

        The list is cached until the view changes; do not modify it.
        """
        # Cached: callers ask several times a second, and each call would
        # create an object per member.
        if self._live_changes != self._view.change_count:
            self._live_changes = self._view.change_count
            self._live = [m.as_instance() for m in self._view.live()]
        return self._live

    def answer_valid_until(self, validity: float) -> WallTime:
        """Return until when callers may cache an answer returned now."""
        valid_until = WallTime(time.time() + validity)
        # A leaving instance serves until its answers expire; extending the
        # time with each answer would keep it from ever stopping.
        return min(valid_until, self._blackboard.serves_until or valid_until)

    def leave(self) -> None:
        """Announce to all instances that this one is leaving."""
        self._view.leave()
        self._probes.spread([self._view.me])
        self._publish_view()

    async def handle(
        self,
        body: messages.Probe | messages.IndirectProbe | messages.ViewRequest,
    ) -> messages.Body:
        """Answer a probe or a view request of a peer."""
        match body:
            case messages.Probe():
                reply = self._probes.handle_probe(body)
                self._publish_view()
                return reply
            case messages.IndirectProbe():
                return await self._probes.handle_indirect_probe(body)
            case messages.ViewRequest():
                return self._probes.handle_view_request()

    def _is_read_due(self) -> bool:
        # Ranking instances is expensive and changes only with the view.
        if self._ranked_changes != self._view.change_count:
            self._ranked_changes = self._view.change_count
            is_reader = list_merger.is_reader(self._view)
            if is_reader and not self._was_reader:
                self._read_at = Instant(self._clock.seconds())
            self._was_reader = is_reader
        is_due = self._clock.seconds() >= self._read_at
        return is_due and not self._is_reading

    async def _read(self) -> None:
        self._is_reading = True
        try:
            instances = await self._instance_list.read()
        except errors.StoreUnavailable as error:
            # The last view remains in use, updated by probes.
            if not self._is_list_down:
                log.warning(
                    'Instance list not read; check the list.',
                    cause=error.message,
                )
            self._is_list_down = True
        else:
            self._is_list_down = False
            self._probes.spread(self._list_merger.merge(instances))
            self._probes.probe_again(self._list_merger.relisted)
        self._is_reading = False
        now = Instant(self._clock.seconds())
        self._read_at = list_merger.next_read_at(self._view, now, self._random)

    def _publish_view(self) -> None:
        if self._published_changes == self._view.change_count:
            return
        self._published_changes = self._view.change_count
        members = self._view.members_by_id
        self._blackboard.members_by_id = members
        self._blackboard.instances_by_id = {
            m.id: m.as_instance()
            for m in members.values()
            if m.state is not MemberState.GONE
        }

    def _pause(self, seconds: float) -> Any:
        return task.deferLater(self._clock, seconds, lambda: None)
