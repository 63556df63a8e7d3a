"""``GET /metrics`` of an entry host."""

from __future__ import annotations

from celerywharf.edge import EdgeHandler
from celerywharf.metrics import EXPOSITION_CONTENT_TYPE, expose


class MetricsHandler(EdgeHandler):
    """``GET /metrics``: needs no key, for scrapers."""

    def get(self) -> None:
        """Respond with all metrics as text."""
        self.set_header('Content-Type', EXPOSITION_CONTENT_TYPE)
        self.write(expose(self.host.metrics))


METRIC_ROUTES = (('/metrics', MetricsHandler),)
