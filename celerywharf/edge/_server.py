"""Builds the HTTP server for the routes of all parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.web import Application

from celerywharf.edge._handlers import EdgeHandler, UnknownPathHandler

if TYPE_CHECKING:
    from celerywharf.hosts import Host

LIMIT_FACTOR = 4
IDLE_TIMEOUT_S = 300
BODY_TIMEOUT_S = 30

Route = tuple[str, type[EdgeHandler]]


def build_server(host: Host, routes: list[Route]) -> HTTPServer:
    """Return a server for the routes, not yet listening.

    The server's own limits are ``LIMIT_FACTOR`` times those of the settings:
    beyond its own limit the server closes the connection, below it a handler
    can answer with an error.
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
        max_header_size=LIMIT_FACTOR * limits.header_bytes,
        max_body_size=LIMIT_FACTOR * limits.body_bytes,
        max_buffer_size=LIMIT_FACTOR * limits.body_bytes,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
    )
