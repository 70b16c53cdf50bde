"""Run work that must go on after unexpected errors."""

from __future__ import annotations

import traceback
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import task

from yuccarill.daemon import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

log = logs.for_part('background')

# Seconds before failed work starts again, which also bounds the log.
RESTART_SECONDS = 1.0


async def keep_running(
    work: Callable[[], Awaitable[None]], name: str, clock: Any
) -> None:
    """Run work until it returns or is cancelled; restart it after errors."""
    while True:
        try:
            await work()
            return
        except defer.CancelledError:
            raise
        except Exception:
            log.error(
                'Background task failed; starting again.',
                task=name,
                cause=traceback.format_exc(),
            )
        await task.deferLater(clock, RESTART_SECONDS)


def ticker(
    step: Callable[[], None], name: str, clock: Any
) -> task.LoopingCall:
    """Return a repeated call that goes on after a step that fails."""

    def run_step() -> None:
        try:
            step()
        except Exception:
            log.error(
                'Periodic step failed.',
                task=name,
                cause=traceback.format_exc(),
            )

    found = task.LoopingCall(run_step)
    found.clock = clock
    return found
