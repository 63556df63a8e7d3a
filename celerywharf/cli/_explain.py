"""celerywharf explain: tell the story of a request from the hosts' logs.

Usage:
  celerywharf explain ID [FILE...]
  celerywharf explain (-h | --help)

Reads JSON lines from the files, or from standard input, and prints those of
the request in order of time, with what was believed of its backend servers
shortly before and after.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from docopt import docopt

from celerywharf.cli._exits import ExitCode

AROUND_S = 3.0  # beliefs about a server matter that long around a request
SHOWN_APART = frozenset(
    ('time', 'level', 'logger', 'message', 'host', 'request_id'),
)
SHOWN_CHARACTERS = 80
SERVER_FIELDS = ('backend_server', 'server')


def run(words: Sequence[str]) -> int:
    """Print the story; fail if the logs do not know the request."""
    options = docopt(__doc__, argv=list(words))
    lines = list(_records(_read(options['FILE'])))
    story = _story(lines, options['ID'])
    for record in story:
        sys.stdout.write(f'{_described(record, story[0]["time"])}\n')
    return ExitCode.done if story else ExitCode.failed


def _read(names: Sequence[str]) -> Iterator[str]:
    if not names:
        yield from sys.stdin
    for name in names:
        with Path(name).open(encoding='utf-8', errors='replace') as log:
            yield from log


def _records(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            sys.stderr.write(
                f'celerywharf: not JSON: {line[:SHOWN_CHARACTERS]}\n'
            )


def _story(
    records: Sequence[dict[str, Any]],
    request_id: str,
) -> list[dict[str, Any]]:
    own = [one for one in records if one.get('request_id') == request_id]
    if not own:
        return []
    hosts = {one.get('host') for one in own}
    servers = {name for one in own for name in _servers(one)}
    begins_s = min(one['time'] for one in own) - AROUND_S
    ends_s = max(one['time'] for one in own) + AROUND_S
    beliefs = [
        one
        for one in records
        if 'request_id' not in one
        and one.get('host') in hosts
        and servers.intersection(_servers(one))
        and begins_s <= one['time'] <= ends_s
    ]
    return sorted(own + beliefs, key=lambda one: one['time'])


def _servers(record: dict[str, Any]) -> list[str]:
    named = [record[field] for field in SERVER_FIELDS if field in record]
    return [*named, *record.get('backend_servers', ())]


def _described(record: dict[str, Any], start_s: float) -> str:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in record.items()
        if name not in SHOWN_APART
    )
    at_s = record['time'] - start_s
    host = record.get('host', '?')
    return f'{at_s:+9.3f} {host} {record["message"]}: {fields}'
