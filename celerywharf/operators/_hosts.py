"""The operators' calls on a host itself."""

from __future__ import annotations

import asyncio
import signal
from http import HTTPStatus

from celerywharf import __version__
from celerywharf.operators._handlers import OperatorHandler

ANSWER_TIME_S = 0.05


class StatusHandler(OperatorHandler):
    """``GET /operator/status``: what this host is and does."""

    def get(self) -> None:
        """Describe the host."""
        identity = self.host.identity
        links = self.host.links
        self.write_json(
            {
                'version': __version__,
                'host': identity.name,
                'region': identity.region,
                'availability_zone': identity.availability_zone,
                'inner': str(identity.inner),
                'incarnation': identity.incarnation,
                'leaving': self.host.leaving,
                'reason': self.host.not_serving_reason(),
                'revision': self.host.catalogue.revision,
                'hosts': len(self.host.membership.live()),
                'backend_servers': len(self.host.catalogue.backend_servers),
                'client_accounts': len(self.host.catalogue.client_accounts),
                'services': len(self.host.catalogue.services),
                'inner_bytes_sent': sum(links.bytes_sent.values()),
                'inner_bytes_received': sum(links.bytes_received.values()),
            },
        )


class HostsHandler(OperatorHandler):
    """``GET /operator/hosts``: the hosts this one knows to be alive."""

    def get(self) -> None:
        """List them with their addresses."""
        hosts = [
            {
                'host': peer.name,
                'region': peer.region,
                'availability_zone': peer.availability_zone,
                'inner': str(peer.inner),
                'edge': str(peer.edge) if peer.edge else None,
                'leaving': peer.leaving,
            }
            for peer in self.host.membership.live()
        ]
        self.write_json({'hosts': hosts})


class DrainHandler(OperatorHandler):
    """``POST /operator/host/drain``: finish what runs, then stop."""

    def post(self) -> None:
        """Leave as on SIGTERM; the answer does not wait for the end."""
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_TIME_S, signal.raise_signal, signal.SIGTERM)
        content = {'host': self.host.identity.name, 'leaving': True}
        self.write_json(content, HTTPStatus.ACCEPTED)


HOST_ROUTES = (
    ('/operator/status', StatusHandler),
    ('/operator/hosts', HostsHandler),
    ('/operator/host/drain', DrainHandler),
)
