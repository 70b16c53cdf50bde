"""Define the interface that counts requests for usage reports."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yuccarill.core.ids import AccountName
    from yuccarill.core.ids import Instant


class UsageSink(Protocol):
    """Count requests that began to run."""

    def record_start(
        self, account: AccountName | None, at: Instant | None
    ) -> None: ...


class NoUsage:
    """Count nothing, for deployments without usage reports."""

    def record_start(
        self, account: AccountName | None, at: Instant | None
    ) -> None:
        pass
