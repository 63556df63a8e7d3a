"""Exit codes of the command line."""

from __future__ import annotations

import enum

from celerywharf.exceptions import (
    CelerywharfError,
    PeerUnreachableError,
    PlatformUnavailableError,
    RowConflictError,
    SettingsError,
    TransportError,
)


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    done = 0
    failed = 1
    usage = 2
    settings = 3
    unreachable = 4
    conflict = 5


def exit_code(error: CelerywharfError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case SettingsError():
            return ExitCode.settings
        case (
            TransportError()
            | PeerUnreachableError()
            | PlatformUnavailableError()
        ):
            return ExitCode.unreachable
        case RowConflictError():
            return ExitCode.conflict
    return ExitCode.failed
