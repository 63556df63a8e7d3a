"""HTTP endpoints for health check and metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from celerywharf.metrics import EXPOSITION_CONTENT_TYPE, Metrics, expose
from celerywharf.platform import READY_PATH


@dataclass(frozen=True, slots=True)
class StatusPage:
    """The data behind the endpoints.

    Attributes:
        ready: returns whether the front should get new connections.
        metrics: counters and histograms of the front.
    """

    ready: Callable[[], bool]
    metrics: Metrics


class ReadyHandler(RequestHandler):
    """Answers 200 while the front should get new connections, else 503."""

    def initialize(self, page: StatusPage) -> None:
        """Store the data passed by the route."""
        self.page = page

    def get(self) -> None:
        """Answer the load balancer's health check."""
        if not self.page.ready():
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)


class MetricsHandler(RequestHandler):
    """Answers with all metrics in Prometheus' text exposition format."""

    def initialize(self, page: StatusPage) -> None:
        """Store the data passed by the route."""
        self.page = page

    def get(self) -> None:
        """Answer a Prometheus scrape."""
        self.set_header('Content-Type', EXPOSITION_CONTENT_TYPE)
        self.write(expose(self.page.metrics))


def build_status_server(page: StatusPage) -> HTTPServer:
    """Return the HTTP server for health check and metrics."""
    options = {'page': page}
    application = Application(
        [
            (READY_PATH, ReadyHandler, options),
            ('/metrics', MetricsHandler, options),
        ],
        log_function=lambda _handler: None,
    )
    return HTTPServer(application)
