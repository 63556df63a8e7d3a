"""Serves requests that other hosts pass on."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine

from celerywharf.forwarding import Forwarder, IncomingRequest
from celerywharf.fronts._admission import (
    AdmissionController,
    Admitted,
    Denied,
)
from celerywharf.fronts._callers import HttpCaller
from celerywharf.fronts._gateway import Gateway, RequestReader
from celerywharf.peers import (
    RELAY_HEADER,
    RelayAdmission,
    RelayReport,
    RelayResult,
    read_relay,
    write_report,
)


class RelayGateway(Gateway):
    """Serves the connections of other hosts.

    Attributes:
        key: proves that a request comes from a host.
        relays: decides which requests are taken in.
        requests: the readers of requests in progress, by request id.
    """

    def __init__(
        self,
        admission: AdmissionController,
        forwarder: Forwarder,
        relays: RelayAdmission,
        key: bytes,
    ) -> None:
        super().__init__(admission, forwarder)
        self.relays = relays
        self.key = key
        self.requests: dict[str, RelayReader] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> RequestReader:
        """Return the reader of the next request of a connection."""
        reader = RelayReader(self, request_conn)
        self.readers[server_conn] = reader
        return reader


class RelayCaller(HttpCaller):
    """Adds to each answer what became of the request.

    Attributes:
        declined: the request is not tried here.
        failure: the error of this host; None unless there is one.
    """

    def __init__(self, connection: HTTPConnection) -> None:
        super().__init__(connection)
        self.declined = False
        self.failure: RelayReport | None = None

    def answer(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Write a complete answer."""
        super().answer(status, self._reported(headers), body)

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write status and headers of a backend server's stream."""
        super().begin(status, self._reported(headers))

    def fail(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Write an error of this host."""
        # An error that says when to come back is the caller's to see; another
        # host may find a server where this one found none.
        tries_elsewhere = self.declined or (
            status == HTTPStatus.SERVICE_UNAVAILABLE and retry_after_s is None
        )
        self.failure = RelayReport(
            RelayResult.declined if tries_elsewhere else RelayResult.failed,
            reason,
            retry_after_s or 0,
        )
        self.answer(int(status), {}, b'')

    def _reported(self, headers: Mapping[str, str]) -> dict[str, str]:
        report = self.failure or RelayReport(
            RelayResult.served,
            software_version=self.software_version or '',
            leaving=self.leaving,
        )
        return {**headers, RELAY_HEADER: write_report(report)}


class RelayReader(RequestReader):
    """Reads a request that another host passes on."""

    gateway: RelayGateway
    caller_class = RelayCaller

    def headers_received(
        self, start_line: RequestStartLine, headers: HTTPHeaders
    ) -> None:
        """Check that the request is from a host; close the connection else."""
        try:
            self.relay = read_relay(
                headers.get(RELAY_HEADER, ''),
                start_line.method,
                start_line.path,
                self.gateway.key,
            )
        except ValueError:
            self.gateway.context.metrics.count('relays_rejected')
            self.close()
            return
        headers.pop(RELAY_HEADER, None)
        super().headers_received(start_line, headers)

    def finish(self) -> None:
        """Serve the request, or say whether it is in progress."""
        if self.caller.closed or self.relay is None:
            return
        if self.relay.asks:
            in_progress = self.relay.request_id in self.gateway.requests
            status = (
                HTTPStatus.NO_CONTENT if in_progress else HTTPStatus.NOT_FOUND
            )
            self.caller.close_after_answer = True
            self.caller.answer(status, {}, b'')
            return
        super().finish()

    def admit(self) -> Admitted | Denied:
        """Admit the request by this host's own configuration and load."""
        self.caller.declined = True
        admitted = self.gateway.admission.admit_relayed(
            self.start_line.path, self.host, self.relay
        )
        if isinstance(admitted, Denied):
            return admitted
        if not self.gateway.relays.admits(len(self.body)):
            return _declined('this host takes in no more requests')
        reachability = self.gateway.context.health.reachability
        services = (part.service for part in admitted.route.services)
        if all(map(reachability.is_cut_off, services)):
            return _declined('this host does not reach the service either')
        self.caller.declined = False
        return admitted

    async def _serve(self, request: IncomingRequest) -> None:
        request_id = request.headers.request_id
        self.gateway.requests[request_id] = self
        self.gateway.relays.started(len(self.body))
        try:
            await super()._serve(request)
        finally:
            self.gateway.relays.ended(len(self.body))
            if self.gateway.requests.get(request_id) is self:
                self.gateway.requests.pop(request_id)


def _declined(reason: str) -> Denied:
    return Denied(HTTPStatus.SERVICE_UNAVAILABLE, reason)
