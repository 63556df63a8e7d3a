"""Stand-in for a backend server of the users' platform.

It serves plain calls and streams; the state of a stream can be copied to
another server, which then continues it without prefill.
"""

import asyncio
import json
import os
import random
import secrets
import time
from dataclasses import dataclass, field
from typing import Any, TextIO

from tornado.iostream import StreamClosedError
from tornado.web import Application

from standins import control
from standins.admitting import DEFAULT_URGENCY, URGENCY, UrgentSlots
from standins.copies import CopyLink
from standins.endless import ANSWERS, EndlessAnswer

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
MISDIRECTED = 421
FAILURE = 500
UNAVAILABLE = 503
TOKENS_PER_EVENT = 7
LEASE_NAME_BYTES = 4
MAX_LATE_S = 0.1
CRASH_DELAY_S = 0.06  # from the first bytes of an answer
CRASH_EXIT_CODE = 1
OTHER_ID = 'ffffffffffffffff'
LOGGED_FIELDS = (
    'number',
    'request_id',
    'method',
    'target',
    'account',
    'body',
    'first',
    'events',
    'state',
)


@dataclass(slots=True)
class ModelSwitches(control.Switches):
    """Failure switches of a backend server.

    Attributes:
        full: refuse all requests as not run.
        event_ms: time between events.
        prefill_ms: time to the first event of a run without a copy.
        work_ms: duration of a plain call.
        silent: run streams without sending their events.
        break_after: reset each stream after that many events.
        cut: run plain calls and reset the connection instead of an answer.
        other_id: answer with the id of another request.
        unsigned: omit the signature, the header Server-Stamp.
        encoded: declare the answer's content encoding as gzip.
        twice: send a second complete answer after each answer to a call.
        shorten: declare one byte more than the answer to a call has.
        status: HTTP status of the answers to plain calls.
        fail_share: part of the plain calls that are answered with a failure.
        endless: answer without end; a key of `standins.endless.ANSWERS`.
        limit_per_s: state this request limit in each answer.
        unframed: answer without a length or chunks and close the connection.
        leaving: state in each answer that the server leaves.
        retry_after: state this wait in each refusal; empty for none.  Of
            several waits with commas between, each refusal states the next.
        load: state this load in each answer; empty for none.
        refusal_ms: time that a refusal takes.
        unstated: omit from refusals that the request has not run.
        stale_refusal: id of another request that refusals state.
        brittle: state in each answer that refusing more requests than this in
            a second makes the server fall over.
        rooms: requests and leases that it holds at a time; None if it grants
            no leases.
        forgetful: forget each lease once it is granted, as by a restart.
        crash_on: name of a prompt part; the process ends as soon as it begins
            to write an answer to a request that has it.
        crash_request: account, target and body of a request, with spaces
            between; the process ends as soon as it runs one like it.
        slots: requests that run at once, others wait; 0 for no limit.
    """

    full: bool = False
    event_ms: float = 20
    prefill_ms: float = 20
    work_ms: float = 1
    silent: bool = False
    break_after: int | None = None
    cut: bool = False
    other_id: bool = False
    unsigned: bool = False
    encoded: bool = False
    twice: bool = False
    shorten: bool = False
    status: int = OK
    fail_share: float = 0
    endless: str = ''
    limit_per_s: float | None = None
    unframed: bool = False
    leaving: bool = False
    retry_after: str = ''
    load: str = ''
    refusal_ms: float = 0
    unstated: bool = False
    stale_refusal: str = ''
    brittle: float | None = None
    rooms: int | None = None
    forgetful: bool = False
    crash_on: str = ''
    crash_request: str = ''
    slots: int = 0


@dataclass(slots=True)
class ServedRun:
    """What the server did for one request; its fields go into ``/record``.

    Attributes:
        number: index of the run in this process.
        target: path and query of the request.
        first: id of the last event that the caller already has.
        from_copy: whether the run continues a copied stream.
        events: id of the last event generated.
        state: ``running``, ``ended``, ``broken`` or ``abandoned``.
        ended_s: monotonic seconds, 0 before the end.
        began_s: monotonic seconds.
    """

    number: int
    request_id: str
    method: str
    target: str
    account: str | None
    body: str
    first: int = 0
    from_copy: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    events: int = 0
    state: str = 'running'
    ended_s: float = 0
    began_s: float = field(default_factory=time.monotonic)


class ModelServer(control.Standin):
    """One process lifetime of a backend server.

    Attributes:
        copies: events of the streams copied to this server, by request id.
        refused_s: when requests were refused, monotonic seconds.
        probed_s: when reports were fetched.
        leases: when leases end, monotonic seconds, by name.
        leases_used: names of the leases that requests have used.
        leases_dropped: names of the leases that were released.
        copy_links: links to servers that keep copies, by their address.
    """

    def __init__(self, name: str, record_file: TextIO | None = None) -> None:
        super().__init__(ModelSwitches())
        self.name = name
        self.record_file = record_file
        self.born_ms = int(time.time() * control.MS_PER_S)
        self.runs: list[ServedRun] = []
        self.copies: dict[str, int] = {}
        self.refused_s: list[float] = []
        self.probed_s: list[float] = []
        self.slots = UrgentSlots()
        self.leases: dict[str, float] = {}
        self.leases_used: list[str] = []
        self.leases_dropped: list[str] = []
        self.copy_links: dict[str, CopyLink] = {}

    def record(self) -> dict[str, Any]:
        """Return all runs."""
        return {
            'name': self.name,
            'born': self.born_ms,
            'refused_s': self.refused_s,
            'probed_s': self.probed_s,
            'leases_used': self.leases_used,
            'leases_dropped': self.leases_dropped,
            'runs': [
                {name: getattr(run, name) for name in run.__slots__}
                for run in self.runs
            ],
        }

    def write_record(self, event: str, run: ServedRun) -> None:
        """Append an event of a run to the record file, if there is one."""
        if self.record_file is None:
            return
        line = {
            'event': event,
            'at_s': time.monotonic(),
            **{name: getattr(run, name) for name in LOGGED_FIELDS},
        }
        print(json.dumps(line), file=self.record_file, flush=True)

    def report(self) -> dict[str, Any]:
        """Return the load in the format of the platform's engines."""
        running = [run for run in self.runs if run.state == 'running']
        return {
            'queued': self.slots.waiting,
            'running': len(running),
            'kvUsed': 0,
            'kvTotal': 88000,
            'born': self.born_ms,
            'runs': [
                [run.request_id, 0, run.events, 5]
                for run in running
                if run.events
            ],
        }

    def take_lease(self, term_s: float) -> str | None:
        """Return the name of a new lease; None if there is no room."""
        now = time.monotonic()
        self.leases = {
            name: ends_s for name, ends_s in self.leases.items() if ends_s > now
        }
        running = sum(run.state == 'running' for run in self.runs)
        if running + len(self.leases) >= self.switches.rooms:
            return None
        name = secrets.token_hex(LEASE_NAME_BYTES)
        if not self.switches.forgetful:
            self.leases[name] = now + term_s
        return name

    def use_lease(self, name: str) -> bool:
        """Return whether a request may use a lease, which ends it."""
        ends_s = self.leases.pop(name, 0)
        self.leases_used.append(name)
        return ends_s > time.monotonic()

    async def copy(self, address: str, run: ServedRun) -> None:
        """Send the state of a run to another server."""
        if address not in self.copy_links:
            self.copy_links[address] = CopyLink(address)
        await self.copy_links[address].copy(run.request_id, run.events)


class _ReportHandler(control.ProtocolHandler):
    def get(self) -> None:
        self.standin.probed_s.append(time.monotonic())
        if self.standin.switches.leaving:
            self.set_header('Server-Leaving', '1')
        self.answer(OK, self.standin.report())


class _LeaseHandler(control.ProtocolHandler):
    def post(self) -> None:
        if self.standin.switches.rooms is None:
            self.answer(NOT_FOUND, {})
            return
        term_s = self.read_json()['ttlMs'] / control.MS_PER_S
        name = self.standin.take_lease(term_s)
        if name is None:
            self.answer(UNAVAILABLE, {})
        else:
            self.answer(OK, {'hold': name})


class _ReleaseHandler(control.ProtocolHandler):
    SUPPORTED_METHODS = ('DELETE',)

    def delete(self, name: str) -> None:
        self.standin.leases.pop(name, None)
        self.standin.leases_dropped.append(name)
        self.answer(OK, {})


class _CopyHandler(control.ProtocolHandler):
    def post(self) -> None:
        self.standin.copies.update(self.read_json())
        self.answer(OK, {})


class _ServeHandler(control.ProtocolHandler):
    SUPPORTED_METHODS = ('GET', 'POST')

    def initialize(self, standin: ModelServer) -> None:
        """Bind the call to its stand-in, before a run is started."""
        super().initialize(standin)
        self.served_run: ServedRun | None = None
        self.gone = asyncio.get_running_loop().create_future()

    async def get(self, *_: Any) -> None:
        await self.serve()

    async def post(self, *_: Any) -> None:
        await self.serve()

    async def serve(self) -> None:
        """Run or refuse a request."""
        if self.standin.switches.limit_per_s is not None:
            limit_per_s = str(self.standin.switches.limit_per_s)
            self.set_header('Server-Limit', limit_per_s)
        if self.standin.switches.leaving:
            self.set_header('Server-Leaving', '1')
        if self.standin.switches.load:
            self.set_header('Engine-Load', self.standin.switches.load)
        if self.standin.switches.brittle is not None:
            brittle = str(self.standin.switches.brittle)
            self.set_header('Server-Brittle', brittle)
        refusal_status = self.refusal_status()
        if refusal_status:
            await self.refuse(refusal_status)
            return
        urgency = int(self.request.headers.get(URGENCY, DEFAULT_URGENCY))
        slots = self.standin.slots
        if await slots.enter(urgency, self.standin.switches.slots, self.gone):
            try:
                await self.serve_run()
            finally:
                slots.leave()

    async def serve_run(self) -> None:
        """Run a request that has a slot."""
        self.served_run = self.start_run()
        await self.crash_if_requested(self.served_run)
        try:
            await self.run(self.served_run)
        except StreamClosedError:
            self.on_connection_close()
        if self.served_run.state != 'abandoned':
            self.served_run.ended_s = time.monotonic()
            self.standin.write_record('end', self.served_run)

    async def refuse(self, status: int) -> None:
        """Answer that the request does not run."""
        switches = self.standin.switches
        refused_s = self.standin.refused_s
        refused_s.append(time.monotonic())
        if switches.retry_after:
            waits = switches.retry_after.split(',')
            wait = waits[min(len(refused_s), len(waits)) - 1]
            self.set_header('Retry-After', wait)
        if not switches.unstated:
            self.set_header('Not-Run', '1')
        if switches.stale_refusal:
            self.set_header('Attempt-Id', switches.stale_refusal)
        self.set_header('Instance-Id', self.standin.name)
        await asyncio.sleep(switches.refusal_ms / control.MS_PER_S)
        self.answer(status, {})

    def on_connection_close(self) -> None:
        """Mark the run as abandoned by its caller."""
        if not self.gone.done():
            self.gone.set_result(None)
        if self.served_run is not None and self.served_run.state == 'running':
            self.served_run.state = 'abandoned'
            self.served_run.ended_s = time.monotonic()
            self.standin.write_record('end', self.served_run)

    def refusal_status(self) -> int | None:
        """Return the status of a refusal, None if the request may run."""
        headers = self.request.headers
        if headers.get('Expect-Instance') not in {None, self.standin.name}:
            return MISDIRECTED
        if 'Attempt-Id' not in headers:
            return BAD_REQUEST
        if self.standin.switches.full:
            return UNAVAILABLE
        copy = headers.get('Kv-From')
        if copy and copy.rpartition('/')[2] not in self.standin.copies:
            return UNAVAILABLE
        lease = headers.get('Hold')
        if lease and not self.standin.use_lease(lease):
            return UNAVAILABLE
        return None

    def start_run(self) -> ServedRun:
        """Record a new run."""
        headers = self.request.headers
        run = ServedRun(
            number=len(self.standin.runs),
            request_id=headers['Attempt-Id'],
            method=self.request.method,
            target=self.request.uri,
            account=headers.get('Tenant'),
            body=self.request.body.decode('latin-1'),
            first=int(headers.get('Last-Event-Id', 0)),
            from_copy='Kv-From' in headers,
            headers={name.lower(): text for name, text in headers.items()},
        )
        self.standin.runs.append(run)
        self.standin.write_record('begin', run)
        return run

    async def run(self, run: ServedRun) -> None:
        """Set the headers and serve a stream or a plain call."""
        switches = self.standin.switches
        if switches.endless:
            await self.run_endless(run, ANSWERS[switches.endless])
            return
        echoed = OTHER_ID if switches.other_id else run.request_id
        self.set_header('Attempt-Id', echoed)
        if not switches.unsigned:
            self.set_header('Server-Stamp', f'stamp.{self.standin.name}')
        if switches.encoded:
            self.set_header('Content-Encoding', 'gzip')
        if switches.unframed:
            await self.run_unframed(run)
        elif 'Token-Count' in self.request.headers:
            await self.run_stream(run)
        else:
            await self.run_call(run)

    async def crash_if_requested(self, run: ServedRun) -> None:
        """End the process without an answer if the request crashes it."""
        crash_request = self.standin.switches.crash_request
        if crash_request == f'{run.account} {run.target} {run.body}':
            await asyncio.sleep(CRASH_DELAY_S)
            os._exit(CRASH_EXIT_CODE)

    async def crash_if_due(self) -> None:
        """End the process if a part of the prompt crashes it."""
        crash_on = self.standin.switches.crash_on
        entries = self.request.headers.get('Prompt-Prefix', '').split(',')
        if not crash_on or crash_on not in {
            entry.partition(':')[0] for entry in entries
        }:
            return
        await self.flush()
        await asyncio.sleep(CRASH_DELAY_S)
        os._exit(CRASH_EXIT_CODE)

    async def run_endless(self, run: ServedRun, answer: EndlessAnswer) -> None:
        """Send an answer until the caller closes the connection.

        Raises:
            StreamClosedError: the caller has disconnected.
        """
        stream = self.detach()
        await stream.write(answer.start.replace('ID', run.request_id).encode())
        repeated = answer.repeated.encode()
        while True:
            await stream.write(repeated)
            await asyncio.sleep(answer.period_s)

    async def run_unframed(self, run: ServedRun) -> None:
        """Answer a call or a stream, and end it by closing the connection.

        With `break_after` a stream ends inside an event, by `cut` a call is
        reset inside its body.

        Raises:
            StreamClosedError: the caller has disconnected.
        """
        switches = self.standin.switches
        stream = self.detach()
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {run.request_id}\r\n'
            f'Server-Stamp: stamp.{self.standin.name}\r\n'
            'Connection: close\r\n\r\n'
        )
        await stream.write(head.encode())
        if 'Token-Count' not in self.request.headers:
            body = json.dumps({'id': run.request_id, 'by': self.standin.name})
            await stream.write(body.encode())
            run.state = 'ended'
            if switches.cut:
                control.reset(stream)
            stream.close()
            return
        _, tokens = map(int, self.request.headers['Token-Count'].split(','))
        for number in range(run.first + 1, tokens // TOKENS_PER_EVENT + 1):
            await asyncio.sleep(switches.event_ms / control.MS_PER_S)
            event = f'id: {number}\ndata: word-{number}\n\n'
            if switches.break_after == number - run.first - 1:
                await stream.write(event[:-1].encode())
                run.state = 'broken'
                break
            await stream.write(event.encode())
            run.events = number
        if run.state == 'running':
            run.state = 'ended'
        stream.close()

    async def run_call(self, run: ServedRun) -> None:
        """Answer a plain call with its id and this server's name."""
        switches = self.standin.switches
        await asyncio.sleep(switches.work_ms / control.MS_PER_S)
        await self.crash_if_due()
        run.state = 'ended'
        if switches.cut:
            self.drop_connection()
            return
        body = json.dumps({'id': run.request_id, 'by': self.standin.name})
        if switches.shorten or switches.twice:
            await self.write_raw(body, run)
            return
        fails = random.random() < switches.fail_share
        self.set_status(FAILURE if fails else switches.status)
        self.finish(body)

    async def write_raw(self, body: str, run: ServedRun) -> None:
        """Write an answer that violates HTTP, for `twice` and `shorten`."""
        short = 1 if self.standin.switches.shorten else 0
        answer = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {run.request_id}\r\n'
            f'Server-Stamp: stamp\r\nContent-Length: {len(body) + short}\r\n'
            f'Server-Leaving: {int(self.standin.switches.leaving)}\r\n'
            f'\r\n{body}'
        )
        if self.standin.switches.twice:
            answer += answer.replace(run.request_id, OTHER_ID)
        stream = self.detach()
        await stream.write(answer.encode())
        stream.close()

    async def run_stream(self, run: ServedRun) -> None:
        """Send the events after the last one that the caller has."""
        switches = self.standin.switches
        _, tokens = map(int, self.request.headers['Token-Count'].split(','))
        if not run.from_copy:
            await asyncio.sleep(switches.prefill_ms / control.MS_PER_S)
        self.set_header('Content-Type', 'text/event-stream')
        await self.crash_if_due()
        backup = self.request.headers.get('Kv-Backup')
        due_s = time.monotonic()
        withheld = False
        for number in range(run.first + 1, tokens // TOKENS_PER_EVENT + 1):
            due_s += switches.event_ms / control.MS_PER_S
            # After a pause of the process, events go on at their usual pace.
            due_s = max(due_s, time.monotonic() - MAX_LATE_S)
            await asyncio.sleep(due_s - time.monotonic())
            run.events = number
            if switches.break_after == number - run.first - 1:
                run.state = 'broken'
                self.drop_connection()
                return
            withheld |= switches.silent
            await self.send_event(number)
            if backup:
                await self.standin.copy(backup, run)
        if withheld:
            await self.break_off_when_changed(run)
        if run.state == 'running':
            run.state = 'ended'

    async def break_off_when_changed(self, run: ServedRun) -> None:
        """Break off a stream whose events were not sent, after the silence."""
        while self.standin.switches.silent:
            await self.standin.changed.wait()
        if run.state == 'running':
            run.state = 'broken'
            self.drop_connection()

    async def send_event(self, number: int) -> None:
        """Send one event, unless `silent` is set.

        Raises:
            StreamClosedError: the caller has disconnected.
        """
        if self.request.connection.stream.closed():
            raise StreamClosedError
        if not self.standin.switches.silent:
            self.write(f'id: {number}\ndata: word-{number}\n\n')
            await self.flush()


def make_model_application(server: ModelServer) -> Application:
    """Return the HTTP application of a backend server."""
    return control.make_application(
        server,
        [
            ('/api/report', _ReportHandler),
            ('/api/hold-take', _LeaseHandler),
            ('/api/hold-drop/(.*)', _ReleaseHandler),
            ('/copy', _CopyHandler),
            ('/(.*)', _ServeHandler),
        ],
    )
