"""Divide an amount among those that want parts of it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.core.capacity.messages import DemandClass

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Mapping

K = TypeVar('K', bound='Hashable')

# Calls that a text needs go before callers' requests, up to a part: they may
# come some seconds later, but without any of them a whole step waits.
INTERNAL_PRIORITY = -1


def max_min(
    wanted_by_key: Mapping[K, float],
    amount: float,
    weights_by_key: Mapping[K, float] | None = None,
) -> dict[K, float]:
    """Divide an amount so that no part can grow without a smaller one.

    Nobody gets more than it wants; what one leaves goes to the others by
    their weights, 1 where none is given. Source: Bertsekas and Gallager,
    Data Networks, 1992, section 6.5.2.
    """
    weights = weights_by_key or {}
    parts = dict.fromkeys(wanted_by_key, 0.0)
    # Those that are satisfied first come first.
    by_need = sorted(
        wanted_by_key,
        key=lambda key: wanted_by_key[key] / weights.get(key, 1.0),
    )
    left = max(0.0, amount)
    weight_left = sum(weights.get(key, 1.0) for key in by_need)
    for key in by_need:
        weight = weights.get(key, 1.0)
        parts[key] = min(wanted_by_key[key], left * weight / weight_left)
        left -= parts[key]
        weight_left -= weight
    return parts


class SharePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Set how much the more urgent priorities leave to the others."""

    # Part of the capacity that the less urgent ones get at least.
    floor: float = 0.1
    # Part that calls which a text needs may take before callers' requests.
    internal_part: float = 0.2
    # Part of a class's requests that is served at least, of the part that is
    # served of its whole priority: a large account isn't starved.
    least_part: float = 0.3


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what each class gets of a capacity, in requests a second."""

    rates_by_class: dict[DemandClass, float]
    # What one account gets at most.
    levels_by_priority: dict[int, float]


def divide(
    wanted_by_class: Mapping[DemandClass, float],
    accounts_by_class: Mapping[DemandClass, int],
    capacity: float,
    policy: SharePolicy,
) -> Division:
    """Divide a capacity by priority, and within one by account."""
    wanted_by_priority: dict[int, dict[DemandClass, float]] = {}
    for demand_class, wanted in wanted_by_class.items():
        classes = wanted_by_priority.setdefault(demand_class.priority, {})
        classes[demand_class] = wanted
    amounts = by_priority(
        {p: sum(c.values()) for p, c in wanted_by_priority.items()},
        capacity,
        policy,
    )
    division = Division(rates_by_class={}, levels_by_priority={})
    for priority, wanted_here in wanted_by_priority.items():
        weights = {c: float(accounts_by_class.get(c, 1)) for c in wanted_here}
        amount = amounts[priority]
        least = policy.least_part * min(
            1.0, amount / max(sum(wanted_here.values()), 0.001)
        )
        beyond = max_min(
            {each: (1.0 - least) * wanted_here[each] for each in wanted_here},
            amount - least * sum(wanted_here.values()),
            weights,
        )
        for each, part in beyond.items():
            rate = least * wanted_here[each] + part
            division.rates_by_class[each] = rate
        division.levels_by_priority[priority] = max(
            beyond[each] / weights[each] for each in beyond
        )
    return division


def by_priority(
    wanted_by_priority: Mapping[int, float],
    capacity: float,
    policy: SharePolicy,
) -> dict[int, float]:
    """Give the more urgent first, and leave the others a floor."""
    amounts: dict[int, float] = {}
    left = max(0.0, capacity)
    later = sum(wanted_by_priority.values())
    for priority in sorted(wanted_by_priority):
        wanted = wanted_by_priority[priority]
        later -= wanted
        kept = policy.floor
        if priority == INTERNAL_PRIORITY:
            kept = 1.0 - policy.internal_part
        floor = min(max(0.0, later), kept * left)
        amounts[priority] = min(wanted, left - floor)
        left -= amounts[priority]
    return amounts
