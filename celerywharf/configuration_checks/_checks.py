"""Runs all checks of a configuration."""

from __future__ import annotations

from celerywharf.configuration_checks._contradictions import (
    find_contradictions,
)
from celerywharf.configuration_checks._differences import (
    find_differences,
    find_stale_version,
)
from celerywharf.configuration_checks._findings import Finding, Kind
from celerywharf.configuration_checks._unreachable import find_unreachable
from celerywharf.platform import configuration_errors, list_configuration


def check_configuration(
    document: bytes, current: bytes | None = None
) -> list[Finding]:
    """Return the findings on a configuration.

    The document is decoded as hosts do it.  Of one that they would refuse,
    only the errors are returned.

    Args:
        document: the configuration in the platform's form.
        current: the version in force, in the same form; None if it is not to
            be compared.

    Raises:
        ProtocolError: ``current`` is malformed.
    """
    errors = configuration_errors(document)
    if errors:
        return [
            Finding(Kind.error, 'invalid_field', place, message)
            for place, message in errors
        ]
    listing = list_configuration(document)
    findings = [*find_unreachable(listing), *find_contradictions(listing)]
    if current is None:
        return findings
    known = list_configuration(current)
    return [
        *find_stale_version(listing, known),
        *findings,
        *find_differences(listing, known),
    ]
