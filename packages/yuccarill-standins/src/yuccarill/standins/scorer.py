"""Stand in for a scoring service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import klein

from yuccarill.standins import server

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

SCORE_STEPS = 1000


class ScorerStandIn:
    """Score a sample by its tokens alone."""

    app = klein.Klein()

    @app.route('/v1/score', methods=['POST'])
    def score(self, request: IRequest) -> bytes:
        asked = server.read_json(request)
        score = sum(asked['tokens']) % SCORE_STEPS / SCORE_STEPS
        return server.reply_json(
            request, {'sample_id': asked['sample_id'], 'score': score}
        )
