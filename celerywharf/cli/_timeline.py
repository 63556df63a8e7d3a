"""celerywharf timeline: show the events of all processes in order.

Usage:
  celerywharf timeline [options] [--file=FILE]...
  celerywharf timeline (-h | --help)

Options:
  --request=ID      Show only this request and its generations.
  --generation=ID   Show only this generation.
  --since=SECONDS   Maximum age of the events [default: 900].
  --json            Print one event per line as JSON, which --file can read.
  --html=FILE       Write an HTML page with one lane per process.
  --file=FILE       Read events from saved JSON lines instead of a host.
  --host=IP:PORT    Address of any host; by default CELERYWHARF_HOST.
  --key-file=FILE   File with the operator key; by default the key in
                    CELERYWHARF_OPERATOR_KEY.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from docopt import docopt

from celerywharf.cli._client import OperatorClient
from celerywharf.cli._exits import ExitCode
from celerywharf.exceptions import BadRequestError
from celerywharf.timeline import Event
from celerywharf.timeline.gaps import Gap, find_gaps
from celerywharf.timeline.pages import render_page
from celerywharf.timeline.records import from_json, matches, to_json
from celerywharf.timeline.text_tables import align, clock_text, event_rows
from celerywharf.wire.timelines import TimelineQuery


def run(argv: Sequence[str]) -> int:
    """Print the events and gaps, or write them as an HTML page."""
    options = docopt(__doc__, argv=list(argv))
    events, silent_hosts = _collect(options)
    gaps = find_gaps(events, silent_hosts)
    if options['--html']:
        _write_page(options, events, gaps)
        return ExitCode.done
    if options['--json']:
        for event in events:
            sys.stdout.write(f'{json.dumps(to_json(event))}\n')
        return ExitCode.done
    for line in align(event_rows(events)):
        sys.stdout.write(f'{line}\n')
    for gap in gaps:
        after = clock_text(gap.after_micros) if gap.after_micros else 'start'
        sys.stdout.write(f'gap: {gap.host} after {after}: {gap.reason}\n')
    return ExitCode.done


def _collect(options: Mapping[str, Any]) -> tuple[list[Event], list[str]]:
    if options['--file']:
        return _load_files(options), []
    query = {
        'request': options['--request'] or '',
        'generation': options['--generation'] or '',
        'since': options['--since'],
    }
    client = OperatorClient.from_options(options)
    answer = client.call('GET', f'/timeline?{urlencode(query)}')
    events = [from_json(fields) for fields in answer['events']]
    return events, answer['silent_hosts']


def _load_files(options: Mapping[str, Any]) -> list[Event]:
    query = TimelineQuery(
        options['--request'] or '',
        options['--generation'] or '',
        0,
        0,
    )
    by_identity = {
        event.identity: event
        for name in options['--file']
        for event in _load_events(Path(name))
        if matches(event, query)
    }
    return sorted(by_identity.values(), key=lambda event: event.stamp)


def _load_events(path: Path) -> list[Event]:
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except OSError as error:
        raise BadRequestError(f'--file: {error}') from None
    try:
        return [from_json(json.loads(line)) for line in lines if line]
    except (ValueError, KeyError, TypeError) as error:
        raise BadRequestError(f'{path}: not events: {error}') from None


def _write_page(
    options: Mapping[str, Any],
    events: list[Event],
    gaps: list[Gap],
) -> None:
    subject = options['--generation'] or options['--request'] or 'all events'
    text = render_page(f'Time line of {subject}', events, gaps)
    try:
        Path(options['--html']).write_text(text, encoding='utf-8')
    except OSError as error:
        raise BadRequestError(f'--html: {error}') from None
