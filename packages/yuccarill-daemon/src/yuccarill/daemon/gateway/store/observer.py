"""Apply changes in the store to the state of this process."""

from __future__ import annotations

import traceback
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from yuccarill.core import decoding
from yuccarill.core import errors
from yuccarill.core.gateway.leadership import LastHolder
from yuccarill.core.gateway import partitions
from yuccarill.core.ids import ContentDigest
from yuccarill.core.ids import InstanceId
from yuccarill.core.ids import ServiceName
from yuccarill.daemon.gateway import meters
from yuccarill.daemon.gateway import state as state_module
from yuccarill.daemon.gateway.store import follower
from yuccarill.daemon import logs
from yuccarill.platform import keys
from yuccarill.platform import operators
from yuccarill.platform import store as store_module
from yuccarill.platform import targets

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from yuccarill.core.gateway.targets import ListedTarget
    from yuccarill.daemon.gateway.state import GatewayState
    from yuccarill.daemon.gateway.store.follower import Source
    from yuccarill.platform.store import Entry
    from yuccarill.platform.store import Removal

log = logs.for_part('observer')

# Seconds between a change and the next watch, to batch changes: each answered
# watch is billed. Configurations and leaving targets must be known in 2 s.
SETTLE_SECONDS = 0.3
# Longer for targets: most changes report engines that switch weights, and the
# holder of the engine's service learns of a switch directly.
TARGET_SETTLE_SECONDS = 0.9
# Maximum number of remembered instances that are no longer listed.
MAX_GONE_INSTANCES = 512


class Observer:
    """Keep the parts of the state that come from the store up to date."""

    def __init__(
        self,
        state: GatewayState,
        make_source: Callable[[], Source],
        clock: Any,
    ) -> None:
        self._state = state
        self._listeners: list[Callable[[], None]] = []
        # Called with the previous entry of a target whose process restarted.
        self.on_restart: Callable[[ListedTarget], None] = lambda target: None
        # Called with each target whose process is new.
        self.on_start: Callable[[ListedTarget], None] = lambda target: None
        self.followers_by_prefix = {
            prefix: follower.PrefixFollower(
                make_source(), prefix, on_change, clock, self._on_read, settle
            )
            for prefix, on_change, settle in (
                (keys.CONFIGURATION, self._on_configuration, SETTLE_SECONDS),
                (keys.TARGET_PREFIX, self._on_target, TARGET_SETTLE_SECONDS),
                (keys.FLEET_PREFIX, self._on_fleet_change, SETTLE_SECONDS),
            )
        }

    def follow_coroutines(self) -> list[Awaitable[None]]:
        """Return the coroutines that follow the store until cancelled."""
        return [each.follow() for each in self.followers_by_prefix.values()]

    def max_age(self) -> float:
        """Return the largest age of any prefix's copy in seconds."""
        return max(each.age() for each in self.followers_by_prefix.values())

    def min_age(self) -> float:
        """Return the smallest age of any prefix's copy in seconds."""
        return min(each.age() for each in self.followers_by_prefix.values())

    def refresh(self) -> None:
        """Read every prefix again that is followed at the store itself."""
        for each in self.followers_by_prefix.values():
            each.refresh()

    def apply_configuration(self, entry: Entry) -> None:
        """Apply a configuration entry that was read outside the follower."""
        self.followers_by_prefix[keys.CONFIGURATION].apply(entry)

    def configuration_age(self) -> float:
        """Return the age of the configuration's copy in seconds."""
        return self.followers_by_prefix[keys.CONFIGURATION].age()

    def add_listener(self, on_change: Callable[[], None]) -> None:
        """Call a function after each batch of changes."""
        self._listeners.append(on_change)

    def _on_configuration(self, entry: Entry | Removal) -> None:
        if isinstance(entry, store_module.Removal):
            return
        try:
            decoded = operators.configuration(entry.value)
        except errors.InventoryInvalid as error:
            # Keep the previous configuration: an invalid document must not
            # remove routes.
            log.error(
                'Invalid store entry ignored.',
                key=entry.key,
                cause=error.message,
            )
            return
        for fault in decoded.faults:
            log.error(
                'Invalid part of the configuration ignored.',
                key=entry.key,
                cause=fault,
            )
        known = self._state.route_table
        # An older version after a newer one is a fault; applying it would
        # restore removed routes.
        if known is not None and decoded.table.version <= known.version:
            return
        accounts = decoded.table.accounts
        before = None if known is None else known.accounts
        if accounts is not None and before is not None:
            accounts.record_removed_keys(before)
        self._state.route_table = decoded.table
        log.info(
            'Configuration applied.',
            version=decoded.table.version,
            revision=entry.revision,
            routes=len(decoded.table.routes_by_name),
            keys=None if accounts is None else len(accounts),
        )

    def _on_target(self, change: Entry | Removal) -> None:
        target_id = keys.target_of(change.key)
        if isinstance(change, store_module.Removal):
            self._state.targets.remove(target_id)
            log.info('Target no longer listed.', target=target_id)
            return
        try:
            target = targets.listed_target(target_id, change.value)
        except errors.InventoryInvalid as error:
            # The previous entry was overwritten, so its address is no longer
            # reliable.
            self._state.targets.remove(target_id)
            meters.INVALID_ENTRIES.inc()
            log.error(
                'Target with an invalid store entry removed.',
                key=change.key,
                revision=change.revision,
                cause=error.message,
            )
            return
        known = self._state.targets.targets_by_id.get(target_id)
        self._state.targets.put(target)
        is_restarted = known is not None and not known.is_same_start(target)
        if known is not None and is_restarted:
            self.on_restart(known)
        if known is None or is_restarted:
            self.on_start(target)
        if (
            known is None
            or is_restarted
            or known.is_leaving != target.is_leaving
        ):
            log.info(
                'Target listed.',
                target=target_id,
                service=target.service,
                start=target.start.started_at,
                is_restarted=is_restarted,
                is_leaving=target.is_leaving,
                revision=change.revision,
            )

    def _on_fleet_change(self, change: Entry | Removal) -> None:
        try:
            self._update_fleet(change)
        except msgspec.MsgspecError as error:
            log.error(
                'Invalid store entry ignored.',
                key=change.key,
                cause=str(error),
            )

    def _update_fleet(self, change: Entry | Removal) -> None:
        key = change.key
        state = self._state
        if key.startswith(keys.INSTANCE_PREFIX):
            instance = InstanceId(key[len(keys.INSTANCE_PREFIX) :])
            if isinstance(change, store_module.Removal):
                gone = state.instances_by_id.pop(instance, None)
                if gone is not None:
                    _remember_gone(
                        state.recent_instances_by_id, instance, gone
                    )
                log.info('Instance no longer listed.', instance=instance)
                return
            state.instances_by_id[instance] = decoding.from_msgpack(
                change.value, state_module.InstanceRecord
            )
        elif key.startswith(keys.DUTY_PREFIX):
            service = ServiceName(key[len(keys.DUTY_PREFIX) :])
            if isinstance(change, store_module.Removal):
                state.duties_by_service.pop(service, None)
                log.info('Service has no holder.', service=service)
                return
            duty = decoding.from_msgpack(change.value, state_module.DutyRecord)
            state.duties_by_service[service] = msgspec.structs.replace(
                duty, revision=change.revision
            )
        elif key.startswith(keys.LAST_HOLDER_PREFIX):
            service = ServiceName(key[len(keys.LAST_HOLDER_PREFIX) :])
            if not isinstance(change, store_module.Removal):
                record = decoding.from_msgpack(change.value, LastHolder)
                state.last_holders_by_service[service] = (
                    msgspec.structs.replace(record, revision=change.revision)
                )

        elif key.startswith(keys.PARTITION_PREFIX):
            service = ServiceName(key[len(keys.PARTITION_PREFIX) :])
            if not isinstance(change, store_module.Removal):
                state.divisions_by_service[service] = partitions.decode(
                    change.value
                )
        elif key.startswith(keys.QUARANTINE_PREFIX):
            content = ContentDigest(key[len(keys.QUARANTINE_PREFIX) :])
            if isinstance(change, store_module.Removal):
                state.quarantined_by_content.pop(content, None)
                return
            state.quarantined_by_content[content] = decoding.from_msgpack(
                change.value, state_module.QuarantineRecord
            )

    def _on_read(self) -> None:
        if not self._state.is_current:
            self._state.is_current = all(
                each.is_current for each in self.followers_by_prefix.values()
            )
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener()
            except Exception:
                # The other listeners must learn of the changes as well.
                log.error(
                    'Listener to the store failed.',
                    cause=traceback.format_exc(),
                )


def _remember_gone(
    known: dict[InstanceId, state_module.InstanceRecord],
    instance: InstanceId,
    record: state_module.InstanceRecord,
) -> None:
    known[instance] = record
    while len(known) > MAX_GONE_INSTANCES:
        del known[next(iter(known))]
