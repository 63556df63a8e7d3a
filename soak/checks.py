"""The promises, checked against what callers and backend servers saw."""

from __future__ import annotations

import itertools
import json
import operator
from collections import defaultdict
from collections.abc import Iterable
from http import HTTPStatus

from soak.records import Attempt, Evidence, WorkedRun

NOT_RUN = frozenset((408, 421, 429, 503))
REFUSED = frozenset((HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND))
# The users' bounds.
REVOKE_S = 5.0  # a key that was taken away works no longer than this
OVERLAP_S = 0.4  # a run that goes on elsewhere must have ended before
ANSWER_S = 0.5  # an answer comes this long after the deadline at latest
MOST_CUT_OFF = 3  # requests that ran and whose connection then just ended
RECOVERY_S = 12.0  # after the last fault
LEAST_SERVED = 0.9  # of what is sent after that; nothing is broken any more
CALM_BEFORE_S = 4.0  # who was harmed within this time is out of touch
SLOWEST_CLOCK_S = 0.1  # two processes note the same moment this far apart


def findings(evidence: Evidence) -> list[str]:
    """Return a line for each broken promise."""
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request_id].append(run)
    found = [f'a front ended by itself: {exit_}' for exit_ in evidence.exits]
    found.extend(f'a front reports: {line}' for line in evidence.errors)
    for attempt in evidence.attempts:
        found.extend(_judge(attempt, runs.pop(attempt.request_id, [])))
        found.extend(_late(attempt, evidence))
    found.extend(f'nobody asked for {request_id}' for request_id in runs)
    found.extend(_cut_off(evidence))
    found.extend(_overlaps(evidence))
    found.extend(_revoked(evidence))
    found.extend(_recovery(evidence))
    return found


def _judge(attempt: Attempt, runs: list[WorkedRun]) -> Iterable[str]:
    if attempt.kind == 'buy' and len(runs) > 1:
        yield f'ran {len(runs)} times: {attempt}'
    if attempt.status in NOT_RUN and attempt.kind == 'buy' and runs:
        yield f'said not to have run, but ran: {attempt}'
    if attempt.status in REFUSED and runs:
        yield f'refused, but ran: {attempt}'
    if attempt.kind == 'narrate':
        yield from _judge_stream(attempt)
    elif attempt.status == HTTPStatus.OK and attempt.whole:
        yield from _judge_call(attempt, runs)


def _judge_call(attempt: Attempt, runs: list[WorkedRun]) -> Iterable[str]:
    try:
        told = json.loads(attempt.body)
    except ValueError:
        yield f'an answer that is none: {attempt}'
        return
    if told.get('id') != attempt.request_id:
        yield f'the answer to another request: {attempt}'
    if told.get('by') not in {run.server for run in runs}:
        yield f'an answer of a server that did not run it: {attempt}'


def _judge_stream(attempt: Attempt) -> Iterable[str]:
    if attempt.status != HTTPStatus.OK:
        return
    # What follows the last empty line may be a part of an event.
    events, _, _ = attempt.body.decode().rpartition('\n\n')
    numbers = [
        int(line.removeprefix('id: '))
        for line in events.splitlines()
        if line.startswith('id: ')
    ]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'events {numbers} are out of order: {attempt}'
    if attempt.whole and len(numbers) != attempt.events_wanted:
        yield f'complete after {len(numbers)} events: {attempt}'


def _late(attempt: Attempt, evidence: Evidence) -> Iterable[str]:
    if attempt.took_s <= attempt.deadline_s + ANSWER_S:
        return
    if not _front_harmed(evidence, attempt):
        yield f'answered after {attempt.took_s:.1f} s: {attempt}'


def _cut_off(evidence: Evidence) -> Iterable[str]:
    ran = {run.request_id for run in evidence.runs}
    cut_off = [
        attempt
        for attempt in evidence.attempts
        if attempt.status is None
        and attempt.request_id in ran
        and not _front_harmed(evidence, attempt)
    ]
    if len(cut_off) > MOST_CUT_OFF:
        yield f'{len(cut_off)} cut off without an answer: {cut_off[:3]}'


def _overlaps(evidence: Evidence) -> Iterable[str]:
    streams = defaultdict(list)
    for run in evidence.runs:
        if run.target.startswith('/narrate'):
            streams[run.request_id].append(run)
    for runs in streams.values():
        runs.sort(key=operator.attrgetter('began_s'))
        for earlier, later in itertools.pairwise(runs):
            yield from _overlap(earlier, later, evidence)


def _overlap(
    earlier: WorkedRun,
    later: WorkedRun,
    evidence: Evidence,
) -> Iterable[str]:
    if earlier.ended_s is None:
        return
    ended_s = earlier.ended_s
    if _harmed(evidence, later.began_s, later.began_s, {later.server}):
        # One that was stopped may begin what was sent to it long before; it
        # sees at once that the connection has closed.
        ended_s = min(ended_s, later.ended_s or ended_s)
    overlap_s = ended_s - later.began_s
    if overlap_s <= OVERLAP_S + SLOWEST_CLOCK_S:
        return
    names = {earlier.server} | {
        attempt.front
        for attempt in evidence.attempts
        if attempt.request_id == earlier.request_id
    }
    if not _harmed(evidence, later.began_s, earlier.ended_s, names):
        yield f'two runs for {overlap_s:.2f} s: {earlier} {later}'


def _revoked(evidence: Evidence) -> Iterable[str]:
    sent = {one.request_id: one for one in evidence.attempts}
    for run in evidence.runs:
        attempt = sent.get(run.request_id)
        if attempt is None or attempt.key not in evidence.keys:
            continue
        after_s = attempt.sent_s - evidence.keys[attempt.key]
        if after_s > REVOKE_S:
            yield f'ran with a key taken away {after_s:.1f} s ago: {attempt}'


def _recovery(evidence: Evidence) -> Iterable[str]:
    later = [
        attempt
        for attempt in evidence.attempts
        if attempt.sent_s > evidence.calm_s + RECOVERY_S
        and attempt.key not in evidence.keys
    ]
    served = sum(
        attempt.status == HTTPStatus.OK and attempt.whole for attempt in later
    )
    if not later:
        yield 'nothing was sent after the last fault'
    elif served < LEAST_SERVED * len(later):
        failed = [one for one in later if one.status != HTTPStatus.OK]
        yield f'{served} of {len(later)} served when calm; {failed[:3]}'


def _front_harmed(evidence: Evidence, attempt: Attempt) -> bool:
    names = {attempt.front}
    return _harmed(evidence, attempt.sent_s, attempt.ended_s, names)


def _harmed(
    evidence: Evidence,
    began_s: float,
    ended_s: float,
    names: set[str],
) -> bool:
    return any(
        span.what in names
        and span.began_s <= ended_s
        and span.ended_s + CALM_BEFORE_S >= began_s
        for span in evidence.harmed
    )
