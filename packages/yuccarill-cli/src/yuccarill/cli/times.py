"""Format times for operators."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import WallTime


def format_utc(wall_time: WallTime) -> str:
    """Return a time in UTC, to the second."""
    moment = datetime.datetime.fromtimestamp(wall_time, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')
