"""Reach plain services' targets over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import treq
from twisted.internet import error as internet_error

from yuccarill.core.calls.ledger import Answer
from yuccarill.core import errors
from yuccarill.daemon.adapters import http

if TYPE_CHECKING:
    from yuccarill.core.ids import RequestId

# Raised while the connection is being made, before any byte is sent.
_NOT_CONNECTED = (
    internet_error.ConnectionRefusedError,
    internet_error.ConnectError,
    internet_error.TimeoutError,
    internet_error.NoRouteError,
)


class TargetAdapter:
    """Send calls to targets."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def call(
        self,
        address: str,
        path: str,
        request_id: RequestId,
        content_type: str,
        body: bytes,
        seconds: float,
    ) -> Answer:
        """Send one call and return its whole answer.

        Raises NotRun if no byte was sent, else OutcomeUnknown.
        """
        try:
            # A kept connection may have died unseen: bytes written to it
            # leave open whether the call ran. A fresh one tells refused
            # apart from sent.
            response = await self._client.request(
                'POST',
                f'http://{address}/{path}',
                seconds=seconds,
                fresh=True,
                data=body,
                headers={
                    'Content-Type': content_type,
                    'Yuccarill-Request-Id': request_id,
                },
            )
        except _NOT_CONNECTED as error:
            raise errors.NotRun(
                f'The target at {address} can not be reached.'
            ) from error
        except Exception as error:
            raise _unknown(address, error) from error
        try:
            content = await http.with_timeout(treq.content(response), seconds)
        except Exception as error:
            raise _unknown(address, error) from error
        types = response.headers.getRawHeaders('Content-Type', [''])
        return Answer(response.code, types[0], content)


def _unknown(address: str, cause: Exception) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        f'The target at {address} broke off ({cause}); the call may have run.'
    )
