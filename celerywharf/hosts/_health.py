"""The health check that the platform's balancer asks."""

from __future__ import annotations

from http import HTTPStatus

from celerywharf.edge import EdgeHandler


class HealthHandler(EdgeHandler):
    """``GET /healthz``: 200 while the host takes new work."""

    def get(self) -> None:
        """Answer 503 before the table is read and once leaving."""
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
