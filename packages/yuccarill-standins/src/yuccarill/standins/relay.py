"""Relay TCP connections, and cut or silence them by order."""

from __future__ import annotations

import enum
from typing import Any

import klein
import msgspec
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor

from yuccarill.standins import faults
from yuccarill.standins import server

CONNECT_SECONDS = 5.0


class Mode(enum.Enum):
    """Say what a relay does with its connections."""

    FORWARD = 'forward'
    # Closes what is open and whatever is opened later.
    CUT = 'cut'
    # Takes bytes and forwards none, also on connections opened later.
    SILENT = 'silent'
    # Forwards nothing on what is open now, for good; later ones work.
    SILENCE_OPEN = 'silence open'
    # Forwards what clients send, and nothing that servers answer.
    ONE_WAY = 'one way'


class RelayFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Name the faults of a relay."""

    mode: Mode = Mode.FORWARD


class Relay(protocol.Factory):
    """Relay connections of one port to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_SECONDS
        )
        self.switch = faults.FaultSwitch(RelayFaults())
        self.connections: set[ClientSide] = set()
        self.accepted = 0

    def buildProtocol(self, addr: Any) -> ClientSide:  # noqa: N802
        self.accepted += 1
        return ClientSide(self)

    def connect(self, client: ClientSide) -> Any:
        """Open the server's side of a connection."""
        side = ServerSide(client)
        return endpoints.connectProtocol(self._endpoint, side)

    def apply(self) -> None:
        """Do to open connections what the mode asks."""
        match self.switch.now.mode:
            case Mode.CUT:
                for connection in list(self.connections):
                    connection.abort()
            case Mode.SILENCE_OPEN:
                for connection in self.connections:
                    connection.is_silenced = True

    def forwards(self, connection: ClientSide, to_server: bool) -> bool:
        """Tell whether bytes pass."""
        if connection.is_silenced:
            return False
        match self.switch.now.mode:
            case Mode.CUT | Mode.SILENT:
                return False
            case Mode.ONE_WAY:
                return to_server
            case Mode.FORWARD | Mode.SILENCE_OPEN:
                return True


class ClientSide(protocol.Protocol):
    """Be the side that the relay's client has opened."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.is_silenced = False
        self.server: ServerSide | None = None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.relay.connections.add(self)
        if self.relay.switch.now.mode is Mode.CUT:
            self.abort()
            return
        opened = self.relay.connect(self)
        opened.addErrback(lambda _: self.abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.relay.forwards(self, to_server=True):
            return
        if self.server is None:
            self._early.append(data)
            return
        self.server.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.relay.connections.discard(self)
        # What lost track of a connection does not tell the far end either.
        if self.server is not None and self.relay.forwards(self, True):
            self.server.transport.loseConnection()

    def attach(self, side: ServerSide) -> None:
        """Forward to the server's side from now on."""
        self.server = side
        for data in self._early:
            side.transport.write(data)
        if not self.connected:
            side.transport.loseConnection()

    def abort(self) -> None:
        """Close both sides at once."""
        self.transport.abortConnection()
        if self.server is not None:
            self.server.transport.abortConnection()


class ServerSide(protocol.Protocol):
    """Be the side that the relay has opened."""

    def __init__(self, client: ClientSide) -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        self._client.attach(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._client.relay.forwards(self._client, to_server=False):
            self._client.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self._client.relay.forwards(self._client, to_server=False):
            self._client.transport.loseConnection()


class RelayAdmin:
    """Open relays and order their faults over HTTP."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._relays_by_name: dict[str, Relay] = {}

    @app.route('/admin/relays/<name>', methods=['PUT'])
    async def open(self, request: Any, name: str) -> bytes:
        """Take {"to": "IP:PORT"} and return the relay's address."""
        host, _, port = server.read_json(request)['to'].rpartition(':')
        relay = Relay(host, int(port))
        endpoint = endpoints.TCP4ServerEndpoint(
            reactor, 0, interface=server.LOOPBACK
        )
        listening = await endpoint.listen(relay)
        self._relays_by_name[name] = relay
        address = f'{server.LOOPBACK}:{listening.getHost().port}'
        return server.reply_json(request, {'address': address})

    @app.route('/admin/relays/<name>', methods=['GET'])
    def show(self, request: Any, name: str) -> bytes:
        relay = self._relays_by_name[name]
        shown = {'open': len(relay.connections), 'accepted': relay.accepted}
        return server.reply_json(request, shown)

    @app.route('/admin/relays/<name>/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: Any, name: str) -> bytes:
        relay = self._relays_by_name[name]
        answer = relay.switch.answer(request)
        relay.apply()
        return answer
