"""Divide capacity by priority and max-min fairness."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from yuccarill.core.capacity.messages import DemandClass

if TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Mapping

K = TypeVar('K', bound='Hashable')

# Priority of calls that text generation depends on, served before callers'
# requests up to a fixed part: a generation step waits for all of its calls.
INTERNAL_PRIORITY = -1


def max_min(
    wanted_by_key: Mapping[K, float],
    amount: float,
    weights_by_key: Mapping[K, float] | None = None,
) -> dict[K, float]:
    """Divide an amount by weighted max-min fairness.

    No key gets more than it wants; the surplus goes to the other keys by
    weight, by default 1. Source: Bertsekas and Gallager,
    Data Networks, 1992, section 6.5.2.
    """
    weights = weights_by_key or {}
    parts = dict.fromkeys(wanted_by_key, 0.0)
    # Keys with the smallest demand per weight are satisfied first.
    sorted_keys = sorted(
        wanted_by_key,
        key=lambda key: wanted_by_key[key] / weights.get(key, 1.0),
    )
    left = max(0.0, amount)
    weight_left = sum(weights.get(key, 1.0) for key in sorted_keys)
    for key in sorted_keys:
        weight = weights.get(key, 1.0)
        parts[key] = min(wanted_by_key[key], left * weight / weight_left)
        left -= parts[key]
        weight_left -= weight
    return parts


class SharePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the division among priorities and accounts."""

    # Minimum fraction of the capacity for less urgent priorities.
    floor: float = 0.1
    # Maximum fraction that internal calls take before callers' requests.
    internal_part: float = 0.2
    # Minimum ratio of the served fraction of a class to that of its priority;
    # prevents starvation of a large account.
    least_part: float = 0.3


class Division(msgspec.Struct, frozen=True, kw_only=True):
    """Store the rate of each class, in requests a second."""

    rates_by_class: dict[DemandClass, float]
    # Maximum rate of one account.
    levels_by_priority: dict[int, float]


def divide(
    wanted_by_class: Mapping[DemandClass, float],
    accounts_by_class: Mapping[DemandClass, int],
    capacity: float,
    policy: SharePolicy,
) -> Division:
    """Divide a capacity by priority, and each priority's part by account."""
    wanted_by_priority: dict[int, dict[DemandClass, float]] = {}
    for demand_class, wanted in wanted_by_class.items():
        classes = wanted_by_priority.setdefault(demand_class.priority, {})
        classes[demand_class] = wanted
    amounts = divide_by_priority(
        {p: sum(c.values()) for p, c in wanted_by_priority.items()},
        capacity,
        policy,
    )
    division = Division(rates_by_class={}, levels_by_priority={})
    for priority, demands in wanted_by_priority.items():
        weights = {c: float(accounts_by_class.get(c, 1)) for c in demands}
        amount = amounts[priority]
        min_part = policy.least_part * min(
            1.0, amount / max(sum(demands.values()), 0.001)
        )
        extra_by_class = max_min(
            {each: (1.0 - min_part) * demands[each] for each in demands},
            amount - min_part * sum(demands.values()),
            weights,
        )
        for each, part in extra_by_class.items():
            rate = min_part * demands[each] + part
            division.rates_by_class[each] = rate
        division.levels_by_priority[priority] = max(
            extra_by_class[each] / weights[each] for each in extra_by_class
        )
    return division


def divide_by_priority(
    wanted_by_priority: Mapping[int, float],
    capacity: float,
    policy: SharePolicy,
) -> dict[int, float]:
    """Serve urgent priorities first, leaving a floor to the others."""
    amounts: dict[int, float] = {}
    left = max(0.0, capacity)
    less_urgent = sum(wanted_by_priority.values())
    for priority in sorted(wanted_by_priority):
        wanted = wanted_by_priority[priority]
        less_urgent -= wanted
        reserved_part = policy.floor
        if priority == INTERNAL_PRIORITY:
            reserved_part = 1.0 - policy.internal_part
        floor = min(max(0.0, less_urgent), reserved_part * left)
        amounts[priority] = min(wanted, left - floor)
        left -= amounts[priority]
    return amounts
