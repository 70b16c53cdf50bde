"""Define what instances tell each other of ends and their causes."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from yuccarill.core.gateway.crash_ledger import CrashReport
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import Instant


class Quarantined(msgspec.Struct, frozen=True, kw_only=True):
    """Name a content that is refused, and for how much longer."""

    content: ContentDigest
    seconds: float


class EndMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what one instance tells another."""

    ends: tuple[CrashReport, ...] = ()
    # Calls that were lost at targets which may have ended behind their ports.
    doubts: tuple[CrashReport, ...] = ()
    # Contents of runs that a target finished.
    completed: tuple[ContentDigest, ...] = ()
    # Suspects that the sender has just sent on.
    tried: tuple[ContentDigest, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    released: tuple[ContentDigest, ...] = ()


class Told(NamedTuple):
    """Hold a message that waits for a peer."""

    message: EndMessage
    # When it was first to be sent.
    at: Instant


def merged(waiting: list[Told], now: Instant) -> EndMessage:
    """Return what waits for a peer as one message."""
    return EndMessage(
        ends=tuple(
            _aged(end, told, now)
            for told in waiting
            for end in told.message.ends
        ),
        doubts=tuple(
            _aged(loss, told, now)
            for told in waiting
            for loss in told.message.doubts
        ),
        completed=tuple(c for told in waiting for c in told.message.completed),
        tried=tuple(c for told in waiting for c in told.message.tried),
        quarantined=tuple(
            each for told in waiting for each in told.message.quarantined
        ),
        released=tuple(c for told in waiting for c in told.message.released),
    )


def _aged(report: CrashReport, told: Told, now: Instant) -> CrashReport:
    age = report.age + now - told.at
    return msgspec.structs.replace(report, age=age)
