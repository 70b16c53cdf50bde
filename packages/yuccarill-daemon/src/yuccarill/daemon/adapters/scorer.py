"""Client of scoring services."""

from __future__ import annotations

import msgspec

from yuccarill.core import errors
from yuccarill.core.rollouts.sample import Sample
from yuccarill.daemon.adapters import http

CALL_SECONDS = 5.0


class ScorerAdapter:
    """Request scores of samples."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def score(self, address: str, sample: Sample) -> float:
        """Return a sample's score.

        Raises AnswerCut.
        """
        tokens = [token for span in sample.spans for token in span.tokens]
        try:
            response = await self._client.request(
                'POST',
                f'http://{address}/v1/score',
                seconds=CALL_SECONDS,
                data=msgspec.json.encode(
                    {'sample_id': sample.id, 'tokens': tokens}
                ),
            )
            content = await http.body(response, CALL_SECONDS)
            reply = msgspec.json.decode(content)
            # Guard against using the score of another sample.
            if reply['sample_id'] != sample.id:
                raise ValueError('the reply is for another sample')
            return float(reply['score'])
        except Exception as error:
            raise errors.AnswerCut(
                f'The scorer at {address} failed: {http.cause(error)}.'
            ) from error
