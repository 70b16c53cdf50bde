"""Define the steps of one attempt."""

from __future__ import annotations

import enum


class Step(enum.IntEnum):
    """List the steps of an attempt in the order they happen."""

    ACCEPTED = 1
    QUEUED = 2
    CONNECTING = 3
    SENDING = 4
    SENT = 5
    ANSWERING = 6
    ANSWERED = 7
    RECORDED = 8


def may_have_run(step: Step) -> bool:
    """Return whether a byte can have reached the target."""
    # The target may act on bytes written to an open connection, even if the
    # local write fails.
    return step >= Step.SENDING
