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
from celerywharf.platform import (
    configuration_errors,
    list_configuration,
    parse_json,
)


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
        ProtocolError: ``current`` is malformed, or ``document`` is not JSON.
    """
    errors = configuration_errors(document)
    if errors:
        return [_error(document, *error) for error in errors]
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


def _error(document: bytes, place: str, message: str) -> Finding:
    """Return the finding on a field, with the name of its entry if it has one.

    Args:
        document: the configuration, JSON.
        place: the field, such as ``routes.0.kind``.
        message: why it is refused.
    """
    section, _, rest = place.partition('.')
    index, _, _ = rest.partition('.')
    if index.isdecimal():
        entry = parse_json(document)[section][int(index)]
        name = entry.get('name') if isinstance(entry, dict) else None
        if isinstance(name, str):
            message = f'{message} ({name})'
    return Finding(Kind.error, 'invalid_field', place, message)
