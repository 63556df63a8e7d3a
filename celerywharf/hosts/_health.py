"""Health check for the platform's load balancer."""

from __future__ import annotations

from http import HTTPStatus

from celerywharf.edge import EdgeHandler


class HealthHandler(EdgeHandler):
    """``GET /healthz``: 200 while the host accepts new work."""

    def get(self) -> None:
        """Respond with 503 before the table has been read and when leaving."""
        reason = self.host.not_serving_reason()
        status = HTTPStatus.OK
        if reason:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        content = {
            'host': self.host.identity.name,
            'incarnation': self.host.identity.incarnation,
            'leaving': self.host.leaving,
            'reason': reason,
            'revision': self.host.catalogue.revision,
        }
        self.write_json(content, status)


HEALTH_ROUTES = (('/healthz', HealthHandler),)
