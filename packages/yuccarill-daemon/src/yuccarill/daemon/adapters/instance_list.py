"""Read the platform's instance list over HTTP."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.membership.instances import Instance
from yuccarill.daemon.adapters import http

CALL_SECONDS = 2.0


class InstanceListAdapter:
    """Client of the platform's instance list."""

    def __init__(self, client: http.HttpClient, address: str) -> None:
        self._client = client
        self._url = f'http://{address}/v1/instances'

    async def read(self) -> list[Instance]:
        """Return the instances in the list.

        Raises StoreUnavailable.
        """
        try:
            response = await self._client.request(
                'GET', self._url, seconds=CALL_SECONDS
            )
            content = await http.body(response, CALL_SECONDS)
            return msgspec.json.decode(content, type=list[Instance])
        except Exception as error:
            raise errors.StoreUnavailable(
                f'The instance list did not answer ({http.cause(error)}).'
            ) from error
