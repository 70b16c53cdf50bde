"""Tell statuses of HTTP from other numbers in a status line."""

from __future__ import annotations

FIRST_FINAL = 200
LAST = 599


def is_final(status: int) -> bool:
    """Return whether a number is the status of a final response."""
    return FIRST_FINAL <= status <= LAST
