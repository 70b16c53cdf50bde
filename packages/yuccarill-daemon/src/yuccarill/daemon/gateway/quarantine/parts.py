"""Put the parts together that keep requests away from targets they end."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.daemon.adapters.small_server import Page
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import desk
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import records
from yuccarill.daemon.gateway.quarantine import reports
from yuccarill.daemon.gateway.quarantine import target_ends
from yuccarill.daemon.gateway.quarantine import watched_calls

if TYPE_CHECKING:
    from yuccarill.core.ids import ContentDigest
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.calls import Calls
    from yuccarill.platform.store import Store


class QuarantineParts:
    """Hold the guard, and what it is told and told by."""

    def __init__(
        self,
        state: GatewayState,
        calls: Calls,
        store: Store,
        links: Connections,
        clock: Any,
    ) -> None:
        self.guard = guard.ContentGuard(state, clock)
        self.ends = target_ends.TargetEnds(calls, self.guard, clock)
        # What the other parts send calls by.
        self.calls = watched_calls.WatchedCalls(calls, self.ends, self.guard)
        self.records = records.QuarantineRecords(
            state, self.guard, store, clock
        )
        self._reports = reports.EndReports(
            state, self.guard, peer_call.PeerCalls(links, clock), clock
        )
        self._desk = desk.QuarantineDesk(
            self.guard, self.records, self._reports, clock
        )

    def start(self) -> None:
        """Begin to exchange with the other instances."""
        self.guard.on_quarantined = self._quarantined
        self.guard.on_learnt = self.records.expect
        self._reports.start()

    def handles(self, path: str) -> bool:
        """Tell whether a page of the peer port is answered here."""
        return path.startswith(reports.PATH)

    async def handle(self, request: SmallRequest) -> Page:
        """Answer a peer or an operator."""
        if request.path == reports.PATH:
            return await self._reports.handle(request)
        return await self._desk.handle(request)

    def _quarantined(self, content: ContentDigest) -> None:
        # Told as well as recorded: the store may be away, and a peer may
        # have missed one of the ends.
        self._reports.tell_quarantined(content)
        self.records.write(content)
