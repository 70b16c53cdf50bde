"""Decide when a starting instance can use a configuration."""

from __future__ import annotations


class StartGate:
    """Hold back a configuration that is possibly outdated.

    The platform's answer is always current. If the platform is unavailable,
    the highest revision of the peers is used once each peer that was asked
    has answered or failed.
    """

    def __init__(self) -> None:
        self._is_open = False

    def platform_answered(self) -> None:
        """Record that the platform has sent its head."""
        self._is_open = True

    def peers_answered(self, answered: int) -> None:
        """Record how many of the peers that were asked have answered."""
        # The first answer alone may come from a partitioned, outdated peer
        # and would roll this instance back to an older revision.
        self._is_open = self._is_open or answered > 0

    def may_serve(self, held: int, known: int) -> bool:
        """Return whether to use the held revision, given the newest known."""
        return self._is_open and 0 < held and known <= held
