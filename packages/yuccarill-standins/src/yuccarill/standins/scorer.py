"""Stand in for a scoring service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.standins import faults
from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

SCORE_STEPS = 1000


class ScorerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Name the faults of a scorer."""

    seconds_per_call: float = 0.0
    # The next calls are answered with status 500.
    fail_calls: int = 0
    # The next replies are sent twice on their connection.
    answer_twice: int = 0
    # The next replies carry the score of another sample.
    answer_another: int = 0


class ScorerStandIn:
    """Score a sample by its tokens alone."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultSwitch(ScorerFaults())
        self._scored_ids: list[str] = []

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def order_faults(self, request: IRequest) -> bytes:
        return self._faults.answer(request)

    @app.route('/admin/scored', methods=['GET'])
    def show_scored(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._scored_ids)

    @app.route('/v1/score', methods=['POST'])
    async def score(self, request: IRequest) -> bytes:
        asked = server.read_json(request)
        await server.sleep(self._faults.now.seconds_per_call)
        if self._faults.take('fail_calls'):
            return server.reply_json(request, {'error': 'ordered'}, 500)
        sample_id = asked['sample_id']
        self._scored_ids.append(sample_id)
        if self._faults.take('answer_another'):
            sample_id = f'{sample_id}/another'
        reply = server.reply_json(
            request,
            {'sample_id': sample_id, 'score': score_of(asked['tokens'])},
        )
        if self._faults.take('answer_twice'):
            _send_again(request, reply)
        return reply


def score_of(tokens: list[int]) -> float:
    """Return the score that these tokens get."""
    return sum(tokens) % SCORE_STEPS / SCORE_STEPS


def _send_again(request: IRequest, reply: bytes) -> None:
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n'
    transport = request.channel.transport
    done = request.notifyFinish()
    done.addCallback(lambda _: transport.write(head.encode() + reply))
    done.addErrback(lambda _: None)
