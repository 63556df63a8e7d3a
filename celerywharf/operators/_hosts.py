"""The operators' calls on a host itself."""

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
    """``GET /operator/hosts``: live hosts; ``?name=N`` finds one anywhere."""

    async def get(self) -> None:
        """List them with their addresses.

        Of other zones this host knows only some; the platform's list, which
        lags and does not say where callers are served, names the others.
        """
        wanted = self.get_query_argument('name', '')
        if wanted:
            peer = await self.host.membership.find(wanted)
            self.write_json({'hosts': [_describe(peer)] if peer else []})
            return
        found = {
            listed.name: _describe_listed(listed)
            for listed in await self._listed()
        }
        for peer in self.host.membership.live():
            found[peer.name] = _describe(peer)
        ordered = [found[name] for name in sorted(found)]
        self.write_json({'hosts': ordered})

    async def _listed(self) -> list[ListedHost]:
        try:
            return await self.host.platform.hosts()
        except CelerywharfError:
            return []


class DrainHandler(OperatorHandler):
    """``POST /operator/host/drain``: finish what runs, then stop."""

    def post(self) -> None:
        """Leave as on SIGTERM; the answer does not wait for the end."""
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_TIME_S, signal.raise_signal, signal.SIGTERM)
        content = {'host': self.host.identity.name, 'leaving': True}
        self.write_json(content, HTTPStatus.ACCEPTED)


def _describe(peer: Peer) -> dict[str, Any]:
    return {
        'host': peer.name,
        'region': peer.region,
        'availability_zone': peer.availability_zone,
        'inner': str(peer.inner),
        'edge': str(peer.edge) if peer.edge else None,
        'leaving': peer.leaving,
    }


def _describe_listed(listed: ListedHost) -> dict[str, Any]:
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
