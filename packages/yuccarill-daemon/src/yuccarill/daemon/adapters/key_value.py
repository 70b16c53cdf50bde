"""Client of the platform's key-value service."""

from __future__ import annotations

import msgspec

from yuccarill.core import decoding
from yuccarill.core import errors
from yuccarill.daemon.adapters import http
from yuccarill.wire.key_value import Entry

CALL_SECONDS = 2.0
WATCH_SECONDS = 10.0


class _Written(msgspec.Struct):
    version: decoding.Integer


class KeyValueAdapter:
    """Read, compare-and-swap and watch keys."""

    def __init__(self, client: http.HttpClient, address: str) -> None:
        self._client = client
        self._base = f'http://{address}/v1/keys/'

    async def get(self, key: str) -> Entry:
        """Return the entry of a key.

        Raises StoreUnavailable.
        """
        return await self._read(self._base + key, CALL_SECONDS)

    async def watch(self, key: str, after: int) -> Entry:
        """Return the entry of a key once its version is above `after`.

        Returns the unchanged entry after WATCH_SECONDS.
        Raises StoreUnavailable.
        """
        url = f'{self._base}{key}?after={after}&wait={WATCH_SECONDS}'
        return await self._read(url, WATCH_SECONDS + CALL_SECONDS)

    async def swap(self, key: str, value: bytes, expected: int) -> int:
        """Write a key if its version is `expected`, 0 if it must be absent.

        Returns the new version. Raises StoreConflict if nothing was
        written, StoreUnavailable if the write may have taken effect.
        """
        try:
            response = await self._client.request(
                'PUT',
                self._base + key,
                seconds=CALL_SECONDS,
                data=value,
                headers={'X-Expected-Version': str(expected)},
            )
            content = await http.body(response, CALL_SECONDS)
        except Exception as error:
            raise _unavailable(http.cause(error)) from error
        if response.code == 412:
            raise errors.StoreConflict(
                f'Another writer changed {key} first; read it again.'
            )
        if response.code != 200:
            raise _unavailable(f'status {response.code}')
        try:
            return decoding.from_json(content, _Written).version
        except msgspec.MsgspecError as error:
            raise _unavailable(f'a malformed answer: {error}') from error

    async def _read(self, url: str, seconds: float) -> Entry:
        try:
            response = await self._client.request('GET', url, seconds=seconds)
            content = await http.body(response, CALL_SECONDS)
        except Exception as error:
            raise _unavailable(http.cause(error)) from error
        if response.code not in (200, 404):
            raise _unavailable(f'status {response.code}')
        text = response.headers.getRawHeaders('X-Version', ['0'])[0]
        version = decoding.parse_decimal(text)
        if version is None:
            raise _unavailable(f'version {text[:20]!r}')
        return Entry(version, content)


def _unavailable(cause: str) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'The key-value service did not answer ({cause}); try again.',
        retry_after=1.0,
    )
