"""Types of identifiers, counters and points in time."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType('InstanceId', str)
# Identifies one run of an instance; each restart gets a new incarnation.
Incarnation = NewType('Incarnation', str)
DataCentreId = NewType('DataCentreId', str)
AccountName = NewType('AccountName', str)
# Digest of a client account's API key.
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
# Digest of the content of a request, the same for each of its retries.
ContentDigest = NewType('ContentDigest', str)
ChangeId = NewType('ChangeId', str)
ShardNumber = NewType('ShardNumber', int)
# Fencing token of a shard's lease; increases with each change of holder.
Epoch = NewType('Epoch', int)
# Session that an incarnation's leases belong to; never reused once ended.
SessionId = NewType('SessionId', str)
# Number of the time window that a usage report covers.
WindowNumber = NewType('WindowNumber', int)
Revision = NewType('Revision', int)
WeightVersion = NewType('WeightVersion', int)
# Seconds on the monotonic clock of this process.
Instant = NewType('Instant', float)
# Seconds since the Unix epoch, comparable between instances.
WallTime = NewType('WallTime', float)
