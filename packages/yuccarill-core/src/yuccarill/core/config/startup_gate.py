"""Decide when a starting instance can use a configuration."""

from __future__ import annotations


class StartupGate:
    """Hold back a configuration that is possibly outdated.

    The platform's answer is always current. If the platform is unavailable,
    the highest revision of the peers is used once each peer that was asked
    has answered or failed.
    """

    def __init__(self) -> None:
        self._is_open = False

    def record_platform_answer(self) -> None:
        """Record that the platform has sent its head."""
        self._is_open = True

    def record_peer_answers(self, answered: int) -> None:
        """Record how many peers answered, once none is outstanding."""
        # Opening at the first answer could roll this instance back to the
        # older revision of a partitioned peer.
        self._is_open = self._is_open or answered > 0

    def is_ready(self, held: int, newest: int) -> bool:
        """Return whether the held revision, 0 for none, can be used."""
        return self._is_open and 0 < held and newest <= held
