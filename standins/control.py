"""Switches, records and health checks, which all stand-ins share."""

import asyncio
import json
import socket
import struct
from dataclasses import asdict, dataclass, fields
from typing import Any

from tornado.iostream import IOStream
from tornado.locks import Condition
from tornado.web import Application, HTTPError, RequestHandler

MS_PER_S = 1000
BAD_REQUEST = 400
UNAVAILABLE = 503


@dataclass(slots=True)
class Switches:
    """Failure switches that every stand-in has.

    Attributes:
        freeze: hold all calls until it is false again.
        refuse: answer all calls as not run.
        late_ms: delay of each call.
    """

    freeze: bool = False
    refuse: bool = False
    late_ms: float = 0


class Standin:
    """Base of stand-ins: what their handlers need.

    Attributes:
        switches: failure switches, changed by ``POST /control``.
        changed: notified when switches or other state have changed.
    """

    def __init__(self, switches: Switches) -> None:
        self.switches = switches
        self.changed = Condition()

    def record(self) -> dict[str, Any]:
        """Return what happened, as ground truth for checks."""
        raise NotImplementedError

    def on_switches_changed(self) -> None:
        """Apply changed switches that are not read at each call."""


def change_switches(switches: Switches, changes: dict[str, Any]) -> None:
    """Set switches by name.

    Raises:
        KeyError: a name is not a switch; none was changed.
    """
    known = {field.name for field in fields(switches)}
    unknown = set(changes) - known
    if unknown:
        raise KeyError(', '.join(sorted(unknown)))
    for name, setting in changes.items():
        setattr(switches, name, setting)


def reset(connection: IOStream) -> None:
    """Close a connection with a TCP reset."""
    if connection.closed():
        return
    linger = struct.pack('ii', 1, 0)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


class JsonHandler(RequestHandler):
    """A call with JSON bodies, to which no switches apply."""

    def initialize(self, standin: Any) -> None:
        """Bind the call to its stand-in."""
        self.standin = standin

    def read_json(self) -> dict[str, Any]:
        """Return the JSON object of the body; answer 400 to anything else."""
        try:
            body = json.loads(self.request.body)
        except ValueError:
            raise HTTPError(BAD_REQUEST) from None
        if not isinstance(body, dict):
            raise HTTPError(BAD_REQUEST)
        return body

    def answer(self, status: int, body: dict[str, Any]) -> None:
        """Finish with a status and a JSON object."""
        self.set_status(status)
        self.finish(body)

    def drop_connection(self) -> None:
        """Reset the connection instead of an answer."""
        reset(self.detach())


class ProtocolHandler(JsonHandler):
    """A call of the stand-in's protocol, to which the switches apply."""

    async def prepare(self) -> None:
        """Delay, hold or refuse the call according to the switches."""
        switches = self.standin.switches
        if switches.late_ms:
            await asyncio.sleep(switches.late_ms / MS_PER_S)
        while switches.freeze:
            await self.standin.changed.wait()
        if switches.refuse:
            self.refuse()

    def refuse(self) -> None:
        """Answer that the call was not run."""
        self.set_header('Celerywharf-Not-Run', '1')
        self.answer(UNAVAILABLE, {'code': 'refused'})


class _ControlHandler(JsonHandler):
    def get(self) -> None:
        self.finish(asdict(self.standin.switches))

    def post(self) -> None:
        try:
            change_switches(self.standin.switches, self.read_json())
        except KeyError as error:
            self.answer(BAD_REQUEST, {'unknown_switch': error.args[0]})
            return
        self.standin.on_switches_changed()
        self.standin.changed.notify_all()
        self.finish(asdict(self.standin.switches))


class _RecordHandler(JsonHandler):
    def get(self) -> None:
        self.finish(self.standin.record())


class _HealthHandler(JsonHandler):
    def get(self) -> None:
        self.finish({'healthy': True})


def _skip_access_log(handler: RequestHandler) -> None:
    """Drop the access log."""


def make_application(standin: Standin, routes: list[Any]) -> Application:
    """Return the application with these routes and the common ones."""
    common = [
        ('/control', _ControlHandler),
        ('/record', _RecordHandler),
        ('/healthz', _HealthHandler),
    ]
    bound = [
        (path, handler, {'standin': standin})
        for path, handler in (*common, *routes)
    ]
    return Application(bound, log_function=_skip_access_log)
