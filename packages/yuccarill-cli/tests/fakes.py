"""Fake transport and a helper that runs commands on it."""

from __future__ import annotations

from typing import Any

from click import testing
import msgspec
from twisted.internet import defer

from yuccarill.cli import application
from yuccarill.cli import session
from yuccarill.cli import transport
from yuccarill.core import errors

ADDRESS = '127.0.0.1:8100'
OTHER = '127.0.0.2:8100'


class FakeTransport:
    """Answer requests from a list and record them."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.sent: list[tuple[str, str, str]] = []
        self.bodies: list[Any] = []

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        seconds: float,
    ) -> transport.Reply:
        """Return or raise the next answer."""
        self.sent.append((address, method, path))
        self.bodies.append(msgspec.json.decode(body) if body else None)
        answer = self.answers.pop(0)
        if callable(answer):
            answer = answer(self.bodies[-1])
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, transport.Reply):
            return answer
        return transport.Reply(200, msgspec.json.encode(answer))


def refusal(error: errors.YuccarillError) -> transport.Reply:
    """Return the reply with which an instance reports an error."""
    body = {
        'code': error.code,
        'name': error.code.name,
        'message': error.message,
        'not_run': error.not_run,
        'retry_after': error.retry_after,
    }
    return transport.Reply(error.http_status, msgspec.json.encode(body))


def invoke(fake: FakeTransport, *arguments: str) -> testing.Result:
    """Run a command with two addresses."""
    test_session = session.Session([ADDRESS, OTHER], fake, _run)
    return testing.CliRunner().invoke(
        application.main, arguments, obj=test_session, catch_exceptions=False
    )


def _run(awaitable: Any) -> Any:
    results: list[Any] = []
    defer.ensureDeferred(awaitable).addBoth(results.append)
    if hasattr(results[0], 'raiseException'):
        results[0].raiseException()
    return results[0]
