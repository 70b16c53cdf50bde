"""Structured logs, with the name of a component before each event."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any
from typing import TYPE_CHECKING

import structlog

from yuccarill.daemon.settings import LogFormat
from yuccarill.daemon.settings import LogLevel

if TYPE_CHECKING:
    from collections.abc import MutableMapping


def configure(
    log_format: LogFormat, log_level: LogLevel = LogLevel.INFO
) -> None:
    """Set the format and the lowest level of log lines on stderr."""
    renderer: Any = structlog.dev.ConsoleRenderer(colors=False)
    if log_format is LogFormat.JSON:
        renderer = structlog.processors.JSONRenderer()
    _configure(renderer, sys.stderr, log_level)


def configure_stream(stream: Any, log_level: LogLevel) -> None:
    """Write JSON log lines of at least a given level to a stream."""
    _configure(structlog.processors.JSONRenderer(), stream, log_level)


def _configure(renderer: Any, stream: Any, log_level: LogLevel) -> None:
    level = logging.getLevelNamesMapping()[log_level.name]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            _replace_enums,
            _add_prefix,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream),
    )


def for_part(part: str) -> Any:
    """Return the logger of a component."""
    return structlog.get_logger(part=part)


def _replace_enums(
    _logger: Any, _name: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    for key, value in event.items():
        if isinstance(value, enum.Enum):
            event[key] = value.value
    return event


def _add_prefix(
    _logger: Any, _name: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    part = event.pop('part', 'instance')
    event['event'] = f'{part}: {event["event"]}'
    return event
