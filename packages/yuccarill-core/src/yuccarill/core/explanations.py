"""Meanings and remedies of result codes, listed in docs/result-codes.md."""

from __future__ import annotations

import http
import inspect

import msgspec

from yuccarill.core import errors
from yuccarill.core.errors import ResultCode

_REMEDIES_BY_CODE = {
    ResultCode.OK: 'Nothing.',
    ResultCode.BAD_REQUEST: 'Correct what the message names, then retry.',
    ResultCode.BODY_TOO_LONG: 'Send less, in several requests.',
    ResultCode.BODY_TOO_SLOW: 'Send the body again over a faster connection.',
    ResultCode.UNKNOWN_SERVICE: (
        'Correct the name, or add it to the inventory and apply the inventory.'
    ),
    ResultCode.UNKNOWN_TRAINER: (
        'Correct the name, or add the trainer to the inventory.'
    ),
    ResultCode.UNKNOWN_STEP: 'Submit the step, then fetch it.',
    ResultCode.UNKNOWN_CODE: 'Look the code up in docs/result-codes.md.',
    ResultCode.UNKNOWN_PATH: 'Correct the path; see docs/interfaces.md.',
    ResultCode.WRONG_METHOD: 'Use a method of the header Allow.',
    ResultCode.TICKET_INVALID: (
        'Request addresses to get a new ticket. An earlier attempt under the '
        'old ticket may have run.'
    ),
    ResultCode.TICKET_EXPIRED: (
        'Request addresses to get a new ticket. An earlier attempt under the '
        'old ticket may have run.'
    ),
    ResultCode.KEY_MISSING: (
        'Send one header with one key of a client account.'
    ),
    ResultCode.KEY_UNKNOWN: (
        'Use a key that the account has now; ask its operators for one.'
    ),
    ResultCode.NOT_RUN: 'Send the request again after the time given.',
    ResultCode.OVERLOADED: (
        'Send the request again after the time given, not before; add '
        'targets if the error persists.'
    ),
    ResultCode.DEADLINE_PASSED: 'Send the request again with more time.',
    ResultCode.NO_TARGET: (
        'Send the request again after the time given; check the targets '
        'with "yuccarill status" if the error persists.'
    ),
    ResultCode.REQUEST_QUARANTINED: (
        'Fix what crashes the targets, then take the request out of '
        'quarantine; look it up by the content that the message names.'
    ),
    ResultCode.OUTCOME_UNKNOWN: (
        'Ask for the outcome with the same ticket and request id, or look '
        'it up at the service; a new request may run the work twice.'
    ),
    ResultCode.ANSWER_CUT: 'Discard the partial answer and retry.',
    ResultCode.INVENTORY_INVALID: (
        'Correct each line named, run "yuccarill check", apply again.'
    ),
    ResultCode.REVISION_CONFLICT: (
        'Compare with "yuccarill diff", merge the current revision, then '
        'apply again.'
    ),
    ResultCode.NO_CONFIGURATION: (
        'Apply an inventory, or wait until the instance has heard from the '
        'platform or a peer.'
    ),
    ResultCode.APPLY_OUTCOME_UNKNOWN: (
        'Look for the change id with "yuccarill audit" before applying again.'
    ),
    ResultCode.STORE_UNAVAILABLE: (
        'Try again after the time given; check the platform if the error '
        'persists.'
    ),
    ResultCode.STORE_CONFLICT: 'Read the current value, then try again.',
    ResultCode.PEER_UNAVAILABLE: (
        'Try again; check the instance with "yuccarill status" if the error '
        'persists.'
    ),
    ResultCode.FRAME_INVALID: (
        'Check the log for the peer, which may run another version.'
    ),
    ResultCode.DISK_FULL: (
        'Acknowledge delivered steps, or give the instance a larger disk.'
    ),
    ResultCode.STEP_CONFLICT: 'Submit the step under the next number.',
    ResultCode.STEP_PENDING: 'Fetch the step again after the time given.',
    ResultCode.GROUP_FAILED: (
        'Submit the step again; check the engines and the scorer with '
        '"yuccarill status" if the error persists.'
    ),
    ResultCode.STEP_CLOSED: 'Submit the next step; this one is closed.',
    ResultCode.SAMPLES_LOST: (
        'Fetch the step again after the time given; the instances that hold '
        'its samples are unavailable.'
    ),
    ResultCode.CLAIM_LOST: (
        'Submit or fetch the step again; another instance is processing it.'
    ),
    ResultCode.SETTINGS_INVALID: (
        'Correct each setting named, check with --check-settings, start again.'
    ),
    ResultCode.INTERNAL: 'Report this bug with the log lines of that time.',
}


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one result code."""

    code: int
    name: str
    http_status: int
    # True if the request has not run and never will.
    not_run: bool
    meaning: str
    remedy: str

    @property
    def row(self) -> str:
        """Return the table row of this code for docs/result-codes.md."""
        not_run = 'yes' if self.not_run else 'no'
        return (
            f'| {self.code} | {self.name} | {self.http_status} | {not_run} '
            f'| {self.meaning} | {self.remedy} |'
        )


def explain(code: int) -> Explanation:
    """Return the explanation of a code.

    Raises UnknownCode.
    """
    try:
        result_code = ResultCode(code)
    except ValueError as error:
        raise errors.UnknownCode(
            f'Result code {code} does not exist; see docs/result-codes.md.'
        ) from error
    remedy = _REMEDIES_BY_CODE[result_code]
    if result_code is ResultCode.OK:
        return Explanation(
            code=result_code,
            name=result_code.name,
            http_status=http.HTTPStatus.OK,
            not_run=False,
            meaning='Report success.',
            remedy=remedy,
        )
    error_class = errors.error_class_by_code(result_code)
    return Explanation(
        code=result_code,
        name=result_code.name,
        http_status=error_class.http_status,
        not_run=error_class.not_run,
        meaning=_meaning(error_class),
        remedy=remedy,
    )


def explain_all() -> list[Explanation]:
    """Return the explanations of all codes, in ascending order."""
    return [explain(code) for code in sorted(ResultCode)]


def _meaning(error_class: type[errors.YuccarillError]) -> str:
    # A subclass that shares the code describes it more precisely.
    for subclass in error_class.__subclasses__():
        if subclass.code is error_class.code:
            return _meaning(subclass)
    return (inspect.getdoc(error_class) or '').splitlines()[0]
