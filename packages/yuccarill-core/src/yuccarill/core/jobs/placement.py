"""Define the placement policies of batch jobs."""

from __future__ import annotations

import enum


class Placement(enum.Enum):
    """Enumerate how items are ordered and engines chosen."""

    # Items by slack, on the engine with the least load.
    LOAD = 'load'
    # Groups that can meet the deadline first, on the fastest engine.
    FINISH = 'finish'
