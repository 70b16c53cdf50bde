"""Tell which paths of a service run at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

_DOTS = ('', '.', '..')


def check(path: str) -> str:
    """Return a path that every target reads in one way.

    Raises RequestError.
    """
    # A target may resolve a/../charges to charges, which is not the path
    # that was looked up here: a charge would pass for repeatable.
    parts = path.split('/')
    if any(part in _DOTS for part in parts[:-1]) or parts[-1] in _DOTS[1:]:
        raise errors.RequestError(
            'The path has an empty part or dots; write it out.'
        )
    return path


def is_repeatable(path: str, not_repeatable: Iterable[str]) -> bool:
    """Tell whether a call of a path may run more than once."""
    parts = _parts(path)
    for place in not_repeatable:
        prefix = _parts(place)
        if parts[: len(prefix)] == prefix:
            return False
    return True


def _parts(path: str) -> list[str]:
    return path.strip('/').split('/')
