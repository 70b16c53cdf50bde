"""Identifiers and instants used by every part."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType('InstanceId', str)
# One start of an instance; a restart under the same id is another one.
Incarnation = NewType('Incarnation', str)
DataCentreId = NewType('DataCentreId', str)
AccountName = NewType('AccountName', str)
# What a client account's key is known by.
KeyDigest = NewType('KeyDigest', bytes)
CallerId = NewType('CallerId', str)
TargetId = NewType('TargetId', str)
ServiceName = NewType('ServiceName', str)
ModelName = NewType('ModelName', str)
TrainerId = NewType('TrainerId', str)
ScorerId = NewType('ScorerId', str)
StepNumber = NewType('StepNumber', int)
GroupNumber = NewType('GroupNumber', int)
SampleId = NewType('SampleId', str)
RequestId = NewType('RequestId', str)
# What a request asks, the same for each of its repeats.
ContentDigest = NewType('ContentDigest', str)
ChangeId = NewType('ChangeId', str)
ShardNumber = NewType('ShardNumber', int)
# Grows at each change of a shard's holder; the fencing number of its orders.
Epoch = NewType('Epoch', int)
# One span of an incarnation's leases; a session that ended never returns.
SessionId = NewType('SessionId', str)
# A span of time that usage is reported for.
WindowNumber = NewType('WindowNumber', int)
Revision = NewType('Revision', int)
WeightVersion = NewType('WeightVersion', int)
# Seconds on a monotonic clock of this process.
Instant = NewType('Instant', float)
# Seconds since the epoch, on the wall clock, as shown to people and peers.
WallTime = NewType('WallTime', float)
