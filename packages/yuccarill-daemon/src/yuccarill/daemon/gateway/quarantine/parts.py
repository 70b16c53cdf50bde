"""Assemble the quarantine of requests that crash their targets."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.daemon.adapters.small_server import SmallResponse
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.quarantine import detector
from yuccarill.daemon.gateway.quarantine import end_messages
from yuccarill.daemon.gateway.quarantine import exchange
from yuccarill.daemon.gateway.quarantine import guard
from yuccarill.daemon.gateway.quarantine import operator_api
from yuccarill.daemon.gateway.quarantine import records
from yuccarill.daemon.gateway.quarantine import watched_calls

if TYPE_CHECKING:
    from yuccarill.core.ids import ContentDigest
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.calls import Calls
    from yuccarill.platform.store import Store


class QuarantineParts:
    """Hold the crash guard and the components that exchange data with it."""

    def __init__(
        self,
        state: GatewayState,
        calls: Calls,
        store: Store,
        connections: Connections,
        clock: Any,
    ) -> None:
        self.guard = guard.ContentGuard(state, clock)
        self.crash_detector = detector.CrashDetector(calls, self.guard, clock)
        # All other components send their calls through this object.
        self.calls = watched_calls.WatchedCalls(
            calls, self.crash_detector, self.guard
        )
        self.records = records.QuarantineRecords(
            state, self.guard, store, clock
        )
        self._reports = exchange.CrashExchange(
            state, self.guard, peer_call.PeerCalls(connections, clock), clock
        )
        self._operator_api = operator_api.QuarantineApi(
            self.guard, self.records, self._reports, clock
        )

    def start(self) -> None:
        """Start the exchange of crash reports with the other instances."""
        self.guard.on_quarantined = self._publish_quarantine
        self.guard.on_released = self._publish_release
        self.guard.on_peer_verdict = self.records.write_later
        self._reports.start()

    def handles_path(self, path: str) -> bool:
        """Tell whether a path of the peer port belongs to the quarantine."""
        return path.startswith(exchange.PATH)

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Handle a request of a peer or an operator."""
        if request.path == exchange.PATH:
            return await self._reports.handle(request)
        return await self._operator_api.handle(request)

    def _publish_release(self, content: ContentDigest) -> None:
        self._reports.send(end_messages.EndMessage(released=(content,)))
        self.records.remove_later(content)

    def _publish_quarantine(self, content: ContentDigest) -> None:
        # Sent to peers as well as stored: the store can be unavailable, and a
        # peer can have missed a crash report.
        self._reports.send_quarantine(content)
        self.records.write(content)
