"""Puts the routes of all parts behind one HTTP server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.web import Application

from celerywharf.edge._handlers import EdgeHandler, UnknownPathHandler

if TYPE_CHECKING:
    from celerywharf.hosts import Host

HEADER_SLACK = 4
IDLE_TIMEOUT_S = 300
BODY_TIMEOUT_S = 30

Route = tuple[str, type[EdgeHandler]]


def build_server(host: Host, routes: list[Route]) -> HTTPServer:
    """Return a server for the routes, not yet listening.

    The hard bounds leave room above the limits of the settings, so that a
    caller just beyond a limit gets an answer instead of a closed connection.
    """
    limits = host.settings.limits
    application = Application(
        [(path, handler, {'host': host}) for path, handler in routes],
        default_handler_class=UnknownPathHandler,
        default_handler_args={'host': host},
        log_function=lambda _handler: None,
    )
    return HTTPServer(
        application,
        max_header_size=HEADER_SLACK * limits.header_bytes,
        max_body_size=HEADER_SLACK * limits.body_bytes,
        max_buffer_size=HEADER_SLACK * limits.body_bytes,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )
