"""Streams that wait at a front while its engine is full, real processes."""

import secrets
import signal
import threading
import time

import pytest

from standins.fronts import STREAM_PATH, PlatformRig, request_headers, send

READING_S = 0.8
STREAMS = 6
SPACING_S = 0.05
ANSWERED_S = 1.5  # the front ends later, after its grace time
OK = 200
REFUSED = 503


@pytest.fixture
def rig(fleet):
    """Start an engine that runs one stream at a time, and a front."""
    started = PlatformRig(fleet)
    started.add_server(
        'e1', 'narrator', slots=1, prefill_ms=READING_S * 1000, event_ms=2
    )
    started.add_front('f1', grace_s=6)
    routes = started.configuration()['routes']
    patient = {**routes[0], 'latencyTargetMs': 12_000, 'timeoutMs': 20_000}
    started.configure(routes=[patient, *routes[1:]])
    time.sleep(1)
    return started


class Callers:
    """Streams that are sent side by side."""

    def __init__(self, rig):
        self.rig = rig
        self.answers = {}
        self.threads = []

    def start(self):
        """Send one stream that is read alone, then others at once."""
        self.send()
        for _ in range(STREAMS):
            thread = threading.Thread(target=self.send)
            thread.start()
            self.threads.append(thread)
            time.sleep(SPACING_S)

    def send(self):
        """Send a stream and keep its answer."""
        headers = request_headers(Token_Count='100,70', Deadline_Ms='20000')
        self.answers[headers['Attempt-Id']] = send(
            self.rig.fronts['f1'],
            STREAM_PATH,
            body=secrets.token_bytes(9),
            headers=headers,
            timeout_s=20,
        )

    def join(self):
        """Wait for all answers."""
        for thread in self.threads:
            thread.join()

    def with_status(self, status):
        """Return the ids of the streams that were answered so."""
        return {
            request_id
            for request_id, answer in self.answers.items()
            if answer.status == status
        }


def test_streams_that_wait_are_all_served(rig):
    callers = Callers(rig)
    callers.start()
    # The engine runs one and has one in its queue; the others wait here.
    report_runs = len(rig.runs('e1'))
    callers.join()
    assert report_runs < STREAMS
    assert callers.with_status(OK) == callers.answers.keys()
    assert all(answer.whole for answer in callers.answers.values())


def test_a_front_that_stops_refuses_truly_and_soon_what_waits(rig):
    callers = Callers(rig)
    callers.start()
    stopped_s = time.monotonic()
    front = rig.fleet.members['f1']
    front.process.send_signal(signal.SIGTERM)
    while not callers.with_status(REFUSED):
        assert time.monotonic() - stopped_s < ANSWERED_S
        time.sleep(SPACING_S)
    callers.join()
    refused = callers.with_status(REFUSED)
    ran = {run['request_id'] for run in rig.runs('e1')}
    assert not refused & ran
    assert callers.with_status(OK) | refused == callers.answers.keys()
    for request_id in refused:
        answer = callers.answers[request_id]
        assert 0 < float(answer.headers['retry-after']) <= 20 / 3
