"""``/apps/<service>/...``: calls passed through to applications."""

from __future__ import annotations

from celerywharf.adapters.applications import Answer, Call, passed_headers
from celerywharf.edge import EdgeHandler

KEY_HEADER = 'Idempotency-Key'
BODYLESS_STATUSES = frozenset((204, 304))


class ApplicationHandler(EdgeHandler):
    """Any method on any path below a service."""

    async def get(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def head(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def post(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def put(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def patch(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def delete(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    async def options(self, service: str) -> None:
        """Pass the call on."""
        await self._pass_on(service)

    def set_etag_header(self) -> None:
        """Leave entity tags to the application."""

    async def _pass_on(self, service: str) -> None:
        account = self.client_account()
        headers = self.request.headers
        call = Call(
            service=service,
            client_account=account.name,
            request_id=self.request_id,
            method=self.request.method,
            path=self.request.uri.removeprefix(f'/apps/{service}'),
            headers=passed_headers(headers),
            body=bytes(self.body),
            key=headers.get(KEY_HEADER, ''),
        )
        self._write_answer(await self.host.applications.call(call))

    def _write_answer(self, answer: Answer) -> None:
        self.clear_header('Content-Type')
        self.set_status(answer.status)
        for name, text in answer.headers.items():
            self.set_header(name, text)
        self.set_header('Request-Id', self.request_id)
        if answer.status not in BODYLESS_STATUSES:
            self.write(answer.body)


APPLICATION_ROUTES = ((r'/apps/([a-z0-9_-]+)/.*', ApplicationHandler),)
