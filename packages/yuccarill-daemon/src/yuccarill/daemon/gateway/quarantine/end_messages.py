"""Define the messages on crashed targets that instances exchange."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant


class Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a quarantined content and the seconds until its quarantine ends."""

    content: ContentDigest
    seconds: float


class EndMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the changes that one instance reports to another."""

    ends: tuple[CrashReport, ...] = ()
    # Lost calls to targets that may have crashed while their ports stay open.
    doubts: tuple[CrashReport, ...] = ()
    # Contents with a completed run.
    completed: tuple[ContentDigest, ...] = ()
    # Suspects that the sender has just sent to a target.
    tried: tuple[ContentDigest, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    released: tuple[ContentDigest, ...] = ()


class QueuedMessage(NamedTuple):
    """Hold a message that is queued for a peer."""

    message: EndMessage
    queued_at: Instant


def merge(messages: list[QueuedMessage], now: Instant) -> EndMessage:
    """Merge the queued messages and advance the ages of their reports."""
    return EndMessage(
        ends=tuple(
            _aged(end, item, now)
            for item in messages
            for end in item.message.ends
        ),
        doubts=tuple(
            _aged(loss, item, now)
            for item in messages
            for loss in item.message.doubts
        ),
        completed=tuple(
            c for item in messages for c in item.message.completed
        ),
        tried=tuple(c for item in messages for c in item.message.tried),
        quarantined=tuple(
            each for item in messages for each in item.message.quarantined
        ),
        released=tuple(c for item in messages for c in item.message.released),
    )


def _aged(
    report: CrashReport, item: QueuedMessage, now: Instant
) -> CrashReport:
    age = report.age + now - item.queued_at
    return msgspec.structs.replace(report, age=age)
