"""Client of the platform's weight store."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.ids import ModelName
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon.adapters import http

CALL_SECONDS = 2.0


class WeightStoreAdapter:
    """Read the available weight versions."""

    def __init__(self, client: http.HttpClient, address: str) -> None:
        self._client = client
        self._base = f'http://{address}/v1/models/'

    async def newest(self, model: ModelName) -> WeightVersion:
        """Return a model's newest weight version.

        Raises StoreUnavailable.
        """
        try:
            response = await self._client.request(
                'GET', f'{self._base}{model}/newest', seconds=CALL_SECONDS
            )
            content = await http.body(response, CALL_SECONDS)
            return WeightVersion(msgspec.json.decode(content, type=int))
        except Exception as error:
            raise errors.StoreUnavailable(
                f'The weight store did not answer ({http.cause(error)}).'
            ) from error
