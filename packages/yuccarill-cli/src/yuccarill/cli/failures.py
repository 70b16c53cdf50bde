"""Failures of commands, with their exit codes."""

from __future__ import annotations

import click

from yuccarill.cli.exit_codes import ExitCode
from yuccarill.core import errors
from yuccarill.core.errors import ResultCode

_EXIT_CODES_BY_RESULT_CODE = {
    ResultCode.INVENTORY_INVALID: ExitCode.INVALID,
    ResultCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.APPLY_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


class CommandFailure(click.ClickException):
    """End a command with a message on stderr and an exit code."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class Refused(CommandFailure):
    """The request was refused with a result code."""

    def __init__(self, code: int, name: str, message: str) -> None:
        super().__init__(
            f'{code} {name}: {message}',
            _EXIT_CODES_BY_RESULT_CODE.get(code, ExitCode.REFUSED),
        )
        self.code = code


class Unreachable(CommandFailure):
    """No instance answered."""

    def __init__(self, message: str) -> None:
        super().__init__(message, ExitCode.UNREACHABLE)


class OutcomeUnknown(CommandFailure):
    """A write was sent and no reply arrived."""

    def __init__(self, message: str, address: str = '') -> None:
        super().__init__(message, ExitCode.OUTCOME_UNKNOWN)
        # Address that did not reply; the audit trail is read there last.
        self.address = address


def refused(error: errors.YuccarillError) -> Refused:
    """Return the command failure for an error of yuccarill.core."""
    return Refused(error.code, error.code.name, error.message)
