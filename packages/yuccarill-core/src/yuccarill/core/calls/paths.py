"""Check request paths and tell which calls are repeatable."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

_BANNED = ('', '.', '..')


def check(path: str) -> str:
    """Return a path that all targets interpret alike.

    Raises RequestError.
    """
    # A target may resolve a/../charges to charges, so that a non-repeatable
    # request would pass for repeatable.
    parts = path.split('/')
    if any(part in _BANNED for part in parts[:-1]) or parts[-1] in _BANNED[1:]:
        raise errors.RequestError(
            'The path has an empty or dot segment; send it normalized.'
        )
    return path


def is_repeatable(path: str, not_repeatable: Iterable[str]) -> bool:
    """Return whether a call of a path may run more than once."""
    parts = _split(path)
    for listed_path in not_repeatable:
        prefix = _split(listed_path)
        if parts[: len(prefix)] == prefix:
            return False
    return True


def _split(path: str) -> list[str]:
    return path.strip('/').split('/')
