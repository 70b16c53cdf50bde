"""Follow requests for weight versions and for retirements of instances."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from yuccarill.core import errors
from yuccarill.daemon.gateway.store import follower
from yuccarill.daemon.gateway.weights import retirement
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import operators
from yuccarill.platform import store as store_module

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.ids import ModelName
    from yuccarill.core.ids import WeightVersion
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal
    from yuccarill.platform.store import Store

log = logs.for_part('operators')


class EngineRequests:
    """Track the versions that trainers request and confirm retirements.

    Only a duty holder follows these entries, to save the cost of a watch per
    instance for versions that change every few seconds.
    """

    def __init__(
        self, store: Store, on_change: Callable[[], None], clock: Any
    ) -> None:
        self.versions_by_model: dict[ModelName, WeightVersion] = {}
        self._on_change = on_change
        self._retirement = retirement.Retirement(store, clock)
        self._followers = [
            follower.PrefixFollower(store, prefix, on_entry, clock)
            for prefix, on_entry in (
                (keys.VERSION_PREFIX, self._handle_version),
                (keys.RETIRE_PREFIX, self._handle_retirement),
            )
        ]

    def follow_coroutines(self) -> list[Awaitable[None]]:
        """Return the coroutines that run until the duty is lost."""
        return [each.follow() for each in self._followers]

    def refresh(self) -> None:
        """Read all entries again after an outage of the store."""
        for each in self._followers:
            each.refresh()

    def _handle_version(self, entry: Entry | Removal) -> None:
        if isinstance(entry, store_module.Removal):
            return
        try:
            model, version = operators.decode_model_version(entry.value)
        except errors.InventoryInvalid as error:
            log.error('Entry left out.', key=entry.key, cause=error.message)
            return
        known = self.versions_by_model.get(model)
        if known is None or version > known:
            self.versions_by_model[model] = version
            log.info(
                'Weight version requested.',
                model=model,
                version=version,
                revision=entry.revision,
            )
            self._on_change()

    def _handle_retirement(self, entry: Entry | Removal) -> None:
        instance = keys.retiring_instance(entry.key)
        is_requested = not isinstance(entry, store_module.Removal)
        if is_requested and instance is not None:
            self._retirement.confirm(instance)
