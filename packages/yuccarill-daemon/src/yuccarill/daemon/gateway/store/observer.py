"""Turn changes in the store into what this process knows."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

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

# Seconds before a watch is sent again after a change. Changes come in
# groups, and each return to each instance is paid for. A configuration and
# a target that leaves have to be known after 2 s.
SETTLE_SECONDS = 0.3
# Engines' entries change with each switch of their weights, of which only
# the holder of their duty needs to know, and learns by itself.
TARGET_SETTLE_SECONDS = 0.9
# Instances that are remembered though their entry is gone: a whole fleet of
# two years' size.
MAX_GONE = 512


class Observer:
    """Keep the state's sections that come from the store."""

    def __init__(
        self,
        state: GatewayState,
        sources: Callable[[], Source],
        clock: Any,
    ) -> None:
        self._state = state
        self._listeners: list[Callable[[], None]] = []
        # Called with the process that ended where one started again.
        self.on_restart: Callable[[ListedTarget], None] = lambda target: None
        # Called with each process that was not listed before.
        self.on_start: Callable[[ListedTarget], None] = lambda target: None
        self.followers_by_prefix = {
            prefix: follower.PrefixFollower(
                sources(), prefix, on_change, clock, self._read, settle
            )
            for prefix, on_change, settle in (
                (keys.CONFIGURATION, self._configuration, SETTLE_SECONDS),
                (keys.TARGET_PREFIX, self._target, TARGET_SETTLE_SECONDS),
                (keys.FLEET_PREFIX, self._fleet, SETTLE_SECONDS),
            )
        }

    def following(self) -> list[Awaitable[None]]:
        """Return what runs until the process ends."""
        return [each.follow() for each in self.followers_by_prefix.values()]

    def age(self) -> float:
        """Return the seconds since the store was last heard."""
        return max(each.age() for each in self.followers_by_prefix.values())

    def least_age(self) -> float:
        """Return the seconds since any word of the store came."""
        return min(each.age() for each in self.followers_by_prefix.values())

    def refresh(self) -> None:
        """Read everything again, after the store was away."""
        for each in self.followers_by_prefix.values():
            each.refresh()

    def learn_configuration(self, entry: Entry) -> None:
        """Take the configuration as somebody read it at the store."""
        self.followers_by_prefix[keys.CONFIGURATION].learn(entry)

    def configuration_age(self) -> float:
        """Return the seconds since the configuration was last heard of."""
        return self.followers_by_prefix[keys.CONFIGURATION].age()

    def listen(self, on_change: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(on_change)

    def _configuration(self, entry: Entry | Removal) -> None:
        if isinstance(entry, store_module.Removal):
            return
        try:
            decoded = operators.configuration(entry.value)
        except errors.InventoryInvalid as error:
            # What was in force goes on: a document that can't be read must
            # not take routes away.
            log.error('Entry left out.', key=entry.key, cause=error.message)
            return
        for fault in decoded.faults:
            log.error('Part left out.', key=entry.key, cause=fault)
        known = self._state.table
        # A process may see an older version after a newer one only by a
        # fault; going back would serve routes that were taken away.
        if known is not None and decoded.table.version <= known.version:
            return
        accounts = decoded.table.accounts
        before = None if known is None else known.accounts
        if accounts is not None and before is not None:
            accounts.record_removed_keys(before)
        self._state.table = decoded.table
        log.info(
            'Configuration in force.',
            version=decoded.table.version,
            revision=entry.revision,
            routes=len(decoded.table.routes_by_name),
            keys=None if accounts is None else len(accounts),
        )

    def _target(self, change: Entry | Removal) -> None:
        target_id = keys.target_of(change.key)
        if isinstance(change, store_module.Removal):
            self._state.targets.remove(target_id)
            log.info('Target gone.', target=target_id)
            return
        try:
            target = targets.listed_target(target_id, change.value)
        except errors.InventoryInvalid as error:
            # The entry before is no reason to go on with its target: what
            # stands there now says nothing of where it is, or whether.
            self._state.targets.remove(target_id)
            meters.ENTRIES_LEFT_OUT.inc()
            log.error(
                'Entry left out.',
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

    def _fleet(self, change: Entry | Removal) -> None:
        try:
            self._fleet_change(change)
        except msgspec.MsgspecError as error:
            log.error('Entry left out.', key=change.key, cause=str(error))

    def _fleet_change(self, change: Entry | Removal) -> None:
        key = change.key
        state = self._state
        if key.startswith(keys.INSTANCE_PREFIX):
            instance = InstanceId(key[len(keys.INSTANCE_PREFIX) :])
            if isinstance(change, store_module.Removal):
                gone = state.instances_by_id.pop(instance, None)
                if gone is not None:
                    _remember(state.known_instances_by_id, instance, gone)
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
            state.quarantined_by_content[content] = msgspec.msgpack.decode(
                change.value, type=state_module.QuarantineRecord
            )

    def _read(self) -> None:
        if not self._state.is_current:
            self._state.is_current = all(
                each.is_current for each in self.followers_by_prefix.values()
            )
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()


def _remember(
    known: dict[InstanceId, state_module.InstanceRecord],
    instance: InstanceId,
    record: state_module.InstanceRecord,
) -> None:
    known[instance] = record
    while len(known) > MAX_GONE:
        del known[next(iter(known))]
