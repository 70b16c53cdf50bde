"""Hold a client's request and the answers to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId

if TYPE_CHECKING:
    from yuccarill.core.gateway.routes import Route


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one attempt of a client."""

    id: RequestId
    method: str
    host: str
    # Without the query.
    path: str
    # Path and query exactly as they came.
    target: str
    # What is passed on; names as they came.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: Instant
    # What names its sender, apart from the other headers; a target gets it
    # only where the configuration names no accounts.
    identity: tuple[tuple[str, str], ...] = ()
    # The credentials among it, each as it came.
    credentials: tuple[str, ...] = ()
    # Whose request it is, once that was found out.
    account: AccountName | None = None
    # The account's, where it has one.
    account_priority: int | None = None
    # When the client stops waiting, if it said so.
    deadline: Instant | None = None
    # The last event that the client has of a stream it resumes.
    after_event: int | None = None


class TargetAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # The target's signature of what it answered.
    stamp: str | None
    # The target says that it did not run the request.
    not_run: bool = False
    # Another process answers where the target was.
    is_other: bool = False

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def is_server_error(self) -> bool:
        return self.status >= 500

    @property
    def is_failed_run(self) -> bool:
        """Tell whether the target says that the work itself failed."""
        # A 504 says only that time was up, and another try may succeed.
        return self.status == 500


class AddressList(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the instances that a client may connect to."""

    addresses: tuple[str, ...]
    # Seconds for which the answer may be kept.
    validity: float


def time_limit(route: Route, request: ClientRequest) -> Instant:
    """Return when a request gets its last answer at the latest."""
    limit = Instant(request.arrived_at + route.timeout)
    if request.deadline is None:
        return limit
    return min(limit, request.deadline)
