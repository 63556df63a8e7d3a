"""Records traces of real owners: `python -m tests.generations.recording`.

Starts hosts and engines, makes some of them fail, and saves the messages that
one owner received for one generation, with the engines' records of their runs.

Usage:
  recording CASE ...
  recording --host FOLDER serve --config FILE
"""

import json
import sys
import threading
import time
from pathlib import Path

from docopt import docopt

from bench.rigs import Place, Rig, caller_headers, completion, start_two_hosts
from celerywharf.cli import main
from celerywharf.generations._logic import GenerationLogic
from celerywharf.generations.messages import ReplicaStored, Tick, TokensArrived
from standins.calls import call
from standins.launching import Fleet

TOKENS = 24
FAIL_AFTER_S = 0.25
PAUSE_S = 3.5
ENGINES = ('e1', 'e2', 'e3')
CASES = {
    'recorded_kill': ('patient', {'kill': ['e1']}),
    'recorded_freeze_patient': ('patient', {'pause': ['e1']}),
    'recorded_freeze_eager': ('eager', {'pause': ['e1']}),
    'recorded_two_kills': ('patient', {'kill': ['e1', 'e2']}),
    'recorded_replica_kill': ('patient', {'kill': ['host-b']}),
    'recorded_replica_pause': ('patient', {'pause': ['host-b']}),
    'recorded_owner_pause': ('patient', {'pause': ['host-a']}),
}


class Tracer:
    """Records the messages of each generation's decisions, in order."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.started = {}

    def note(self, logic, now, message):
        generation = logic.journal.spec.generation
        start = self.started.setdefault(generation, now)
        fields = [
            getattr(message, name)
            for name in type(message).__dataclass_fields__
        ]
        if isinstance(message, ReplicaStored):
            fields[-1] = round(fields[-1] - start, 5)
        line = [round(now - start, 5), type(message).__name__, *fields]
        with (self.folder / f'{generation}.trace').open('a') as lines:
            lines.write(f'{json.dumps(line, default=repr)}\n')


def record_decisions(folder):
    tracer = Tracer(folder)
    handle, take_tokens, take_acknowledgement, is_steady = (
        GenerationLogic.handle,
        GenerationLogic.take_tokens,
        GenerationLogic.take_acknowledgement,
        GenerationLogic.is_steady,
    )

    def traced_handle(self, message, now):
        tracer.note(self, now, message)
        return handle(self, message, now)

    def traced_take_tokens(self, number, offset, tokens, now):
        tracer.note(self, now, TokensArrived(number, offset, tokens))
        return take_tokens(self, number, offset, tokens, now)

    def traced_take_acknowledgement(self, replica, offset, sent_s, now):
        stored = take_acknowledgement(self, replica, offset, sent_s, now)
        if stored >= 0:
            message = ReplicaStored(replica, offset, False, sent_s)
            tracer.note(self, now, message)
        return stored

    def traced_is_steady(self, now):
        steady = is_steady(self, now)
        if steady:
            tracer.note(self, now, Tick())
        return steady

    GenerationLogic.handle = traced_handle
    GenerationLogic.take_tokens = traced_take_tokens
    GenerationLogic.take_acknowledgement = traced_take_acknowledgement
    GenerationLogic.is_steady = traced_is_steady


class TracedFleet(Fleet):
    """Runs host-a with its decisions recorded."""

    def spawn(self, name, arguments, output):
        if name == 'host-a':
            module = 'tests.generations.recording'
            folder = str(self.folder)
            arguments = [module, '--host', folder, *arguments[1:]]
        return super().spawn(name, arguments, output)


def record(case):
    policy, faults = CASES[case]
    with TracedFleet() as fleet:
        rig = Rig.start(fleet, policy)
        for name in ENGINES:
            rig.add_engine(name, Place(), token_interval_ms=20)
        addresses = start_two_hosts(rig)
        time.sleep(2)
        failing = threading.Timer(
            FAIL_AFTER_S, fail, (fleet, faults, addresses)
        )
        failing.start()
        read_generation(addresses[0])
        failing.join()
        time.sleep(0.5)
        path = next(fleet.folder.glob('g-*.trace'))
        runs = [
            {'prefix': run['prefix'], 'tokens': run['tokens']}
            for name in ENGINES
            for run in fleet.record(name)['runs']
        ]
        head = {'max': TOKENS, 'policy': policy, 'runs': runs}
        lines = [json.dumps(head), *path.read_text().splitlines()]
        target = Path(__file__).parent / 'traces' / f'{case}.jsonl'
        target.write_text('\n'.join([*lines, '']))


def read_generation(address):
    body = completion('recorded', TOKENS)
    try:
        call(address, 'POST', '/v1/completions', body, caller_headers())
    except OSError:
        # The paused owner was replaced and closes its old connection.
        return


def fail(fleet, faults, addresses):
    for kind, names in faults.items():
        for name in names:
            getattr(fleet, kind)(name)
    if 'host-a' in faults.get('pause', ()):
        time.sleep(PAUSE_S)
        (run,) = fleet.record('e1')['runs']
        path = f'/v1/generations/{run["generation"]}'
        call(addresses[1], 'GET', path, None, caller_headers())
    else:
        time.sleep(PAUSE_S if 'pause' in faults else 0)
    for paused in faults.get('pause', ()):
        fleet.resume(paused)


if __name__ == '__main__':
    options = docopt(__doc__)
    if options['--host']:
        record_decisions(options['FOLDER'])
        sys.exit(main(sys.argv[3:]))
    for chosen in options['CASE']:
        record(chosen)
