"""Find the route of a request in the configuration in force."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core.ids import ModelName
from yuccarill.core.ids import ServiceName
from yuccarill.core.scaling.plan import ScalingBounds

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from yuccarill.core.accounts.directory import AccountDirectory


class RouteKind(enum.Enum):
    """Say what of a route's requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'
    BATCH = 'batch'


class Share(msgspec.Struct, frozen=True):
    """Hold the part of a route's requests that one service takes."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one route; times are in seconds."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    # How long a request may be kept waiting.
    timeout: float
    # Time within which an answer earns its full worth.
    objective: float
    max_attempts: int = 1
    # 0 goes first.
    priority: int = 5
    is_resumable: bool = False
    # Anybody may send to it; no client account is asked for.
    is_open: bool = False
    # Each text must come from one weight version alone.
    is_single_version: bool = False
    # From a batch job's submission until all its results are due.
    due_after: float | None = None
    # From a batch job's submission until its items may be given up.
    retention: float | None = None

    def choose_service(self, generator: random.Random) -> ServiceName | None:
        """Draw the service of one request by the shares' weights."""
        weights = [share.weight for share in self.shares]
        if sum(weights) <= 0.0:
            return None
        (share,) = generator.choices(self.shares, weights)
        return share.service

    @property
    def services(self) -> tuple[ServiceName, ...]:
        return tuple(s.service for s in self.shares if s.weight > 0.0)


class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the engines of a service that runs models."""

    slots: int
    models: tuple[ModelName, ...] = ()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one service."""

    name: ServiceName
    health_path: str = '/'
    # Connections that one target takes from all senders together.
    max_connections: int = 64
    engine: EngineTraits | None = None
    # None where the number of its targets is not ordered.
    scaling: ScalingBounds | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound what a client may send; times are in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 32 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RouteTable:
    """Hold one version of the configuration, indexed."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: ClientLimits,
        accounts: AccountDirectory | None = None,
    ) -> None:
        self.version = version
        self.limits = limits
        # None where the configuration names no accounts: nobody is asked.
        self.accounts = accounts
        self.services_by_name = {s.name: s for s in services}
        self.routes_by_name: dict[str, Route] = {}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.routes_by_name[route.name] = route
            self._routes_by_host.setdefault(route.host, []).append(route)
        for found in self._routes_by_host.values():
            found.sort(key=lambda route: len(route.prefix), reverse=True)

    def is_open_to_jobs(self, host: str) -> bool:
        """Tell whether a host's jobs belong to no client account."""
        found = [
            route.is_open
            for route in self._routes_by_host.get(_host_name(host), ())
            if route.kind is RouteKind.BATCH
        ]
        return bool(found) and all(found)

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix of a path."""
        for route in self._routes_by_host.get(_host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _host_name(host: str) -> str:
    """Return a host without its port."""
    return (host.rpartition(':')[0] or host).lower()
