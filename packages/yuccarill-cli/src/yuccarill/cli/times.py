"""Show instants to operators."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import WallTime


def shown(at: WallTime) -> str:
    """Return an instant in UTC, to the second."""
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')
