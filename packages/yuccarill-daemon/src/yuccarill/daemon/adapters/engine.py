"""Reach model engines over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import treq

from yuccarill.core import errors
from yuccarill.core.ids import WeightVersion
from yuccarill.daemon.adapters import http

if TYPE_CHECKING:
    from collections.abc import Callable

# An engine's step takes under a second; a stream that makes no progress
# for this long is silent.
PROGRESS_SECONDS = 5.0


class Chunk(msgspec.Struct, frozen=True):
    """Hold tokens and the weight version that the engine reports."""

    weight_version: WeightVersion | None = None
    tokens: tuple[int, ...] = ()
    done: bool = False


class EngineAdapter:
    """Generate tokens on engines."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client
        self._decoder = msgspec.json.Decoder(Chunk)

    async def generate(
        self,
        address: str,
        request: dict[str, object],
        seconds: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation's chunks.

        Raises AnswerCut if the stream ended before the engine said done.
        """
        is_done = False
        rest = b''

        def take(data: bytes) -> None:
            nonlocal is_done, rest
            *lines, rest = (rest + data).split(b'\n')
            for line in lines:
                chunk = self._decoder.decode(line)
                is_done = is_done or chunk.done
                if chunk.tokens:
                    on_chunk(chunk)

        try:
            response = await self._client.request(
                'POST',
                f'http://{address}/v1/generate',
                seconds=PROGRESS_SECONDS,
                data=msgspec.json.encode(request),
            )
            if response.code == 200:
                await http.with_timeout(treq.collect(response, take), seconds)
        except Exception as error:
            raise errors.AnswerCut(
                f'The engine at {address} broke off: {error}.'
            ) from error
        if not is_done:
            raise errors.AnswerCut(f'The engine at {address} broke off.')
