"""Decide when a starting instance may act on what it has found."""

from __future__ import annotations


class StartGate:
    """Hold a configuration back until the best source has been asked.

    The platform's answer is the newest there is. Without it the highest
    revision among some peers counts, once all that were asked have
    answered or failed.
    """

    def __init__(self) -> None:
        self._is_open = False

    def platform_answered(self) -> None:
        """Note that the platform's head is known."""
        self._is_open = True

    def peers_answered(self, answered: int) -> None:
        """Note how many of the peers that were asked have answered."""
        # A first answer alone may come from a peer that is cut off and
        # lags. Serving it would bring back, on this instance, what its
        # predecessor had already left behind.
        self._is_open = self._is_open or answered > 0

    def may_serve(self, held: int, known: int) -> bool:
        """Tell whether to act on a held revision when one is known of."""
        return self._is_open and 0 < held and known <= held
