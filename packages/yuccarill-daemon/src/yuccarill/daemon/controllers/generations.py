"""Stream model calls from engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.calls import router
from yuccarill.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccarill.core.blackboard import Blackboard
    from yuccarill.core.ids import ModelName
    from yuccarill.daemon.adapters.engine import Chunk
    from yuccarill.daemon.adapters.engine import EngineAdapter


class GenerationController:
    """Generate tokens on the engines of a model."""

    def __init__(self, blackboard: Blackboard, engines: EngineAdapter) -> None:
        self._blackboard = blackboard
        self._engines = engines

    async def generate(
        self,
        model: ModelName,
        request: dict[str, object],
        seconds: float,
        on_chunk: Callable[[Chunk], None],
    ) -> None:
        """Stream one generation from an engine."""
        head = self._blackboard.head
        if head is None:
            raise errors.NoConfiguration(
                'No configuration is known yet; try again.', retry_after=1.0
            )
        engine = router.choose(
            head.engines_by_model.get(model, ()),
            self._blackboard.in_flight_by_id,
            self._blackboard.me.data_centre,
        )
        if engine is None:
            raise errors.UnknownService(f'No engine runs model {model}.')
        in_flight = self._blackboard.in_flight_by_id
        in_flight[engine.id] += 1
        try:
            await self._engines.generate(
                engine.address, request, seconds, on_chunk
            )
        finally:
            in_flight[engine.id] -= 1
