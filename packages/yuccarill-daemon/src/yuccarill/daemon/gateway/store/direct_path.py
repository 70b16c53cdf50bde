"""Track whether the store can be called directly, and probe it if not."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer

from yuccarill.core.gateway import watchers
from yuccarill.core.ids import Instant
from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.daemon.gateway.state import GatewayState

log = logs.for_part('store way')

# Seconds between probes while direct calls fail; refused probes are billed.
PROBE_INTERVAL_SECONDS = 0.6
# Upper bound in seconds of the doubling interval at an instance that no caller
# waits for; a watcher reports the recovery to it without a billed call.
# Without the doubling, a fleet of 165 made 2,146 probes in a minute with an
# outage of 5 s.
MAX_PROBE_INTERVAL_SECONDS = 5.0
# Seconds after a call with a waiting caller in which probes stay frequent.
FREQUENT_PROBE_SECONDS = 3.0
# Seconds for which an answered call proves that direct calls work.
FRESH_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.5


class DirectPath:
    """Track whether direct calls to the store work; probe while they fail."""

    def __init__(
        self,
        state: GatewayState,
        probe: Callable[[], Awaitable[bool]],
        clock: Any,
    ) -> None:
        self._state = state
        # Returns whether the store answers a direct call.
        self._probe = probe
        self._clock = clock
        self.is_working = True
        # Called when direct calls start to fail, and when they work again.
        self.on_lost: Callable[[], None] = lambda: None
        self.on_regained: Callable[[], None] = lambda: None
        self._answered_at = Instant(-math.inf)
        self._called_at = Instant(-math.inf)
        self._probe_interval = PROBE_INTERVAL_SECONDS
        self._next_probe: Any = None

    def is_fresh(self) -> bool:
        """Return whether a recent answer proves that direct calls work."""
        now = self._clock.seconds()
        return self.is_working and now < self._answered_at + FRESH_SECONDS

    def note_waiting_caller(self) -> None:
        """Record that a caller waits for an answer of the store."""
        self._called_at = Instant(self._clock.seconds())

    def probe_now(self) -> None:
        """Probe at once if direct calls fail."""
        if not self.is_working:
            self._schedule_probe(0.0)

    def mark_failed(self, cause: str) -> None:
        """Record that a direct call failed."""
        if not self.is_working:
            return
        log.warning('Direct path to the store failed.', cause=cause)
        self.is_working = False
        # Open watches use the failed connection: they would stay silent until
        # their timeout while other calls go through peers.
        self._clock.callLater(0, self.on_lost)
        # Without probes, an instance that makes few calls would not notice
        # the recovery and would keep rejecting its peers' calls.
        self._probe_interval = PROBE_INTERVAL_SECONDS
        self._schedule_probe(PROBE_INTERVAL_SECONDS)

    def mark_working(self) -> None:
        """Record that the store answered a direct call."""
        self._answered_at = Instant(self._clock.seconds())
        if not self.is_working:
            log.info('Direct path to the store restored.')
            self.is_working = True
            self.on_regained()
        self._cancel_probe()

    def _schedule_probe(self, seconds: float) -> None:
        self._cancel_probe()
        self._next_probe = self._clock.callLater(seconds, self._start_probe)

    def _cancel_probe(self) -> None:
        timer, self._next_probe = self._next_probe, None
        if timer is not None and timer.active():
            timer.cancel()

    def _start_probe(self) -> None:
        probing = defer.Deferred.fromCoroutine(self._run_probe())
        probing.addErrback(
            lambda failure: log.error(
                'Probe of the store raised an exception.',
                cause=failure.getTraceback(),
            )
        )
        probing.addBoth(self._schedule_next_probe)

    async def _run_probe(self) -> None:
        if await self._probe():
            self.mark_working()

    def _schedule_next_probe(self, _: object) -> None:
        if self.is_working:
            return
        if self._is_recovery_awaited():
            self._probe_interval = PROBE_INTERVAL_SECONDS
        else:
            self._probe_interval = min(
                2.0 * self._probe_interval, MAX_PROBE_INTERVAL_SECONDS
            )
        self._schedule_probe(self._probe_interval)

    def _is_recovery_awaited(self) -> bool:
        """Return whether a caller or a reader waits for the recovery."""
        if self._clock.seconds() < self._called_at + FREQUENT_PROBE_SECONDS:
            return True
        # Readers of a watcher recover only after the watcher has recovered.
        names = watchers.watchers(
            self._state.cores_by_name(), self._state.data_centres_by_name()
        )
        return self._state.settings.instance in names
