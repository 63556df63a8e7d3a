"""Operator API: status of a host, list of hosts, draining."""

from __future__ import annotations

import asyncio
import signal
from http import HTTPStatus
from typing import Any

from celerywharf import __version__
from celerywharf.adapters import ListedHost
from celerywharf.exceptions import CelerywharfError
from celerywharf.membership import Peer
from celerywharf.operators._handlers import OperatorHandler

# Lets the response be sent before the host starts to drain.
SIGTERM_DELAY_S = 0.05


class StatusHandler(OperatorHandler):
    """``GET /operator/status``: identity and state of this host."""

    def get(self) -> None:
        """Respond with the status as JSON."""
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
    """``GET /operator/hosts``: live hosts, or the host named by ``?name=``."""

    async def get(self) -> None:
        """Respond with the hosts and their addresses.

        The membership of this host contains only some hosts of other zones.
        The others come from the platform's list, which lags and does not
        contain the public address (``edge``).
        """
        wanted_name = self.get_query_argument('name', '')
        if wanted_name:
            peer = await self.host.membership.find(wanted_name)
            self.write_json({'hosts': [_peer_document(peer)] if peer else []})
            return
        documents = {
            listed.name: _listed_document(listed)
            for listed in await self._platform_hosts()
        }
        for peer in self.host.membership.live():
            documents[peer.name] = _peer_document(peer)
        ordered = [documents[name] for name in sorted(documents)]
        self.write_json({'hosts': ordered})

    async def _platform_hosts(self) -> list[ListedHost]:
        try:
            return await self.host.platform.hosts()
        except CelerywharfError:
            return []


class DrainHandler(OperatorHandler):
    """``POST /operator/host/drain``: finish running requests, then stop."""

    def post(self) -> None:
        """Drain as on SIGTERM; respond without waiting for the end."""
        loop = asyncio.get_running_loop()
        loop.call_later(SIGTERM_DELAY_S, signal.raise_signal, signal.SIGTERM)
        content = {'host': self.host.identity.name, 'leaving': True}
        self.write_json(content, HTTPStatus.ACCEPTED)


def _peer_document(peer: Peer) -> dict[str, Any]:
    return {
        'host': peer.name,
        'region': peer.region,
        'availability_zone': peer.availability_zone,
        'inner': str(peer.inner),
        'edge': str(peer.edge) if peer.edge else None,
        'leaving': peer.leaving,
    }


def _listed_document(listed: ListedHost) -> dict[str, Any]:
    return {
        'host': listed.name,
        'region': listed.region,
        'availability_zone': listed.availability_zone,
        'inner': str(listed.address),
        'edge': None,
        'leaving': listed.leaving,
    }


HOST_ROUTES = (
    ('/operator/status', StatusHandler),
    ('/operator/hosts', HostsHandler),
    ('/operator/host/drain', DrainHandler),
)
