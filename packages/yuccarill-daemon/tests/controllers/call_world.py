"""Instances, targets and the network between them, in memory."""

from __future__ import annotations

import collections
from typing import Any
from typing import TYPE_CHECKING

from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import task
from twisted.python import failure

from yuccarill.core.blackboard import Blackboard
from yuccarill.core.calls import dispatcher
from yuccarill.core.config import inventory
from yuccarill.core.config import snapshot
from yuccarill.core import errors
from yuccarill.core.ids import CallerId
from yuccarill.core.ids import DataCentreId
from yuccarill.core.ids import Incarnation
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import Instant
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import RequestId
from yuccarill.core.ids import ServiceName
from yuccarill.core.ids import TargetId
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.adapters import target as target_module
from yuccarill.daemon.controllers import attempts
from yuccarill.daemon.controllers import calls

if TYPE_CHECKING:
    from collections.abc import Iterable

CENTRE = DataCentreId('here')
SERVICE = ServiceName('billing')
INTERNAL = CallerId('feed')
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 4\r\n\r\npaid'
)


class Reactor(task.Clock):
    """Provide a clock and record pending connections."""

    def __init__(self) -> None:
        super().__init__()
        self.connecting: list[tuple[str, int, Any]] = []
        self.refuses = False

    def connectTCP(  # noqa: N802
        self, host: str, port: int, factory: Any, *_: Any, **__: Any
    ) -> Any:
        self.connecting.append((host, port, factory))
        connector = Connector(factory)
        factory.startedConnecting(connector)
        if self.refuses:
            connector.stopConnecting()
        return connector


class Connector:
    """Allow a pending connection to be cancelled."""

    def __init__(self, factory: Any) -> None:
        self._factory = factory

    def getDestination(self) -> str:  # noqa: N802
        return 'a target'

    def stopConnecting(self) -> None:  # noqa: N802
        self._factory.clientConnectionFailed(
            self, failure.Failure(internet_error.UserError())
        )


class Transport:
    """Record written data until the connection closes."""

    disconnecting = False

    def __init__(self) -> None:
        self.written = b''
        self.connected = True
        self.disconnect: Any = None

    def write(self, data: bytes) -> None:
        self.written += data

    def writeSequence(self, parts: Any) -> None:  # noqa: N802
        self.written += b''.join(parts)

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnect(internet_error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        self.disconnect(internet_error.ConnectionAborted())

    def registerProducer(self, *_: object) -> None:  # noqa: N802
        pass

    unregisterProducer = registerProducer  # noqa: N815
    pauseProducing = registerProducer  # noqa: N815
    resumeProducing = registerProducer  # noqa: N815
    stopProducing = loseConnection  # noqa: N815


class Connection:
    """Represent the target's end of a connection."""

    def __init__(self, world: World, entry: Any) -> None:
        self._world = world
        self.port: int = entry[1]
        self._factory = entry[2]
        self._protocol: Any = None
        self.transport = Transport()
        self.transport.disconnect = self._end

    def open(self) -> None:
        self._protocol = self._factory.buildProtocol(None)
        self._protocol.makeConnection(self.transport)

    def run(self) -> None:
        """Read the request and count its run, as a target does."""
        head = self.transport.written.decode()
        assert head.startswith('POST '), head
        names = [n for n in head.split('\r\n') if 'equest-Id' in n]
        self._world.runs[names[0].split(': ')[1]] += 1

    def reply(self, data: bytes) -> None:
        self._protocol.dataReceived(data)

    @property
    def is_open(self) -> bool:
        return self._protocol is not None

    def lose(
        self, reason: Exception = internet_error.ConnectionLost()
    ) -> None:
        if self._protocol is None:
            refused = internet_error.ConnectionRefusedError()
            self._factory.clientConnectionFailed(
                None, failure.Failure(refused)
            )
        else:
            self._end(reason)

    def _end(self, reason: Exception) -> None:
        if self.transport.connected:
            self.transport.connected = False
            self._protocol.connectionLost(failure.Failure(reason))


class Peers:
    """Deliver requests to other instances of a world."""

    def __init__(self, world: World) -> None:
        self._world = world

    async def request(self, peer: Any, body: Any, seconds: float) -> Any:
        if peer.id in self._world.unreachable:
            raise errors.NotRun('not connected')
        process = self._world.calls[peer.id]
        reply = defer.ensureDeferred(process.handle(body))
        waiting: defer.Deferred[Any] = defer.Deferred()

        def settle(result: Any) -> None:
            is_gone = self._world.calls[peer.id] is not process
            is_lost = is_gone or peer.id in self._world.mute
            if not is_lost and not waiting.called:
                waiting.callback(result)

        reply.addBoth(settle)
        waiting.addTimeout(
            seconds, self._world.reactor, self._world.peer_silent
        )
        return await waiting


class World:
    """Simulate three instances and two targets."""

    def __init__(
        self,
        policy: dispatcher.Policy | None = None,
        engines: Any = None,
    ) -> None:
        self._engines = engines
        self._policy = policy or dispatcher.Policy()
        self.reactor = Reactor()
        self.runs: collections.Counter[str] = collections.Counter()
        self.mute: set[InstanceId] = set()
        self.unreachable: set[InstanceId] = set()
        self.opened = 0
        self.instances = {
            name: Instance(
                id=name,
                data_centre=CENTRE,
                host='127.0.0.1',
                http_port=1,
                peer_port=1,
            )
            for name in map(InstanceId, 'abc')
        }
        self.boards: dict[InstanceId, Blackboard] = {}
        self.calls: dict[InstanceId, calls.CallController] = {}
        for name in self.instances:
            self.start(name, 'first')

    def start(self, name: InstanceId, incarnation: str) -> None:
        """Start an instance, replacing an earlier process."""
        board = Blackboard(own_instance=self.instances[name])
        board.instances_by_id = dict(self.instances)
        self.boards[name] = board
        self.configure(name, (81, 82))
        self.calls[name] = calls.CallController(
            board,
            Incarnation(incarnation),
            target_module.TargetAdapter(self.now, self.reactor),
            self._engines,
            Peers(self),  # type: ignore[arg-type]
            policy=self._policy,
            now=self.now,
            wall_now=lambda: 1e9 + self.now(),
            clock=self.reactor,
        )

    def configure(self, name: InstanceId, ports: Iterable[int]) -> None:
        """Apply an inventory with targets at the given ports."""
        self.boards[name].snapshot = _snapshot(ports)

    def now(self) -> Instant:
        return Instant(self.reactor.seconds())

    def send(
        self,
        name: str,
        ticket: str | None,
        path: str = 'charges',
        caller: CallerId | None = None,
    ) -> Result:
        """Send the request of a test through an instance."""
        call = attempts.Call(
            request_id=RequestId('r'),
            service=SERVICE,
            path=path,
            content_type='',
            body=b'5 euro',
            deadline=Instant(self.now() + 10.0),
            ticket=ticket,
            caller=caller,
        )
        return Result(self.calls[InstanceId(name)].run(call))

    def connection(self) -> Connection | None:
        """Return the next pending connection to a target, or None."""
        if len(self.reactor.connecting) == self.opened:
            return None
        self.opened += 1
        return Connection(self, self.reactor.connecting[self.opened - 1])

    def peer_silent(self, result: object, seconds: float) -> None:
        raise errors.PeerUnavailable('The peer did not reply in time.')


class Result:
    """Hold the answer or error that a caller receives."""

    def __init__(self, work: Any) -> None:
        self.deferred = defer.ensureDeferred(work)
        self.answer: Any = None
        self.error: Any = None
        self.deferred.addCallbacks(self._answered, self._failed)

    @property
    def is_settled(self) -> bool:
        return self.answer is not None or self.error is not None

    def _answered(self, answer: Any) -> None:
        self.answer = answer

    def _failed(self, reason: Any) -> None:
        self.error = reason.value


def _snapshot(ports: Iterable[int]) -> snapshot.Snapshot:
    targets = tuple(
        inventory.Target(
            id=TargetId(f't{port}'),
            service=SERVICE,
            address=f'127.0.0.1:{port}',
            data_centre=CENTRE,
        )
        for port in ports
    )
    service = inventory.Service(name=SERVICE, not_repeatable=('charges',))
    caller = inventory.Caller(
        id=INTERNAL, caller_class=inventory.CallerClass.INTERNAL
    )
    engines = tuple(
        inventory.Engine(
            id=TargetId(f'e{port}'),
            model=ModelName('m'),
            address=f'127.0.0.1:{port}',
            data_centre=CENTRE,
        )
        for port in (91, 92, 93)
    )
    return snapshot.from_inventory(
        inventory.Inventory(
            callers=(caller,),
            services=(service,),
            targets=targets,
            engines=engines,
        )
    )
