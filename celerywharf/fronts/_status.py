"""HTTP endpoints for health check and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from celerywharf.fronts._readiness import Conditions, Readiness
from celerywharf.metrics import EXPOSITION_CONTENT_TYPE, Metrics, expose
from celerywharf.platform import READY_PATH, boot_time_s


@dataclass(frozen=True, slots=True)
class StatusPage:
    """The data behind the endpoints.

    Attributes:
        readiness: checks the conditions for new connections.
        metrics: counters and histograms of the front.
    """

    readiness: Readiness
    metrics: Metrics


class ReadyHandler(RequestHandler):
    """Answers 200 while the front should get new connections, else 503."""

    def initialize(self, page: StatusPage) -> None:
        """Store the data passed by the route."""
        self.page = page

    def get(self) -> None:
        """Answer the load balancer's health check."""
        unmet = self.page.readiness.check()
        if unmet:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            self.write({'unmet': unmet})


class MetricsHandler(RequestHandler):
    """Answers with all metrics in Prometheus' text exposition format."""

    def initialize(self, page: StatusPage) -> None:
        """Store the data passed by the route."""
        self.page = page

    def get(self) -> None:
        """Answer a Prometheus scrape."""
        self.set_header('Content-Type', EXPOSITION_CONTENT_TYPE)
        self.write(expose(self.page.metrics))


def build_status_server(conditions: Conditions, metrics: Metrics) -> HTTPServer:
    """Return the HTTP server for health check and metrics.

    Args:
        conditions: what must hold for the front to get new connections.
        metrics: counters and histograms of the front.
    """
    readiness = Readiness(conditions, boot_time_s, metrics)
    options = {'page': StatusPage(readiness, metrics)}
    application = Application(
        [
            (READY_PATH, ReadyHandler, options),
            ('/metrics', MetricsHandler, options),
        ],
        log_function=lambda _handler: None,
    )
    return HTTPServer(application)
