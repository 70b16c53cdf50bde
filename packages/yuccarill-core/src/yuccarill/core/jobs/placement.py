"""Name the ways in which items find their engines."""

from __future__ import annotations

import enum


class Placement(enum.Enum):
    """Say by what items are put in order and engines chosen."""

    # By time to spare, at the engine with the least load.
    LOAD = 'load'
    # By what can be whole in time, at the engine where it ends first.
    FINISH = 'finish'
