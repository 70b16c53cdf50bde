"""State that all peer streams of this instance share."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from yuccarill.core.membership import stream_health
from yuccarill.daemon.peers.traffic import Traffic
from yuccarill.wire import messages

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.ids import Incarnation
    from yuccarill.core.ids import InstanceId
    from yuccarill.core.ids import Instant
    from yuccarill.core.membership.instances import Instance
    from yuccarill.daemon.peers.ends import StreamEnd


class OpenStream(Protocol):
    """The interface of a stream that `Peers` uses."""

    transport: Any
    # Number of requests from the peer in flight.
    incoming_in_flight: int
    used_at: Instant

    @property
    def is_busy(self) -> bool: ...

    def check(self) -> None: ...

    def reset_silence(self) -> None: ...

    def close(self, end: StreamEnd) -> None: ...


@dataclasses.dataclass(kw_only=True)
class Local:
    """The identity, handler, clock and open streams of this instance."""

    me: Instance
    incarnation: Incarnation
    handle: Callable[[messages.Body], Awaitable[messages.Body]]
    clock: Any
    policy: stream_health.HealthPolicy = dataclasses.field(
        default_factory=stream_health.HealthPolicy
    )
    traffic: Traffic = dataclasses.field(default_factory=Traffic)
    streams: set[OpenStream] = dataclasses.field(default_factory=set)
    ends_by_cause: collections.Counter[StreamEnd] = dataclasses.field(
        default_factory=collections.Counter
    )

    def hello(self, addressee: InstanceId) -> messages.Hello:
        """Return the first message of a stream."""
        return messages.Hello(
            instance=self.me.id,
            incarnation=self.incarnation,
            data_centre=self.me.data_centre,
            addressee=addressee,
        )
