"""What a setting says about itself besides its type."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Help:
    """Describe a setting in one line."""

    text: str


@dataclasses.dataclass(frozen=True)
class Check:
    """Refuse a value for more than its type."""

    is_valid: Callable[[str], bool]
