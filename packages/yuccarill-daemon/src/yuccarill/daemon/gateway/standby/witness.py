"""Ask other instances whether a holder and the store are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING
import urllib.parse

import msgspec
from twisted.internet import defer

from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.standby import messages
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.peer_call import PeerCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.state import InstanceRecord

log = logs.for_part('standby')

# Instances to ask, and the quorum of answers. Without a quorum, a standby
# that is cut off from all others would run the same texts as its holder.
MAX_WITNESSES = 3
MIN_ANSWERS = 2
# The answer includes the witness's own call to the holder.
ANSWER_SECONDS = 0.9
HOLDER_ANSWER_SECONDS = 0.4
# Time without store contact after which the store counts as lost; covers one
# watch interval of 1 s and the relay to other instances.
STORE_LOST_SECONDS = 1.6


class Witnesses:
    """Ask other instances about a holder, and answer such queries."""

    def __init__(
        self,
        state: GatewayState,
        peers: PeerCalls,
        store_age: Callable[[], float],
    ) -> None:
        self._state = state
        self._peers = peers
        self._store_age = store_age

    async def are_lost(
        self, holder: InstanceId, incarnation: Incarnation
    ) -> bool:
        """Return whether a quorum answers and all lost the holder and store.

        A holder whose process has restarted counts as lost.
        """
        own_id = self._state.settings.instance
        others = [
            record
            for record in self._state.serving_instances()
            if record.instance not in (own_id, holder)
        ]
        count = min(MAX_WITNESSES, len(others))
        asked = self._state.generator.sample(others, count)
        answers = await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(
                    self._ask(peer, holder, incarnation)
                )
                for peer in asked
            ]
        )
        sightings = [answer for answer in answers if answer is not None]
        return len(sightings) >= MIN_ANSWERS and all(
            each.store_age >= STORE_LOST_SECONDS and not each.is_holder_reached
            for each in sightings
        )

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Report whether this instance reaches the store and the holder."""
        query = urllib.parse.parse_qs(request.query)
        holder = query.get('holder', [''])[0]
        incarnation = query.get('incarnation', [''])[0]
        sighting = messages.Sighting(
            incarnation=self._state.incarnation,
            store_age=self._store_age(),
            is_holder_reached=await self._is_reached(holder, incarnation),
        )
        return SmallResponse(
            status=200,
            content_type='application/msgpack',
            body=msgspec.msgpack.encode(sighting),
        )

    async def _is_reached(self, holder: str, incarnation: str) -> bool:
        for record in self._state.instances_by_id.values():
            if record.instance == holder:
                answer = await self._call(record, '', HOLDER_ANSWER_SECONDS)
                return answer is not None and answer.incarnation == incarnation
        return False

    async def _ask(
        self,
        peer: InstanceRecord,
        holder: InstanceId,
        incarnation: Incarnation,
    ) -> messages.Sighting | None:
        query = urllib.parse.urlencode(
            {'holder': holder, 'incarnation': incarnation}
        )
        return await self._call(peer, f'?{query}', ANSWER_SECONDS)

    async def _call(
        self, peer: InstanceRecord, query: str, seconds: float
    ) -> messages.Sighting | None:
        try:
            return await self._peers.call_decoded(
                peer,
                'GET',
                messages.SIGHTING_PATH + query,
                seconds,
                messages.Sighting,
            )
        except peer_call.PeerFailed as error:
            log.debug(
                'Query to another instance failed.',
                peer=peer.instance,
                cause=str(error),
            )
            return None
