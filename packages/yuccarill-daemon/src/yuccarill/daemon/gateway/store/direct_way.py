"""Remember whether the store is reached directly, and find out again."""

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

# Seconds between tries of the direct way while it is out of order. One that
# is refused is paid for in full.
PROBE_SECONDS = 0.6
# Seconds between them at an instance that nobody waits for: doubled up to
# this. A fleet of 165 made 2,146 probes in a minute with an outage of 5 s and
# a third of it cut off for 12 s, by a log of each call; those that watch for
# the others show the return, and asking them costs nothing.
MAX_PROBE_SECONDS = 5.0
# Seconds after a call that somebody waits for in which probes stay frequent.
AWAITED_SECONDS = 3.0
# Seconds for which an answer shows that the direct way is in order.
FRESH_SECONDS = 0.5
# Seconds that a probe may take.
PROBE_TIMEOUT = 0.5


class DirectWay:
    """Track the direct way to the store, and probe it while it is lost."""

    def __init__(
        self,
        state: GatewayState,
        probe: Callable[[], Awaitable[bool]],
        clock: Any,
    ) -> None:
        self._state = state
        # Tells whether the store answers directly.
        self._probe = probe
        self._clock = clock
        self.is_in_order = True
        # Called when the way is lost, and at each answer that came by it.
        self.on_lost: Callable[[], None] = lambda: None
        self.on_regained: Callable[[], None] = lambda: None
        self._answered_at = Instant(-math.inf)
        self._awaited_at = Instant(-math.inf)
        self._probe_seconds = PROBE_SECONDS
        self._next_probe: Any = None

    def is_fresh(self) -> bool:
        """Tell whether an answer has just shown that the way is in order."""
        now = self._clock.seconds()
        return self.is_in_order and now < self._answered_at + FRESH_SECONDS

    def await_return(self) -> None:
        """Note that somebody waits for an answer of the store."""
        self._awaited_at = Instant(self._clock.seconds())

    def probe_now(self) -> None:
        """Find out at once whether a lost way is back."""
        if not self.is_in_order:
            self._probe_again(0.0)

    def lose(self, cause: str) -> None:
        """Note that a call failed directly."""
        if not self.is_in_order:
            return
        log.warning('Store not reached directly.', cause=cause)
        self.is_in_order = False
        # Watches under way went there: they may hear nothing for as long as
        # they wait, while other calls go through peers.
        self._clock.callLater(0, self.on_lost)
        # An instance that makes few calls of its own would not notice that
        # the direct way is back, and would turn its peers' calls away.
        self._probe_seconds = PROBE_SECONDS
        self._probe_again(PROBE_SECONDS)

    def regain(self) -> None:
        """Note that the store answered directly."""
        self._answered_at = Instant(self._clock.seconds())
        if not self.is_in_order:
            log.info('Store reached directly.')
            self.is_in_order = True
            self.on_regained()
        self._stop_probing()

    def _probe_again(self, seconds: float) -> None:
        self._stop_probing()
        self._next_probe = self._clock.callLater(seconds, self._begin_probe)

    def _stop_probing(self) -> None:
        timer, self._next_probe = self._next_probe, None
        if timer is not None and timer.active():
            timer.cancel()

    def _begin_probe(self) -> None:
        probing = defer.Deferred.fromCoroutine(self._find_out())
        probing.addErrback(
            lambda failure: log.error(
                'Probe failed.', cause=failure.getTraceback()
            )
        )
        probing.addBoth(self._probed)

    async def _find_out(self) -> None:
        if await self._probe():
            self.regain()

    def _probed(self, _: object) -> None:
        if self.is_in_order:
            return
        if self._is_awaited():
            self._probe_seconds = PROBE_SECONDS
        else:
            self._probe_seconds = min(
                2.0 * self._probe_seconds, MAX_PROBE_SECONDS
            )
        self._probe_again(self._probe_seconds)

    def _is_awaited(self) -> bool:
        """Tell whether somebody waits for the direct way to be back."""
        if self._clock.seconds() < self._awaited_at + AWAITED_SECONDS:
            return True
        # The others go on as soon as their watchers do.
        names = watchers.watchers(
            self._state.cores_by_name(), self._state.centres_by_name()
        )
        return self._state.settings.instance in names
