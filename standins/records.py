"""What an engine tells of itself: load reports and ground truth."""

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any, TextIO

from standins.batches import Run
from standins.tokens import make_tokens


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The state of an engine at a moment in seconds."""

    moment: float
    body: dict[str, Any]


def describe_start(run: Run) -> dict[str, Any]:
    """Return who a run works for and what it began with."""
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
    """Return a run with its tokens and the work it took, in tokens."""
    return {
        **describe_start(run),
        'state': run.state,
        'end': run.end,
        'tokens': run.output,
        'prefill_tokens': run.prefill_tokens,
        'decode_tokens': len(run.output),
    }


def describe_attempt(run: Run) -> dict[str, Any]:
    """Return a run as load reports name it."""
    return {**asdict(run.key), 'client_account': run.client_account}


def append_line(log: TextIO | None, entry: dict[str, Any]) -> None:
    """Write one entry to the record file, if there is one."""
    if log:
        log.write(f'{json.dumps(entry)}\n')
        log.flush()


def rebuild_runs(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the runs of a record file whose engine was killed.

    How far a run came is not in the file, so each has all the tokens that it
    could have made.
    """
    starts = [json.loads(line) for line in lines if line.endswith('\n')]
    latest = {start['nonce']: start for start in starts}
    return [
        {**start, 'tokens': _all_tokens(start)} for start in latest.values()
    ]


def _all_tokens(start: dict[str, Any]) -> list[str]:
    first = len(start['prefix'])
    return make_tokens(start['nonce'], first, start['max_tokens'])
