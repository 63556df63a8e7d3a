"""Checks guarantees of fronts on the records of callers and servers."""

from __future__ import annotations

import itertools
import json
import operator
from collections import defaultdict
from collections.abc import Iterable
from http import HTTPStatus

from soak.records import Attempt, Evidence, ServerRun

# Statuses that state that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses for a key or path that a front does not accept.
REFUSED_STATUSES = frozenset((HTTPStatus.UNAUTHORIZED, HTTPStatus.NOT_FOUND))
# Limits that the users set.
MAX_REVOKE_S = 5.0  # a key may work this long after its revocation
MAX_OVERLAP_S = 0.4  # of two runs of a stream that moved to another server
MAX_LATENESS_S = 0.5  # of an answer, after the deadline
MAX_CUT_OFF = 3  # requests that ran and got no response status
RECOVERY_S = 12.0  # after the last fault
# Of the requests sent after the recovery time, when no fault is active.
MIN_SERVED_RATIO = 0.9
# A process may lack current information for this long after a fault.
FAULT_AFTERMATH_S = 4.0
TIMESTAMP_TOLERANCE_S = 0.1  # between records of one moment by two processes


def collect_findings(evidence: Evidence) -> list[str]:
    """Return a line for each violated guarantee; the list is empty if none."""
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request_id].append(run)
    findings = [
        f'a front exited unexpectedly or not at all: {exit_}'
        for exit_ in evidence.exits
    ]
    findings.extend(f'an error was logged: {line}' for line in evidence.errors)
    for attempt in evidence.attempts:
        findings.extend(
            _check_attempt(attempt, runs.pop(attempt.request_id, []))
        )
        findings.extend(_check_lateness(attempt, evidence))
    findings.extend(
        f'a run of a request that was never sent: {request_id}'
        for request_id in runs
    )
    findings.extend(_check_cut_off(evidence))
    findings.extend(_check_overlaps(evidence))
    findings.extend(_check_revocation(evidence))
    findings.extend(_check_recovery(evidence))
    findings.extend(
        f'not ready after recovery: {answer}' for answer in evidence.unready
    )
    findings.extend(_check_added_servers(evidence))
    return findings


def _check_attempt(attempt: Attempt, runs: list[ServerRun]) -> Iterable[str]:
    if attempt.kind == 'buy' and len(runs) > 1:
        yield f'ran {len(runs)} times: {attempt}'
    if attempt.status in NOT_RUN_STATUSES and attempt.kind == 'buy' and runs:
        yield f'reported as not run, but ran: {attempt}'
    if attempt.status in REFUSED_STATUSES and runs:
        yield f'refused, but ran: {attempt}'
    if attempt.kind == 'narrate':
        yield from _check_stream(attempt)
    elif attempt.status == HTTPStatus.OK and attempt.whole:
        yield from _check_call(attempt, runs)


def _check_call(attempt: Attempt, runs: list[ServerRun]) -> Iterable[str]:
    try:
        answer = json.loads(attempt.body)
    except ValueError:
        yield f'the answer is not valid JSON: {attempt}'
        return
    if answer.get('id') != attempt.request_id:
        yield f'the answer belongs to another request: {attempt}'
    if answer.get('by') not in {run.server for run in runs}:
        yield f'the answer names a server that did not run it: {attempt}'


def _check_stream(attempt: Attempt) -> Iterable[str]:
    if attempt.status != HTTPStatus.OK:
        return
    # The text after the last empty line may be an incomplete event.
    events, _, _ = attempt.body.decode().rpartition('\n\n')
    numbers = [
        int(line.removeprefix('id: '))
        for line in events.splitlines()
        if line.startswith('id: ')
    ]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f'events {numbers} are out of order: {attempt}'
    if attempt.whole and len(numbers) != attempt.events_wanted:
        yield f'stream ended normally after {len(numbers)} events: {attempt}'


def _check_lateness(attempt: Attempt, evidence: Evidence) -> Iterable[str]:
    if attempt.took_s <= attempt.deadline_s + MAX_LATENESS_S:
        return
    if not _front_disrupted(evidence, attempt):
        yield f'answered after {attempt.took_s:.1f} s: {attempt}'


def _check_cut_off(evidence: Evidence) -> Iterable[str]:
    ran = {run.request_id for run in evidence.runs}
    cut_off = [
        attempt
        for attempt in evidence.attempts
        if attempt.status is None
        and attempt.request_id in ran
        and not _front_disrupted(evidence, attempt)
    ]
    if len(cut_off) > MAX_CUT_OFF:
        yield f'{len(cut_off)} ran and got no response status: {cut_off[:3]}'


def _check_overlaps(evidence: Evidence) -> Iterable[str]:
    streams = defaultdict(list)
    for run in evidence.runs:
        if run.target.startswith('/narrate'):
            streams[run.request_id].append(run)
    for runs in streams.values():
        runs.sort(key=operator.attrgetter('began_s'))
        for earlier, later in itertools.pairwise(runs):
            yield from _check_overlap(earlier, later, evidence)


def _check_overlap(
    earlier: ServerRun,
    later: ServerRun,
    evidence: Evidence,
) -> Iterable[str]:
    if earlier.ended_s is None or _ended_at_once(later):
        return
    ended_s = earlier.ended_s
    if _disrupted(evidence, later.began_s, later.began_s, {later.server}):
        # A server that was suspended may start a run that was sent to it long
        # before; it notices at once that the connection has closed.
        ended_s = min(ended_s, later.ended_s or ended_s)
    overlap_s = ended_s - later.began_s
    if overlap_s <= MAX_OVERLAP_S + TIMESTAMP_TOLERANCE_S:
        return
    names = {earlier.server} | {
        attempt.front
        for attempt in evidence.attempts
        if attempt.request_id == earlier.request_id
    }
    if not _disrupted(evidence, later.began_s, earlier.ended_s, names):
        yield f'runs overlap for {overlap_s:.2f} s: {earlier} {later}'


def _ended_at_once(run: ServerRun) -> bool:
    """Return whether a run was ended because the one before it went on."""
    return run.ended_s is not None and (
        run.ended_s - run.began_s <= MAX_OVERLAP_S
    )


def _check_revocation(evidence: Evidence) -> Iterable[str]:
    attempts_by_id = {
        attempt.request_id: attempt for attempt in evidence.attempts
    }
    for run in evidence.runs:
        attempt = attempts_by_id.get(run.request_id)
        if attempt is None or attempt.key not in evidence.revoked_keys:
            continue
        after_s = attempt.sent_s - evidence.revoked_keys[attempt.key]
        if after_s > MAX_REVOKE_S:
            yield f'ran with a key revoked {after_s:.1f} s earlier: {attempt}'


def _check_recovery(evidence: Evidence) -> Iterable[str]:
    sent = [
        attempt
        for attempt in evidence.attempts
        if attempt.sent_s > evidence.faults_ended_s + RECOVERY_S
        and attempt.key not in evidence.revoked_keys
        and not attempt.is_probe
    ]
    served = sum(
        attempt.status == HTTPStatus.OK and attempt.whole for attempt in sent
    )
    if not sent:
        yield 'no request was sent after the recovery time'
    elif served < MIN_SERVED_RATIO * len(sent):
        failed = [
            attempt for attempt in sent if attempt.status != HTTPStatus.OK
        ]
        yield f'{served} of {len(sent)} served after recovery; {failed[:3]}'


def _check_added_servers(evidence: Evidence) -> Iterable[str]:
    ran = {
        run.request_id
        for run in evidence.runs
        if run.server in evidence.added_servers
    }
    for front in evidence.fronts if evidence.added_servers else ():
        sent = [
            attempt.request_id
            for attempt in evidence.attempts
            if attempt.front == front and attempt.is_probe
        ]
        if ran.isdisjoint(sent):
            yield f'{front} sent none of {len(sent)} calls to an added server'


def _front_disrupted(evidence: Evidence, attempt: Attempt) -> bool:
    names = {attempt.front}
    return _disrupted(evidence, attempt.sent_s, attempt.ended_s, names)


def _disrupted(
    evidence: Evidence,
    began_s: float,
    ended_s: float,
    names: set[str],
) -> bool:
    return any(
        disruption.target_name in names
        and disruption.began_s <= ended_s
        and disruption.ended_s + FAULT_AFTERMATH_S >= began_s
        for disruption in evidence.disruptions
    )
