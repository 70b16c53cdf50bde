"""Exit codes of the command line; docs/OPERATIONS.md lists them too."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    # The request was refused; stderr shows the result code.
    REFUSED = 1
    # Wrong options or arguments; click uses this code too.
    USAGE = 2
    # No instance answered.
    UNREACHABLE = 3
    # The inventory document is invalid.
    INVALID = 4
    # Another change was applied after the base revision.
    CONFLICT = 5
    # Whether the change was applied is unknown.
    OUTCOME_UNKNOWN = 6
