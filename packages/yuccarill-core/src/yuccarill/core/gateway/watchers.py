"""Choose the instances that watch the store on behalf of all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccarill.core.gateway import candidates

if TYPE_CHECKING:
    from collections.abc import Mapping

    from yuccarill.core.ids import DataCentreId

# Tolerates the failure of one. More are costly: a watch ends with each change,
# and each watcher then makes a billed store call. Three watchers made 111
# watch calls in 34 s beside 23 engines that changed weights.
MIN_WATCHERS = 2
# Instances per additional watcher; the other instances poll the watchers.
# Fifty readers poll a watcher 80 times a second, which takes 1.5% of a core.
INSTANCES_PER_WATCHER = 50
_PURPOSE = 'watch'


def watchers(
    cores_by_instance: Mapping[str, float],
    centres_by_instance: Mapping[str, DataCentreId],
) -> tuple[str, ...]:
    """Return the instances that watch; deterministic for one membership view.

    Watchers are spread over as many data centres as possible, so that most
    instances have a local one and the loss of a data centre affects few.
    """
    ordered = candidates.ordered(cores_by_instance, _PURPOSE)
    counts_by_centre: dict[DataCentreId | None, int] = {}
    ranks_by_name = {}
    for position, name in enumerate(ordered):
        centre = centres_by_instance.get(name)
        rank_in_centre = counts_by_centre.get(centre, 0)
        counts_by_centre[centre] = rank_in_centre + 1
        ranks_by_name[name] = (rank_in_centre, position)
    count = MIN_WATCHERS + len(ordered) // INSTANCES_PER_WATCHER
    return tuple(sorted(ordered, key=ranks_by_name.__getitem__)[:count])
