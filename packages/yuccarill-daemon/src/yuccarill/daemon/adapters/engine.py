"""Generate tokens on model engines over HTTP."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec
from twisted.internet import reactor

from yuccarill.core.calls import load
from yuccarill.core import errors
from yuccarill.daemon.adapters import http
from yuccarill.daemon.adapters.token_stream import Chunk
from yuccarill.daemon.adapters.token_stream import TokenStream

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds without data after which a stream counts as stalled; an engine step
# takes less than one second.
PROGRESS_SECONDS = 5.0
_OK = 200

__all__ = ['Chunk', 'EngineAdapter']


class EngineAdapter:
    """Request token generation from engines."""

    def __init__(self, client: http.HttpClient, clock: Any = reactor) -> None:
        self._client = client
        self._clock = clock

    async def generate(
        self,
        address: str,
        request: dict[str, object],
        seconds: float,
        on_chunk: Callable[[Chunk], None],
        on_report: Callable[[load.LoadReport], None] = lambda _: None,
    ) -> None:
        """Generate tokens and pass each chunk to `on_chunk`.

        Raises NotRun if the engine rejected the request, AnswerCut if the
        stream ended or stalled before the final chunk.
        """
        try:
            response = await self._client.request(
                'POST',
                f'http://{address}/v1/generate',
                seconds=min(seconds, PROGRESS_SECONDS),
                data=msgspec.json.encode(request),
            )
        except Exception as error:
            raise errors.AnswerCut(
                f'The engine at {address} did not answer: {error!r}.'
            ) from error
        _read_report(response, on_report)
        stream = TokenStream(on_chunk, PROGRESS_SECONDS, self._clock)
        response.deliverBody(stream)
        if response.code != _OK:
            stream.finished.cancel()
            stream.finished.addErrback(lambda _: None)
            raise errors.NotRun(
                f'The engine at {address} answered status {response.code}.',
                retry_after=1.0,
            )
        try:
            await stream.finished.addTimeout(seconds, self._clock)
        except errors.YuccarillError as error:
            raise errors.AnswerCut(
                f'The stream of engine {address} failed. {error.message}'
            ) from error
        except Exception as error:
            raise errors.AnswerCut(
                f'The stream of engine {address} failed: {error!r}.'
            ) from error


def _read_report(
    response: Any, on_report: Callable[[load.LoadReport], None]
) -> None:
    header_values = response.headers.getRawHeaders(load.HEADER, [''])
    report = load.parse(header_values[0])
    if report is not None:
        on_report(report)
