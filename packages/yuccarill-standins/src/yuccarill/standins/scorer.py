"""Stand-in for a scoring service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import klein
import msgspec

from yuccarill.standins import faults
from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

SCORE_LEVELS = 1000


class ScorerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults and delays of a scorer."""

    seconds_per_call: float = 0.0
    # Number of next calls that are answered with status 500.
    fail_calls: int = 0
    # Number of next replies that are sent twice on their connection.
    answer_twice: int = 0
    # Number of next replies that name another sample.
    answer_another: int = 0


class ScorerStandIn:
    """Score samples by their tokens only."""

    app = klein.Klein()

    def __init__(self) -> None:
        self._faults = faults.FaultControl(ScorerFaults())
        self._scored_ids: list[str] = []

    @app.route('/admin/faults', methods=['GET', 'PUT'])
    def configure_faults(self, request: IRequest) -> bytes:
        return self._faults.handle_request(request)

    @app.route('/admin/scored', methods=['GET'])
    def show_scored(self, request: IRequest) -> bytes:
        return server.reply_json(request, self._scored_ids)

    @app.route('/v1/score', methods=['POST'])
    async def score(self, request: IRequest) -> bytes:
        payload = server.read_json(request)
        await server.sleep(self._faults.current.seconds_per_call)
        if self._faults.consume('fail_calls'):
            return server.reply_json(request, {'error': 'ordered'}, 500)
        sample_id = payload['sample_id']
        self._scored_ids.append(sample_id)
        if self._faults.consume('answer_another'):
            sample_id = f'{sample_id}/another'
        reply = server.reply_json(
            request,
            {'sample_id': sample_id, 'score': score_of(payload['tokens'])},
        )
        if self._faults.consume('answer_twice'):
            _send_duplicate(request, reply)
        return reply


def score_of(tokens: list[int]) -> float:
    """Return the score of a sample with these tokens."""
    return sum(tokens) % SCORE_LEVELS / SCORE_LEVELS


def _send_duplicate(request: IRequest, reply: bytes) -> None:
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n\r\n'
    transport = request.channel.transport
    done = request.notifyFinish()
    done.addCallback(lambda _: transport.write(head.encode() + reply))
    done.addErrback(lambda _: None)
