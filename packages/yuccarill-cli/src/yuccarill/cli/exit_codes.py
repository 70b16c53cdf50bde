"""Exit codes of the command line, as docs/OPERATIONS.md lists them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Say how a command ended."""

    OK = 0
    # The system refused; the numbered code stands on stderr.
    REFUSED = 1
    # Wrong flags or arguments; click's own code.
    USAGE = 2
    # No address could be reached.
    UNREACHABLE = 3
    # The document has faults.
    INVALID = 4
    # Another operator's change stands.
    CONFLICT = 5
    # The change may or may not stand.
    OUTCOME_UNKNOWN = 6
