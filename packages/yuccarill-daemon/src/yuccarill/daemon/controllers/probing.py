"""Probe neighbours and disseminate membership changes."""

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
# Records are batched for this long to send a burst as one message.
BATCH_SECONDS = 0.05
# Consecutive replies with a different digest that trigger a full sync.
MAX_DISAGREEMENTS = 3
PULL_SECONDS = 10.0
SWEEP_SECONDS = 10.0


class ProbeController:
    """Detect failed members by probes among neighbours on a ring."""

    def __init__(
        self, view: View, peers: Peers, generator: random.Random, clock: Any
    ) -> None:
        self._view = view
        self._peers = peers
        self._random = generator
        self._clock = clock
        self._gossip = gossip.StatementGossip()
        self._neighbours: list[InstanceId] = []
        self._ring_change_count = 0
        self._checked_ids: set[InstanceId] = set()
        self._disagreements_by_id: dict[InstanceId, int] = {}
        self._is_push_due = False
        # A starting instance requests the view of its first neighbour.
        self._pull_at = Instant(clock.seconds())
        self._has_pulled = False
        self._sweep_at = self._pull_at

    def tick(self) -> None:
        """Probe each neighbour once."""
        now = Instant(self._clock.seconds())
        if now >= self._sweep_at:
            self._sweep_at = Instant(now + SWEEP_SECONDS)
            self._view.sweep(now)
        self._update_ring()
        for member_id in self._neighbours:
            if member_id not in self._checked_ids:
                target = self._view.members_by_id[member_id]
                defer.ensureDeferred(self._check(target))

    def spread(
        self, changes: Iterable[Member], source: InstanceId | None = None
    ) -> None:
        """Queue member records to be sent to the neighbours."""
        records = list(changes)
        if records:
            self._update_ring()
            self._gossip.add(records, source)
            self._push_soon()

    def probe_again(self, members: Iterable[Member]) -> None:
        """Probe members that are marked as gone."""
        for each in members:
            defer.ensureDeferred(self._probe(each))

    def handle_probe(self, probe: messages.Probe) -> messages.ProbeReply:
        """Answer a direct probe of a peer."""
        changes = self._view.merge_all(probe.records)
        if self._view.refute_suspicion():
            log.info('Suspicion of this instance refuted.', peer=probe.sender)
            changes.append(self._view.me)
        self.spread(changes, probe.sender)
        records = [self._view.me] if self._view.me in changes else []
        sender = self._view.members_by_id.get(probe.sender)
        # Sends a peer that is not marked alive its state, so that it can
        # refute a suspicion, and this instance's record, to request its view.
        if sender is not None and sender.state is not MemberState.ALIVE:
            records += [sender, self._view.me]
        return messages.ProbeReply(
            digest=self._view.digest, records=tuple(records)
        )

    async def handle_indirect_probe(
        self, body: messages.IndirectProbe
    ) -> messages.IndirectResult:
        """Probe a member on behalf of a peer that can not reach it."""
        was_reached = await self._probe(body.target)
        return messages.IndirectResult(was_reached=was_reached)

    def handle_view_request(self) -> messages.ViewReply:
        """Return the records of all members."""
        return messages.ViewReply(
            records=tuple(self._view.members_by_id.values())
        )

    async def _check(self, target: Member) -> None:
        self._checked_ids.add(target.id)
        try:
            step = await self._run_probe_round(target)
        finally:
            self._checked_ids.discard(target.id)
        if step is not probing.ProbeStep.SUSPECT:
            return
        # The member may have answered or restarted during the probe round.
        if self._view.members_by_id.get(target.id) != target:
            return
        if self._view.set_state(target.id, MemberState.SUSPECT):
            log.warning('Instance suspected.', peer=target.id)
            self.spread([self._view.members_by_id[target.id]])

    async def _run_probe_round(self, target: Member) -> probing.ProbeStep:
        probe_round = probing.ProbeRound()
        while probe_round.step in (
            probing.ProbeStep.DIRECT,
            probing.ProbeStep.RETRY,
        ):
            probe_round.on_direct(await self._probe(target))
            if target.state is not MemberState.ALIVE:
                return probe_round.step
        if probe_round.step is probing.ProbeStep.INDIRECT:
            helpers = probing.helpers(
                self._view.members_by_id.values(),
                self._view.me.id,
                target.id,
                self._random,
            )
            probe_round.set_helper_count(len(helpers))
            answers = [
                defer.ensureDeferred(self._probe_via(helper, target))
                for helper in helpers
            ]
            for answer in answers:
                probe_round.on_helper(await answer)
        return probe_round.step

    async def _probe(self, target: Member) -> bool:
        sent_records = self._gossip.batch(target.id)
        records = sent_records
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
        self._gossip.confirm(target.id, sent_records)
        self.spread(self._view.merge_all(reply.records), target.id)
        self._compare_digest(target, reply.digest)
        return True

    async def _probe_via(
        self, helper: Member, target: Member
    ) -> probing.HelperAnswer:
        body = messages.IndirectProbe(target=target)
        reply = await self._request(helper, body, HELPER_SECONDS)
        if reply is None:
            return probing.HelperAnswer.NO_ANSWER
        if reply.was_reached:
            return probing.HelperAnswer.REACHED
        return probing.HelperAnswer.NOT_REACHED

    def _compare_digest(self, peer: Member, digest: int) -> None:
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
        peer_records = {record.id: record for record in reply.records}
        self.spread(self._view.merge_all(reply.records), peer.id)
        missing = [
            mine
            for mine in self._view.members_by_id.values()
            if mine != peer_records.get(mine.id)
        ]
        self.spread(missing)

    def _push_soon(self) -> None:
        if not self._is_push_due:
            self._is_push_due = True
            self._clock.callLater(BATCH_SECONDS, self._push)

    def _push(self) -> None:
        self._is_push_due = False
        for member_id, pending in self._gossip.pending().items():
            target = self._view.members_by_id[member_id]
            if pending and target.state is not MemberState.SUSPECT:
                defer.ensureDeferred(self._push_to(target))

    async def _push_to(self, target: Member) -> None:
        if await self._probe(target) and self._gossip.batch(target.id):
            self._push_soon()

    def _update_ring(self) -> None:
        if self._ring_change_count == self._view.change_count:
            return
        self._ring_change_count = self._view.change_count
        members = self._view.members_by_id
        self._neighbours = ring.neighbours(
            self._view.me.id, ring.order(members), members
        )
        self._gossip.set_neighbours(self._neighbours)
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
        # The timeout includes the time to connect.
        reply.addTimeout(seconds, self._clock)
        try:
            return await reply
        except (errors.YuccarillError, defer.TimeoutError):
            return None
