"""celerywharf config: check settings and configurations.

Usage:
  celerywharf config check [--front] FILE
  celerywharf config check-routes FILE [--against=FILE] [--rollouts=FILE]
                     [--engines=FILE] [--json]
  celerywharf config reference [--front]
  celerywharf config (-h | --help)

Commands:
  check         Check a settings file; print section, key, value and the
                allowed values for each error.
  check-routes  Check a configuration of routes, services and keys, in the
                platform's form, before it is sent.
  reference     Print every section and key with its default.

Options:
  --front          Use the settings of a front instead of an entry host.
  --against=FILE   Also print what differs from this version.
  --rollouts=FILE  Also check these orders to move services to other versions.
  --engines=FILE   Check that engines of this list have the ordered versions;
                   only with --rollouts.
  --json           Print JSON.

Exit codes of check-routes: 0 no problem, 1 problems found, 2 unreadable file.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from docopt import docopt
from pydantic import BaseModel

from celerywharf import settings
from celerywharf.cli._exits import ExitCode
from celerywharf.cli._printing import print_json, print_records
from celerywharf.configuration_checks import (
    Finding,
    check_configuration,
    check_rollouts,
)
from celerywharf.exceptions import ProtocolError

COLUMNS = ('kind', 'code', 'entry', 'message')


def run(argv: Sequence[str]) -> int:
    """Check a file or print the reference."""
    options = docopt(__doc__, argv=list(argv))
    if options['check-routes']:
        return _check_routes(options)
    model = settings.HostSettings
    if options['--front']:
        model = settings.FrontSettings
    if options['reference']:
        sys.stdout.writelines(f'{line}\n' for line in reference(model))
        return ExitCode.done
    settings.load(options['FILE'], model)
    sys.stdout.write(f'{options["FILE"]}: settings are valid\n')
    return ExitCode.done


def reference(model: type[BaseModel]) -> Iterator[str]:
    """Yield the lines of a settings file with all keys and descriptions.

    Keys with a default are commented out.
    """
    for section, section_field in model.model_fields.items():
        yield f'[{section}]'
        for key, field in section_field.annotation.model_fields.items():
            yield f'; {field.description}'
            if field.is_required():
                yield f'{key} ='
                continue
            default = field.get_default(call_default_factory=True)
            default = default or None
            text = '' if default is None else default
            yield f'; {key} = {text}'
        yield ''


def _check_routes(options: Mapping[str, Any]) -> int:
    if options['--engines'] and not options['--rollouts']:
        sys.stderr.write('celerywharf: --engines needs --rollouts\n')
        return ExitCode.usage
    try:
        findings = _find(options)
    except (OSError, ProtocolError) as error:
        sys.stderr.write(f'celerywharf: {error}\n')
        return ExitCode.usage
    _print_findings(findings, as_json=options['--json'])
    if any(finding.is_problem for finding in findings):
        return ExitCode.failed
    return ExitCode.done


def _find(options: Mapping[str, Any]) -> list[Finding]:
    document = Path(options['FILE']).read_bytes()
    findings = check_configuration(document, _read(options['--against']))
    orders = _read(options['--rollouts'])
    engines = _read(options['--engines'])
    if orders is None or _is_refused(findings):
        return findings
    return [*check_rollouts(document, orders, engines), *findings]


def _is_refused(findings: Sequence[Finding]) -> bool:
    return any(finding.code == 'invalid_field' for finding in findings)


def _read(path: str | None) -> bytes | None:
    return None if path is None else Path(path).read_bytes()


def _print_findings(findings: Sequence[Finding], *, as_json: bool) -> None:
    records = [asdict(finding) for finding in findings]
    if as_json:
        print_json(records)
    elif records:
        print_records(COLUMNS, records)
    else:
        sys.stdout.write('nothing found\n')
