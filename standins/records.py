"""Load reports of an engine, and records of its runs."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any, TextIO

from standins.batches import Run
from standins.tokens import make_tokens


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of an engine at a time in monotonic seconds."""

    taken_s: float
    body: dict[str, Any]


def describe_start(run: Run) -> dict[str, Any]:
    """Return the attempts that a run serves and its input."""
    attempts = [
        {**asdict(key), 'offset': offset} for key, offset in run.reattached
    ]
    return {
        **asdict(run.key),
        'client_account': run.client_account,
        'nonce': run.nonce,
        'prefix': run.prefix,
        'max_tokens': run.max_tokens,
        'reattached': attempts,
    }


def describe_run(run: Run) -> dict[str, Any]:
    """Return a run with its state, its tokens and its work in tokens."""
    return {
        **describe_start(run),
        'state': run.state,
        'end': run.end,
        'tokens': run.output,
        'prefill_tokens': run.prefill_tokens,
        'decode_tokens': len(run.output),
    }


def describe_attempt(run: Run) -> dict[str, Any]:
    """Return a run as an entry of load reports."""
    return {**asdict(run.key), 'client_account': run.client_account}


def append_line(record_file: TextIO | None, entry: dict[str, Any]) -> None:
    """Write one entry to the record file, if there is one."""
    if record_file:
        record_file.write(f'{json.dumps(entry)}\n')
        record_file.flush()


def rebuild_runs(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the runs of a record file whose engine was killed.

    The file does not say how far a run got, so each has all the tokens that
    it could have generated. A line that the kill cut short is ignored.
    """
    starts = [json.loads(line) for line in lines if line.endswith('\n')]
    latest = {start['nonce']: start for start in starts}
    return [
        {**start, 'tokens': _all_tokens(start)} for start in latest.values()
    ]


def _all_tokens(start: dict[str, Any]) -> list[str]:
    first = len(start['prefix'])
    return make_tokens(start['nonce'], first, start['max_tokens'])
