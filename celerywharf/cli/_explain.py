"""celerywharf explain: show what the hosts' logs contain about a request.

Usage:
  celerywharf explain ID [FILE...]
  celerywharf explain (-h | --help)

Reads JSON log lines from the files or from standard input.  Prints the lines
of the request in order of time, and the lines that the same hosts logged about
its backend servers from 3 s before to 3 s after it.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from docopt import docopt

from celerywharf.cli._exits import ExitCode

# Lines about a backend server, such as its ejection, are shown if they were
# logged at most this long before or after the request.
CONTEXT_S = 3.0
# Not printed as NAME=VALUE: part of the line already, or of no interest.
OMITTED_FIELDS = frozenset(
    ('time', 'level', 'logger', 'message', 'host', 'request_id'),
)
EXCERPT_CHARACTERS = 80
SERVER_FIELDS = ('backend_server', 'server')


def run(argv: Sequence[str]) -> int:
    """Print the lines; fail if the logs do not contain the request."""
    options = docopt(__doc__, argv=list(argv))
    records = list(_parse(_read_lines(options['FILE'])))
    selected = _select(records, options['ID'])
    for record in selected:
        sys.stdout.write(f'{_format(record, selected[0]["time"])}\n')
    return ExitCode.done if selected else ExitCode.failed


def _read_lines(paths: Sequence[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        with Path(path).open(encoding='utf-8', errors='replace') as log:
            yield from log


def _parse(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            sys.stderr.write(
                f'celerywharf: not JSON: {line[:EXCERPT_CHARACTERS]}\n'
            )


def _select(
    records: Sequence[dict[str, Any]],
    request_id: str,
) -> list[dict[str, Any]]:
    request_records = [
        record for record in records if record.get('request_id') == request_id
    ]
    if not request_records:
        return []
    hosts = {record.get('host') for record in request_records}
    servers = {
        name for record in request_records for name in _server_names(record)
    }
    start_s = min(record['time'] for record in request_records) - CONTEXT_S
    end_s = max(record['time'] for record in request_records) + CONTEXT_S
    server_records = [
        record
        for record in records
        if 'request_id' not in record
        and record.get('host') in hosts
        and servers.intersection(_server_names(record))
        and start_s <= record['time'] <= end_s
    ]
    return sorted(
        request_records + server_records,
        key=lambda record: record['time'],
    )


def _server_names(record: dict[str, Any]) -> list[str]:
    names = [record[field] for field in SERVER_FIELDS if field in record]
    return [*names, *record.get('backend_servers', ())]


def _format(record: dict[str, Any], start_s: float) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in record.items()
        if name not in OMITTED_FIELDS
    )
    elapsed_s = record['time'] - start_s
    host = record.get('host', '?')
    return f'{elapsed_s:+9.3f} {host} {record["message"]}: {fields}'
