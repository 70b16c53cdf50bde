"""Follow what trainers and operators ask of engines and disk instances."""

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
    """Know the versions that trainers named; answer retirements.

    Only the holder of a duty follows these: with a version named every few
    seconds by each trainer, a watch in each instance would be paid for at
    each of them.
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
                (keys.VERSION_PREFIX, self._version),
                (keys.RETIRE_PREFIX, self._retire),
            )
        ]

    def following(self) -> list[Awaitable[None]]:
        """Return what runs until the duty is lost."""
        return [each.follow() for each in self._followers]

    def refresh(self) -> None:
        """Read everything again, after the store was away."""
        for each in self._followers:
            each.refresh()

    def _version(self, entry: Entry | Removal) -> None:
        if isinstance(entry, store_module.Removal):
            return
        try:
            model, version = operators.named_version(entry.value)
        except errors.InventoryInvalid as error:
            log.error('Entry left out.', key=entry.key, cause=error.message)
            return
        known = self.versions_by_model.get(model)
        if known is None or version > known:
            self.versions_by_model[model] = version
            log.info(
                'Version named.',
                model=model,
                version=version,
                revision=entry.revision,
            )
            self._on_change()

    def _retire(self, entry: Entry | Removal) -> None:
        instance = keys.retiring_instance(entry.key)
        is_asked = not isinstance(entry, store_module.Removal)
        if is_asked and instance is not None:
            self._retirement.answer(instance)
