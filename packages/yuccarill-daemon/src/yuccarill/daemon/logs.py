"""Structured logs: short sentences with a fixed prefix a part."""

from __future__ import annotations

import sys
from typing import Any

import structlog


def configure(log_format: str) -> None:
    """Set how log lines are written."""
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if log_format == 'json':
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _prefix,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def for_part(part: str) -> Any:
    """Return the logger of one part."""
    return structlog.get_logger(part=part)


def _prefix(logger: Any, name: str, event: Any) -> Any:
    part = event.pop('part', 'instance')
    event['event'] = f'{part}: {event["event"]}'
    return event
