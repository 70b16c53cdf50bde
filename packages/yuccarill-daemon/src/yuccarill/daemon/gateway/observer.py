"""Turn changes in the store into what this process knows."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import errors
from yuccarill.core.gateway.leadership import LastHolder
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.gateway import follower
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import operators
from yuccarill.platform import store as store_module
from yuccarill.platform import targets

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal
    from yuccarill.platform.store import Store

log = logs.for_part('observer')


class Observer:
    """Keep the state's sections that come from the store."""

    def __init__(self, state: GatewayState, store: Store, clock: Any) -> None:
        self._state = state
        self._listeners: list[Callable[[], None]] = []
        self.retiring: set[InstanceId] = set()
        self._followers = [
            follower.PrefixFollower(
                store, prefix, on_change, clock, self._read
            )
            for prefix, on_change in (
                (keys.OPERATOR_PREFIX, self._operators),
                (keys.TARGET_PREFIX, self._target),
                (keys.FLEET_PREFIX, self._fleet),
            )
        ]

    def following(self) -> list[Awaitable[None]]:
        """Return what runs until the process ends."""
        return [each.follow() for each in self._followers]

    def refresh(self) -> None:
        """Read everything again, after the store was away."""
        for each in self._followers:
            each.refresh()

    def listen(self, on_change: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(on_change)

    def _operators(self, change: Entry | Removal) -> None:
        if isinstance(change, store_module.Removal):
            return
        try:
            self._operator_entry(change)
        except errors.InventoryInvalid as error:
            # What was in force goes on: an entry that can't be read must
            # not take routes away.
            log.error('Entry left out.', key=change.key, cause=error.message)
            return
        self._tell()

    def _operator_entry(self, entry: Entry) -> None:
        if entry.key == keys.CONFIGURATION:
            self._configuration(entry)
        elif keys.model_of(entry.key) is not None:
            model, version = operators.named_version(entry.value)
            known = self._state.versions_by_model.get(model)
            if known is None or version > known:
                self._state.versions_by_model[model] = version
                log.info(
                    'Version named.',
                    model=model,
                    version=version,
                    revision=entry.revision,
                )
        else:
            instance = keys.retiring_instance(entry.key)
            if instance is not None:
                self.retiring.add(instance)
                log.info('Retirement asked.', instance=instance)

    def _configuration(self, entry: Entry) -> None:
        decoded = operators.configuration(entry.value)
        for fault in decoded.faults:
            log.error('Part left out.', key=entry.key, cause=fault)
        known = self._state.table
        # A process may see an older version after a newer one only by a
        # fault; going back would serve routes that were taken away.
        if known is not None and decoded.table.version <= known.version:
            return
        self._state.table = decoded.table
        log.info(
            'Configuration in force.',
            version=decoded.table.version,
            revision=entry.revision,
            routes=len(decoded.table.routes_by_name),
        )

    def _target(self, change: Entry | Removal) -> None:
        target_id = keys.target_of(change.key)
        if isinstance(change, store_module.Removal):
            self._state.targets.remove(target_id)
            log.info('Target gone.', target=target_id)
            self._tell()
            return
        try:
            target = targets.listed_target(target_id, change.value)
        except errors.InventoryInvalid as error:
            log.error('Entry left out.', key=change.key, cause=error.message)
            return
        known = self._state.targets.targets_by_id.get(target_id)
        self._state.targets.put(target)
        if known is None or known.is_leaving != target.is_leaving:
            log.info(
                'Target listed.',
                target=target_id,
                service=target.service,
                is_leaving=target.is_leaving,
                revision=change.revision,
            )
        self._tell()

    def _fleet(self, change: Entry | Removal) -> None:
        try:
            self._fleet_change(change)
        except msgspec.MsgspecError as error:
            log.error('Entry left out.', key=change.key, cause=str(error))
        self._tell()

    def _fleet_change(self, change: Entry | Removal) -> None:
        key = change.key
        state = self._state
        if key.startswith(keys.INSTANCE_PREFIX):
            instance = InstanceId(key[len(keys.INSTANCE_PREFIX) :])
            if isinstance(change, store_module.Removal):
                state.instances_by_id.pop(instance, None)
                log.info('Instance gone.', instance=instance)
                return
            state.instances_by_id[instance] = msgspec.msgpack.decode(
                change.value, type=state_module.InstanceRecord
            )
        elif key.startswith(keys.DUTY_PREFIX):
            service = ServiceName(key[len(keys.DUTY_PREFIX) :])
            if isinstance(change, store_module.Removal):
                state.duties_by_service.pop(service, None)
                log.info('Duty free.', service=service)
                return
            duty = msgspec.msgpack.decode(
                change.value, type=state_module.DutyRecord
            )
            state.duties_by_service[service] = msgspec.structs.replace(
                duty, revision=change.revision
            )
        elif key.startswith(keys.LAST_HOLDER_PREFIX):
            service = ServiceName(key[len(keys.LAST_HOLDER_PREFIX) :])
            if not isinstance(change, store_module.Removal):
                record = msgspec.msgpack.decode(change.value, type=LastHolder)
                state.last_holders_by_service[service] = (
                    msgspec.structs.replace(record, revision=change.revision)
                )

    def _read(self) -> None:
        if not self._state.is_current:
            self._state.is_current = all(
                each.is_current for each in self._followers
            )
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
