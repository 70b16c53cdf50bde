"""Connect instances in memory, with a manual clock."""

from __future__ import annotations

from typing import Any

from twisted.internet import defer
from twisted.internet import task

from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.peers import peers
from yuccarill.wire import messages


BODY = messages.ViewRequest()

# Maximum bytes that one socket read returns.
READ_BYTES = 64 * 1024


class Transport:
    """Buffer written bytes, in place of twisted.internet.testing.

    Importing that module adds an attribute to unittest.TestCase that raises,
    and nose2 then fails to load any test.
    """

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.producer: Any = None
        self.disconnecting = False

    def registerProducer(self, producer: Any, _: bool) -> None:  # noqa: N802
        self.producer = producer

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def pop_written(self) -> bytes:
        data = b''.join(self.written)
        self.written.clear()
        return data

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnecting = True

    def abortConnection(self) -> None:  # noqa: N802
        self.disconnecting = True


class Pair:
    """Both ends of one connection."""

    def __init__(self, dialling, accepting) -> None:
        self.ends = [(dialling, Transport()), (accepting, Transport())]
        self.is_silent = False
        self.is_lost = False

    def connect(self) -> None:
        for protocol, transport in reversed(self.ends):
            protocol.makeConnection(transport)

    def pump(self) -> bool:
        """Deliver the written bytes; return whether there were any."""
        moved = False
        for (_, source), (target, _) in (self.ends, self.ends[::-1]):
            data = source.pop_written()
            if data and not self.is_silent and not self.is_lost:
                for start in range(0, len(data), READ_BYTES):
                    target.dataReceived(data[start : start + READ_BYTES])
                moved = True
        if any(t.disconnecting for _, t in self.ends) and not self.is_lost:
            self.lose()
        return moved

    def lose(self) -> None:
        self.is_lost = True
        for protocol, _ in self.ends:
            protocol.connectionLost(None)


class Network:
    """Connect instances to each other."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.pairs: list[Pair] = []
        self.peers_by_id: dict[InstanceId, peers.Peers] = {}
        self.is_refusing = False
        self.dials = 0

    def add(self, name: str, handle=None) -> Instance:
        me = instance(name)
        self.peers_by_id[me.id] = peers.Peers(
            handle or confirm,
            me,
            Incarnation(f'{name}-1'),
            clock=self.clock,
            dial=self._dial,
        )
        return me

    def request(self, name: str, peer: Instance, seconds: float = 60.0):
        """Send a request; its outcome is appended to the returned list."""
        sent = self.peers_by_id[InstanceId(name)].request(peer, BODY, seconds)
        outcome: list[object] = []
        deferred = defer.ensureDeferred(sent)
        deferred.addCallbacks(
            outcome.append, lambda failure: outcome.append(failure.value)
        )
        return outcome

    def pump(self) -> None:
        while any([pair.pump() for pair in self.pairs]):
            pass

    def pass_time(self, seconds: float, step: float = 0.25) -> None:
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
            for each in self.peers_by_id.values():
                each.check()
            self.pump()

    def _dial(self, peer: Instance, protocol):
        self.dials += 1
        if self.is_refusing:
            return defer.fail(ConnectionRefusedError())
        # The address, not the name, decides which instance answers.
        answering = self.peers_by_id[InstanceId(peer.host)]
        pair = Pair(protocol, answering.accept())
        self.pairs.append(pair)
        pair.connect()
        return defer.succeed(protocol)


def instance(name: str, host: str = '', port: int = 2) -> Instance:
    return Instance(
        id=InstanceId(name),
        data_centre=DataCentreId('a'),
        host=host or name,
        http_port=1,
        peer_port=port,
    )


async def confirm(body: messages.Body) -> messages.Body:
    return messages.Done()
