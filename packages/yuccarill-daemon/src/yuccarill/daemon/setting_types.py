"""Metadata of settings, for use in type annotations."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Help:
    """The one-line description of a setting."""

    text: str


@dataclasses.dataclass(frozen=True)
class Check:
    """A check of a value beyond its type."""

    is_valid: Callable[[str], bool]
