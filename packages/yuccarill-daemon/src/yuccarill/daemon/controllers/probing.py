"""Probe a few members and pass news of members on."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core import errors
from yuccarill.core.ids import Instant
from yuccarill.core.membership import gossip
from yuccarill.core.membership.member import MemberState
from yuccarill.core.membership import probing
from yuccarill.core.membership import ring
from yuccarill.daemon import logs
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccarill.core.ids import InstanceId
    from yuccarill.core.membership.member import Member
    from yuccarill.core.membership.view import View
    from yuccarill.daemon.peers.peers import Peers

log = logs.for_part('membership')

PROBE_SECONDS = 0.5
HELPER_SECONDS = 1.0
VIEW_SECONDS = 2.0
# News is gathered this long, so that a burst goes out as one message.
GATHER_SECONDS = 0.05
# Replies in a row with another digest before a whole view is asked for.
MAX_DISAGREEMENTS = 3
PULL_SECONDS = 10.0
SWEEP_SECONDS = 10.0


class ProbeController:
    """Keep a view true by probes among neighbours on a ring."""

    def __init__(
        self, view: View, peers: Peers, chance: random.Random, clock: Any
    ) -> None:
        self._view = view
        self._peers = peers
        self._chance = chance
        self._clock = clock
        self._spreading = gossip.StatementGossip()
        self._neighbours: list[InstanceId] = []
        self._ring_of_changes = 0
        self._judged: set[InstanceId] = set()
        self._disagreements_by_id: dict[InstanceId, int] = {}
        self._is_push_due = False
        # A starting instance asks its first neighbour for its view.
        self._pull_at = Instant(clock.seconds())
        self._has_pulled = False
        self._sweep_at = self._pull_at

    def tick(self) -> None:
        """Probe the neighbours once."""
        now = Instant(self._clock.seconds())
        if now >= self._sweep_at:
            self._sweep_at = Instant(now + SWEEP_SECONDS)
            self._view.sweep(now)
        self._follow_ring()
        for member_id in self._neighbours:
            if member_id not in self._judged:
                target = self._view.members_by_id[member_id]
                defer.ensureDeferred(self._judge(target))

    def spread(
        self, news: Iterable[Member], source: InstanceId | None = None
    ) -> None:
        """Tell the neighbours news, soon."""
        told = list(news)
        if told:
            self._follow_ring()
            self._spreading.add(told, source)
            self._push_soon()

    def look_again(self, members: Iterable[Member]) -> None:
        """Probe members that were believed gone."""
        for each in members:
            defer.ensureDeferred(self._probe(each))

    def take_probe(self, probe: messages.Probe) -> messages.ProbeReply:
        """Answer a peer that has reached this instance."""
        news = self._view.merge_all(probe.records)
        if self._view.refute_suspicion():
            log.info('Refuted a suspicion.', peer=probe.sender)
            news.append(self._view.me)
        self.spread(news, probe.sender)
        records = [self._view.me] if self._view.me in news else []
        sender = self._view.members_by_id.get(probe.sender)
        # A peer that is believed suspect or gone learns it here, and
        # that this instance can be asked for its view.
        if sender is not None and sender.state is not MemberState.ALIVE:
            records += [sender, self._view.me]
        return messages.ProbeReply(
            digest=self._view.digest, records=tuple(records)
        )

    async def take_indirect(
        self, body: messages.IndirectProbe
    ) -> messages.IndirectResult:
        """Probe a member for a peer that does not reach it."""
        was_reached = await self._probe(body.target)
        return messages.IndirectResult(was_reached=was_reached)

    def take_view_request(self) -> messages.ViewReply:
        """Return the whole view."""
        return messages.ViewReply(
            records=tuple(self._view.members_by_id.values())
        )

    async def _judge(self, target: Member) -> None:
        self._judged.add(target.id)
        try:
            step = await self._walk(target)
        finally:
            self._judged.discard(target.id)
        if step is not probing.ProbeStep.SUSPECT:
            return
        # The member may have answered for itself while it was judged.
        if self._view.members_by_id.get(target.id) != target:
            return
        if self._view.set_state(target.id, MemberState.SUSPECT):
            log.warning('Instance suspected.', peer=target.id)
            self.spread([self._view.members_by_id[target.id]])

    async def _walk(self, target: Member) -> probing.ProbeStep:
        walk = probing.ProbeRound()
        while walk.step in (probing.ProbeStep.DIRECT, probing.ProbeStep.RETRY):
            walk.on_direct(await self._probe(target))
            if target.state is not MemberState.ALIVE:
                return walk.step
        if walk.step is probing.ProbeStep.INDIRECT:
            helpers = probing.helpers(
                self._view.members_by_id.values(),
                self._view.me.id,
                target.id,
                self._chance,
            )
            walk.set_helper_count(len(helpers))
            answers = [
                defer.ensureDeferred(self._ask(helper, target))
                for helper in helpers
            ]
            for answer in answers:
                walk.on_helper(await answer)
        return walk.step

    async def _probe(self, target: Member) -> bool:
        told = self._spreading.batch(target.id)
        records = told
        if target.state is not MemberState.ALIVE:
            records += (target,)
        if self._disagreements_by_id.get(target.id, 1):
            records += (self._view.me,)
        probe = messages.Probe(
            sender=self._view.me.id,
            digest=self._view.digest,
            records=records,
        )
        reply = await self._request(target, probe, PROBE_SECONDS)
        if reply is None:
            return False
        self._spreading.confirm(target.id, told)
        self.spread(self._view.merge_all(reply.records), target.id)
        self._compare(target, reply.digest)
        return True

    async def _ask(
        self, helper: Member, target: Member
    ) -> probing.HelperAnswer:
        body = messages.IndirectProbe(target=target)
        reply = await self._request(helper, body, HELPER_SECONDS)
        if reply is None:
            return probing.HelperAnswer.NO_ANSWER
        if reply.was_reached:
            return probing.HelperAnswer.REACHED
        return probing.HelperAnswer.NOT_REACHED

    def _compare(self, peer: Member, digest: int) -> None:
        if digest == self._view.digest:
            self._disagreements_by_id[peer.id] = 0
            return
        count = self._disagreements_by_id.get(peer.id, 0) + 1
        self._disagreements_by_id[peer.id] = count
        now = self._clock.seconds()
        is_due = count >= MAX_DISAGREEMENTS or not self._has_pulled
        if is_due and now >= self._pull_at:
            self._pull_at = Instant(now + PULL_SECONDS)
            defer.ensureDeferred(self._pull(peer))

    async def _pull(self, peer: Member) -> None:
        reply = await self._request(peer, messages.ViewRequest(), VIEW_SECONDS)
        if reply is None:
            return
        self._has_pulled = True
        theirs = {record.id: record for record in reply.records}
        self.spread(self._view.merge_all(reply.records), peer.id)
        lacking = [
            mine
            for mine in self._view.members_by_id.values()
            if mine != theirs.get(mine.id)
        ]
        self.spread(lacking)

    def _push_soon(self) -> None:
        if not self._is_push_due:
            self._is_push_due = True
            self._clock.callLater(GATHER_SECONDS, self._push)

    def _push(self) -> None:
        self._is_push_due = False
        for member_id, pending in self._spreading.pending().items():
            target = self._view.members_by_id[member_id]
            if pending and target.state is not MemberState.SUSPECT:
                defer.ensureDeferred(self._push_to(target))

    async def _push_to(self, target: Member) -> None:
        if await self._probe(target) and self._spreading.batch(target.id):
            self._push_soon()

    def _follow_ring(self) -> None:
        if self._ring_of_changes == self._view.change_count:
            return
        self._ring_of_changes = self._view.change_count
        members = self._view.members_by_id
        self._neighbours = ring.neighbours(
            self._view.me.id, ring.order(members), members
        )
        self._spreading.set_neighbours(self._neighbours)
        self._disagreements_by_id = {
            i: self._disagreements_by_id[i]
            for i in self._neighbours
            if i in self._disagreements_by_id
        }

    async def _request(
        self, peer: Member, body: messages.Body, seconds: float
    ) -> Any:
        sent = self._peers.request(peer.as_instance(), body, seconds)
        reply = defer.ensureDeferred(sent)
        # The time limit covers the dial too.
        reply.addTimeout(seconds, self._clock)
        try:
            return await reply
        except (errors.YuccarillError, defer.TimeoutError):
            return None
