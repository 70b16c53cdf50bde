"""Describe client requests and the responses to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import AccountName
from yuccarill.core.ids import Instant
from yuccarill.core.ids import RequestId

if TYPE_CHECKING:
    from yuccarill.core.gateway.routes import Route


class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one request as received from a client."""

    id: RequestId
    method: str
    host: str
    # Without the query.
    path: str
    # Path and query exactly as received.
    target: str
    # Headers that are forwarded; the case of their names is kept.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_at: Instant
    # Headers that identify the sender; forwarded to the target only if the
    # configuration has no accounts.
    identity: tuple[tuple[str, str], ...] = ()
    # Credential header values among `identity`, as received.
    credentials: tuple[str, ...] = ()
    # Set once the credentials are verified.
    account: AccountName | None = None
    # Overrides the priority of the route.
    account_priority: int | None = None
    # Set by the client.
    deadline: Instant | None = None
    # Last event id that the client received before it resumes a stream.
    after_event: int | None = None


class TargetAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a complete response of a target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # The target's signature of the response.
    signature: str | None
    # The target reports that it did not run the request.
    not_run: bool = False
    # A different process responded at the target's address.
    is_from_other_process: bool = False

    @property
    def is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def is_server_error(self) -> bool:
        return self.status >= 500

    @property
    def is_failed_run(self) -> bool:
        """Return whether the target reports that the work itself failed."""
        # A 504 only reports a timeout; a retry may succeed.
        return self.status == 500


class AddressList(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the instances that a client may connect to."""

    addresses: tuple[str, ...]
    # Seconds for which the list may be cached.
    validity: float


def time_limit(route: Route, request: ClientRequest) -> Instant:
    """Return the deadline of the response to a request."""
    limit = Instant(request.arrived_at + route.timeout)
    if request.deadline is None:
        return limit
    return min(limit, request.deadline)
