"""Bounded logs, and the explain command on logs."""

import json
import logging
import os
import time

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.cli import main
from celerywharf.logs._bounded import PENDING_LIMIT_BYTES, BoundedHandler
from celerywharf.logs._json import JsonFormatter

scenarios('bounded.feature')

LINES = (
    {'time': 5.0, 'host': 'b', 'message': 'ejected', 'backend_server': 's1'},
    {
        'time': 3.0,
        'host': 'a',
        'message': 'request ended',
        'request_id': 'r1',
        'backend_servers': ['s1', 's2'],
    },
    {
        'time': 1.0,
        'host': 'a',
        'message': 'send failed',
        'request_id': 'r1',
        'backend_server': 's1',
    },
    {'time': 2.0, 'host': 'a', 'message': 'no report', 'backend_server': 's1'},
    {'time': 2.0, 'host': 'a', 'message': 'no report', 'backend_server': 's9'},
    {
        'time': 2.0,
        'host': 'a',
        'message': 'send failed',
        'request_id': 'r2',
        'backend_server': 's1',
    },
)


class Log:
    """A log handler that writes to a pipe or a file."""

    def __init__(self, descriptor, path=None):
        self.handler = BoundedHandler(descriptor)
        self.handler.setFormatter(JsonFormatter({}, ()))
        self.path = path
        self.duration_s = 0

    def write(self, message, *, routine):
        """Emit a record."""
        record = logging.makeLogRecord(
            {'msg': message, 'routine': routine, 'levelname': 'INFO'},
        )
        self.handler.emit(record)

    def lines(self):
        """Return the lines written to the file."""
        return [json.loads(line) for line in self.path.open()]


@given('a log whose reader keeps up', target_fixture='log')
def _reading(tmp_path):
    path = tmp_path / 'log'
    return Log(os.open(path, os.O_WRONLY | os.O_CREAT), path)


@given('a log whose reader does not read', target_fixture='log')
def _not_reading():
    reader, writer = os.pipe()
    yield Log(writer)
    os.close(reader)
    os.close(writer)


@when(
    parsers.parse(
        '{routine:d} routine lines and {failed:d} failure lines are '
        'written at once',
    ),
)
def _mixed(log, routine, failed):
    for number in range(routine):
        log.write('served', routine=True)
        if number % (routine // failed) == 0:
            log.write('failed', routine=False)
    log.write('last', routine=False)


@when(parsers.parse('{count:d} failure lines are written at once'))
def _failures(log, count):
    started_s = time.monotonic()
    for _ in range(count):
        log.write('failed', routine=False)
    log.duration_s = time.monotonic() - started_s


@then(parsers.parse('the log has all {count:d} failure lines'))
def _all_failures(log, count):
    messages = [line['message'] for line in log.lines()]
    assert messages.count('failed') == count


@then(parsers.parse('the log has at most {most:d} routine lines'))
def _routine_lines(log, most):
    messages = [line['message'] for line in log.lines()]
    assert messages.count('served') <= most


@then('the log has the number of dropped lines')
def _dropped_lines(log):
    lines = log.lines()
    dropped = sum(
        line['count']
        for line in lines
        if line['message'] == 'log lines left out'
    )
    served = [line for line in lines if line['message'] == 'served']
    assert dropped + len(served) == 1000


@then(parsers.parse('writing took less than {most:d} s'))
def _duration(log, most):
    assert log.duration_s < most


@then('at most 1 MiB is buffered')
def _buffered(log):
    assert log.handler.pending_bytes <= PENDING_LIMIT_BYTES
    assert sum(map(len, log.handler.pending)) <= PENDING_LIMIT_BYTES


@given('the logs of two hosts', target_fixture='paths')
def _logs(tmp_path):
    paths = []
    for host in ('a', 'b'):
        path = tmp_path / f'{host}.log'
        lines = [json.dumps(line) for line in LINES if line['host'] == host]
        path.write_text('\n'.join(['not a log line', *lines]))
        paths.append(str(path))
    return paths


@when(
    parsers.parse('request {name} is explained'),
    target_fixture='output',
)
def _explain(paths, name, capsys):
    assert main(['explain', name, *paths]) == 0
    return capsys.readouterr().out.splitlines()


@then(
    'the output has the failed send, the suspect server and the end, in order'
)
def _in_order(output):
    assert [line.split(':')[0].split(' a ')[1] for line in output] == [
        'send failed',
        'no report',
        'request ended',
    ]


@then('a request that is in no log ends with exit code 1')
def _unknown(paths):
    assert main(['explain', 'r7', *paths]) == 1
