"""Assemble the components that count and report usage."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.daemon.gateway.duty import duties
from yuccarill.daemon.gateway import peer_call
from yuccarill.daemon.gateway.usage import clock as clock_module
from yuccarill.daemon.gateway.usage import counter
from yuccarill.daemon.gateway.usage import messages
from yuccarill.daemon.gateway.usage import records
from yuccarill.daemon.gateway.usage import reporter
from yuccarill.platform import billing

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName
    from yuccarill.core.ids import Instant
    from yuccarill.daemon.adapters.connections import Connections
    from yuccarill.daemon.adapters.small_server import SmallRequest
    from yuccarill.daemon.adapters.small_server import SmallResponse
    from yuccarill.daemon.gateway.duty.holder_calls import HolderCalls
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.settings_file import UsageSettings
    from yuccarill.platform.store import Store


class UsageParts:
    """Hold the counter, the reporter and the duty of reporting."""

    def __init__(
        self,
        settings: UsageSettings,
        state: GatewayState,
        store: Store,
        connections: Connections,
        holders: HolderCalls,
        clock: Any,
    ) -> None:
        self._state = state
        self.duty = duties.Duty(
            reporter.DUTY,
            state,
            store,
            lambda: None,
            clock,
            is_wanted=self._has_accounts,
            holders=holders,
        )
        fleet_clock = clock_module.FleetClock()
        self.reporter = reporter.UsageReporter(
            settings.policy,
            state,
            self.duty,
            records.UsageRecords(reporter.DUTY, store),
            billing.Billing(connections, settings.address, clock),
            fleet_clock,
            clock,
        )
        self.counter = counter.UsageCounter(
            settings.policy,
            state,
            fleet_clock,
            self.reporter,
            peer_call.PeerCalls(connections, clock),
            clock,
        )

    def start(self) -> None:
        """Start to send counts, and to report while the duty is held."""
        self.reporter.start()
        self.counter.start()

    def record_start(
        self, account: AccountName | None, at: Instant | None
    ) -> None:
        """Count a request that began to run for a client account."""
        if account is not None and at is not None:
            self.counter.count_request(account, at)

    def handles_path(self, path: str) -> bool:
        """Tell whether a path of the peer port belongs to usage."""
        return path == messages.PATH

    async def handle(self, request: SmallRequest) -> SmallResponse:
        """Handle a request of a peer or an operator."""
        return await self.reporter.handle(request)

    def _has_accounts(self) -> bool:
        table = self._state.route_table
        return table is not None and table.accounts is not None
