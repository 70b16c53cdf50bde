"""Meanings and remedies of result codes, listed in docs/result-codes.md."""

from __future__ import annotations

import http
import inspect

import msgspec

from yuccarill.core import errors
from yuccarill.core.errors import ResultCode

_REMEDIES_BY_CODE = {
    ResultCode.OK: 'Nothing.',
    ResultCode.BAD_REQUEST: 'Correct what the message names, then ask again.',
    ResultCode.BODY_TOO_LONG: 'Send less, in several requests.',
    ResultCode.BODY_TOO_SLOW: 'Send it again, over a faster connection.',
    ResultCode.UNKNOWN_SERVICE: (
        'Correct the name, or add it to the inventory and apply that.'
    ),
    ResultCode.UNKNOWN_TRAINER: (
        'Correct the name, or add the trainer to the inventory.'
    ),
    ResultCode.UNKNOWN_STEP: 'Submit the step, then fetch it.',
    ResultCode.UNKNOWN_CODE: 'Look the code up in docs/result-codes.md.',
    ResultCode.UNKNOWN_PATH: 'Correct the path; see docs/interfaces.md.',
    ResultCode.WRONG_METHOD: 'Use a method of the header Allow.',
    ResultCode.TICKET_INVALID: (
        'Ask for addresses to get a ticket. An earlier try under the old one '
        'may have run.'
    ),
    ResultCode.TICKET_EXPIRED: (
        'Ask for addresses to get a ticket. An earlier try under the old one '
        'may have run.'
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
        'targets if it goes on.'
    ),
    ResultCode.DEADLINE_PASSED: 'Send the request again with more time.',
    ResultCode.NO_TARGET: (
        'Send the request again after the time given; look at the targets '
        'with "yuccarill status" if it goes on.'
    ),
    ResultCode.REQUEST_QUARANTINED: (
        'Mend what ends the targets, then take the request out of quarantine; '
        'look it up by the content that the message names.'
    ),
    ResultCode.OUTCOME_UNKNOWN: (
        'Ask for the outcome with the same ticket and request id, or look '
        'it up at the service; a new request may run it twice.'
    ),
    ResultCode.ANSWER_CUT: 'Drop what came and ask again.',
    ResultCode.INVENTORY_INVALID: (
        'Correct each line named, try "yuccarill check", apply again.'
    ),
    ResultCode.REVISION_CONFLICT: (
        'Compare with "yuccarill diff", take over the change that stands, '
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
        'Try again after the time given; see to the platform if it goes on.'
    ),
    ResultCode.STORE_CONFLICT: 'Read what stands, then try again.',
    ResultCode.PEER_UNAVAILABLE: (
        'Try again; look at the instance with "yuccarill status" if it goes '
        'on.'
    ),
    ResultCode.FRAME_INVALID: (
        'Look at the log for the peer; it may run another version.'
    ),
    ResultCode.DISK_FULL: (
        'Acknowledge delivered steps, or give the instance a larger disk.'
    ),
    ResultCode.STEP_CONFLICT: 'Submit the step under the next number.',
    ResultCode.STEP_PENDING: 'Fetch the step again after the time given.',
    ResultCode.GROUP_FAILED: (
        'Submit the step again; look at the engines and the scorer with '
        '"yuccarill status" if it goes on.'
    ),
    ResultCode.STEP_CLOSED: 'Submit the next step; this one is taken.',
    ResultCode.SAMPLES_LOST: (
        'Fetch the step again after the time given; the instances that hold '
        'its samples are away.'
    ),
    ResultCode.CLAIM_LOST: (
        'Submit or fetch the step again; another instance has it.'
    ),
    ResultCode.SETTINGS_INVALID: (
        'Correct each setting named, try --check-settings, start again.'
    ),
    ResultCode.INTERNAL: (
        'Report it with the log lines of that time; it is a fault of the '
        'program.'
    ),
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
            meaning='Tell that all went well.',
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
