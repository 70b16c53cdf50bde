"""Decide which instances watch the store for the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.gateway import candidates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId

# Each change of an engine's weights ends the watch of every watcher, and
# each end is a paid call: three watchers made 111 of them in 34 s beside 23
# engines, by a log of each call. Two at least, so that one may fail.
MIN_WATCHERS = 2
# One more for so many instances. Some fifty readers ask a watcher 80 times a
# second, 1.5% of a core at 0.19 ms each (tools/measure_gateway.py).
INSTANCES_PER_WATCHER = 50
_PURPOSE = 'watch'


def watchers(
    cores_by_instance: Mapping[str, float],
    centres_by_instance: Mapping[str, DataCentreId],
) -> tuple[str, ...]:
    """Return the instances that watch, the same ones to everybody.

    They stand in as many data centres as there are watchers: the others
    then find one in their own, and the loss of one costs few of them.
    """
    ordered = candidates.ordered(cores_by_instance, _PURPOSE)
    before_by_centre: dict[DataCentreId | None, int] = {}
    ranks = {}
    for position, name in enumerate(ordered):
        centre = centres_by_instance.get(name)
        before = before_by_centre.get(centre, 0)
        before_by_centre[centre] = before + 1
        ranks[name] = (before, position)
    count = MIN_WATCHERS + len(ordered) // INSTANCES_PER_WATCHER
    return tuple(sorted(ordered, key=ranks.__getitem__)[:count])
