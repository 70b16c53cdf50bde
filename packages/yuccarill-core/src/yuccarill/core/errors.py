"""Exceptions with result codes; docs/result-codes.md quotes docstrings."""

from __future__ import annotations

import enum
import functools


class ResultCode(enum.IntEnum):
    """Identify each outcome that callers and operators see."""

    OK = 0
    BAD_REQUEST = 1001
    BODY_TOO_LONG = 1002
    UNKNOWN_SERVICE = 1003
    UNKNOWN_TRAINER = 1004
    UNKNOWN_STEP = 1005
    UNKNOWN_CODE = 1006
    UNKNOWN_PATH = 1007
    WRONG_METHOD = 1008
    BODY_TOO_SLOW = 1009
    TICKET_INVALID = 1101
    TICKET_EXPIRED = 1102
    KEY_MISSING = 1103
    KEY_UNKNOWN = 1104
    NOT_RUN = 1201
    OVERLOADED = 1202
    DEADLINE_PASSED = 1203
    NO_TARGET = 1204
    REQUEST_QUARANTINED = 1205
    OUTCOME_UNKNOWN = 1301
    ANSWER_CUT = 1302
    INVENTORY_INVALID = 2001
    REVISION_CONFLICT = 2002
    NO_CONFIGURATION = 2003
    APPLY_OUTCOME_UNKNOWN = 2004
    STORE_UNAVAILABLE = 3001
    STORE_CONFLICT = 3002
    PEER_UNAVAILABLE = 3101
    FRAME_INVALID = 3102
    DISK_FULL = 3201
    STEP_CONFLICT = 4001
    STEP_PENDING = 4002
    GROUP_FAILED = 4003
    STEP_CLOSED = 4004
    SAMPLES_LOST = 4005
    CLAIM_LOST = 4006
    SETTINGS_INVALID = 5001
    INTERNAL = 9001


class YuccarillError(Exception):
    """Report an internal error; base class of errors with a result code."""

    code = ResultCode.INTERNAL
    http_status = 500
    # True if no byte of the request can have reached a target.
    not_run = False

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        # Seconds to wait before a retry.
        self.retry_after = retry_after


class RequestError(YuccarillError):
    """Refuse an invalid request."""

    code = ResultCode.BAD_REQUEST
    http_status = 400
    not_run = True


class BodyTooLong(RequestError):
    """Refuse a body that is longer than this interface accepts."""

    code = ResultCode.BODY_TOO_LONG
    http_status = 413


class BodyTooSlow(RequestError):
    """Refuse a body whose upload stalled."""

    code = ResultCode.BODY_TOO_SLOW
    http_status = 408


class UnknownService(RequestError):
    """Refuse a call of a service or model that is not in the inventory."""

    code = ResultCode.UNKNOWN_SERVICE
    http_status = 404


class UnknownTrainer(RequestError):
    """Refuse a step of a trainer that is not in the inventory."""

    code = ResultCode.UNKNOWN_TRAINER
    http_status = 404


class UnknownStep(RequestError):
    """Refuse to fetch a step that was not submitted."""

    code = ResultCode.UNKNOWN_STEP
    http_status = 404


class UnknownCode(RequestError):
    """Refuse to explain a result code that does not exist."""

    code = ResultCode.UNKNOWN_CODE
    http_status = 404


class UnknownPath(RequestError):
    """Refuse a path that this interface does not have."""

    code = ResultCode.UNKNOWN_PATH
    http_status = 404


class WrongMethod(RequestError):
    """Refuse a method that the path does not support."""

    code = ResultCode.WRONG_METHOD
    http_status = 405


class TicketError(YuccarillError):
    """Refuse a ticket; earlier attempts under it may or may not have run."""

    code = ResultCode.TICKET_INVALID
    http_status = 409


class TicketExpired(TicketError):
    """Refuse a ticket that has expired."""

    code = ResultCode.TICKET_EXPIRED


class KeyMissing(RequestError):
    """Refuse a request that names no client account."""

    code = ResultCode.KEY_MISSING
    http_status = 401


class KeyUnknown(RequestError):
    """Refuse a request whose key belongs to no client account."""

    code = ResultCode.KEY_UNKNOWN
    http_status = 401


class NotRun(YuccarillError):
    """Report that a request has not run and will not run."""

    code = ResultCode.NOT_RUN
    http_status = 503
    not_run = True


class Overloaded(NotRun):
    """Refuse early a call that would not be served in time."""

    code = ResultCode.OVERLOADED


class DeadlinePassed(NotRun):
    """Abandon a call whose deadline passed before it was sent."""

    code = ResultCode.DEADLINE_PASSED
    http_status = 504


class NoTarget(NotRun):
    """Refuse a call that no target can accept now."""

    code = ResultCode.NO_TARGET


class RequestQuarantined(NotRun):
    """Refuse a request whose content crashed the targets that ran it."""

    code = ResultCode.REQUEST_QUARANTINED


class OutcomeUnknown(YuccarillError):
    """Report that a request may or may not have run."""

    code = ResultCode.OUTCOME_UNKNOWN
    http_status = 502


class AnswerCut(OutcomeUnknown):
    """Report an answer that was cut off before its end."""

    code = ResultCode.ANSWER_CUT


class ConfigurationError(YuccarillError):
    """Refuse a change of configuration."""

    code = ResultCode.INVENTORY_INVALID
    http_status = 422


class InventoryInvalid(ConfigurationError):
    """Refuse an inventory and name every fault found, one per line."""


class RevisionConflict(ConfigurationError):
    """Refuse a change that is not based on the current revision."""

    code = ResultCode.REVISION_CONFLICT
    http_status = 409


class NoConfiguration(ConfigurationError):
    """Refuse work until a configuration is known."""

    code = ResultCode.NO_CONFIGURATION
    http_status = 503
    not_run = True


class ApplyOutcomeUnknown(ConfigurationError):
    """Report that a change may have taken effect, or may still do so."""

    code = ResultCode.APPLY_OUTCOME_UNKNOWN
    http_status = 502


class PlatformError(YuccarillError):
    """Report a failure of the platform or of a peer."""

    code = ResultCode.STORE_UNAVAILABLE
    http_status = 503


class StoreUnavailable(PlatformError):
    """Report a store that did not answer; a write may have taken effect."""


class StoreConflict(PlatformError):
    """Report a compare-and-swap version mismatch; nothing was written."""

    code = ResultCode.STORE_CONFLICT
    http_status = 409


class PeerUnavailable(PlatformError):
    """Report an instance that did not reply."""

    code = ResultCode.PEER_UNAVAILABLE


class FrameInvalid(PlatformError):
    """Refuse an undecodable frame from a peer."""

    code = ResultCode.FRAME_INVALID
    http_status = 400


class DiskFull(PlatformError):
    """Refuse samples that exceed the free space of a disk."""

    code = ResultCode.DISK_FULL
    http_status = 507


class RolloutError(YuccarillError):
    """Report a trainer's step that cannot be processed."""

    code = ResultCode.STEP_CONFLICT
    http_status = 409


class StepConflict(RolloutError):
    """Refuse a step whose number was used for a different step."""


class StepPending(RolloutError):
    """Report that a step is still being processed."""

    code = ResultCode.STEP_PENDING
    http_status = 202


class GroupFailed(RolloutError):
    """Report a group whose samples could not be produced."""

    code = ResultCode.GROUP_FAILED
    http_status = 502


class StepClosed(RolloutError):
    """Refuse a step that its trainer has already closed."""

    code = ResultCode.STEP_CLOSED
    http_status = 410


class SamplesLost(RolloutError):
    """Report a decided step whose samples can't be read now."""

    code = ResultCode.SAMPLES_LOST
    http_status = 503


class ClaimLost(RolloutError):
    """Report that another instance is processing the step."""

    code = ResultCode.CLAIM_LOST
    http_status = 503


class SettingsInvalid(YuccarillError):
    """Refuse settings and name every fault found, one per line."""

    code = ResultCode.SETTINGS_INVALID


def error_class_by_code(code: int) -> type[YuccarillError]:
    """Return the error class of a code, YuccarillError if there is none."""
    return _classes_by_code().get(code, YuccarillError)


@functools.cache
def _classes_by_code() -> dict[int, type[YuccarillError]]:
    classes_by_code: dict[int, type[YuccarillError]] = {}
    pending: list[type[YuccarillError]] = [YuccarillError]
    while pending:
        error_class = pending.pop(0)
        # Of classes that share a code, the one nearest to the root is kept.
        classes_by_code.setdefault(int(error_class.code), error_class)
        pending.extend(error_class.__subclasses__())
    return classes_by_code
