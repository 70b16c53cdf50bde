"""Relay TCP connections, and cut or silence them on demand."""

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
    """How a relay treats its connections."""

    FORWARD = 'forward'
    # Aborts open connections and all later ones.
    CUT = 'cut'
    # Accepts bytes and forwards none, also on later connections.
    SILENT = 'silent'
    # Silences open connections until they close; later ones are forwarded.
    SILENCE_OPEN = 'silence open'
    # Forwards bytes from clients, and none from servers.
    ONE_WAY = 'one way'


class RelayFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a relay."""

    mode: Mode = Mode.FORWARD


class Relay(protocol.Factory):
    """Relay connections from one port to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, host, port, timeout=CONNECT_SECONDS
        )
        self.fault_control = faults.FaultControl(RelayFaults())
        self.connections: set[ClientConnection] = set()
        self.accepted = 0

    def buildProtocol(self, addr: Any) -> ClientConnection:  # noqa: N802
        self.accepted += 1
        return ClientConnection(self)

    def connect(self, client: ClientConnection) -> Any:
        """Open the connection to the server."""
        connection = ServerConnection(client)
        return endpoints.connectProtocol(self._endpoint, connection)

    def apply_mode(self) -> None:
        """Apply the mode to the open connections."""
        match self.fault_control.current.mode:
            case Mode.CUT:
                for connection in list(self.connections):
                    connection.abort()
            case Mode.SILENCE_OPEN:
                for connection in self.connections:
                    connection.is_silenced = True

    def is_forwarding(
        self, connection: ClientConnection, to_server: bool
    ) -> bool:
        """Return whether bytes in one direction are forwarded."""
        if connection.is_silenced:
            return False
        match self.fault_control.current.mode:
            case Mode.CUT | Mode.SILENT:
                return False
            case Mode.ONE_WAY:
                return to_server
            case Mode.FORWARD | Mode.SILENCE_OPEN:
                return True


class ClientConnection(protocol.Protocol):
    """Connection that a client opened to the relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.is_silenced = False
        self.server: ServerConnection | None = None
        self._buffered: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.relay.connections.add(self)
        if self.relay.fault_control.current.mode is Mode.CUT:
            self.abort()
            return
        opened = self.relay.connect(self)
        opened.addErrback(lambda _: self.abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.relay.is_forwarding(self, to_server=True):
            return
        if self.server is None:
            self._buffered.append(data)
            return
        self.server.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.relay.connections.discard(self)
        # A relay that drops bytes from the client drops its close, too.
        if self.server is not None and self.relay.is_forwarding(self, True):
            self.server.transport.loseConnection()

    def attach(self, connection: ServerConnection) -> None:
        """Forward to the server, starting with buffered data."""
        self.server = connection
        for data in self._buffered:
            connection.transport.write(data)
        if not self.connected:
            connection.transport.loseConnection()

    def abort(self) -> None:
        """Abort both connections."""
        self.transport.abortConnection()
        if self.server is not None:
            self.server.transport.abortConnection()


class ServerConnection(protocol.Protocol):
    """Connection that the relay opened to the server."""

    def __init__(self, client: ClientConnection) -> None:
        self._client = client

    def connectionMade(self) -> None:  # noqa: N802
        self._client.attach(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._client.relay.is_forwarding(self._client, to_server=False):
            self._client.transport.write(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if self._client.relay.is_forwarding(self._client, to_server=False):
            self._client.transport.loseConnection()


class RelayAdmin:
    """Open relays and configure their faults over HTTP."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._relays_by_name: dict[str, Relay] = {}

    @app.route('/admin/relays/<name>', methods=['PUT'])
    async def open(self, request: Any, name: str) -> bytes:
        """Open a relay to {"to": "IP:PORT"}; reply with its address."""
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
    def configure_faults(self, request: Any, name: str) -> bytes:
        relay = self._relays_by_name[name]
        answer = relay.fault_control.handle_request(request)
        relay.apply_mode()
        return answer
