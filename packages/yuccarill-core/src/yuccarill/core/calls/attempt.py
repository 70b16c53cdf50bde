"""The steps of one attempt and what may be said when it fails."""

from __future__ import annotations

import enum


class Step(enum.IntEnum):
    """Say how far an attempt got, in the order it happens."""

    ACCEPTED = 1
    QUEUED = 2
    CONNECTING = 3
    SENDING = 4
    SENT = 5
    ANSWERING = 6
    ANSWERED = 7
    RECORDED = 8


def may_have_run(step: Step) -> bool:
    """Tell whether a byte can have reached the target."""
    # A connection that is open may have taken bytes that its target acts
    # on, whatever is known of them here.
    return step >= Step.SENDING
