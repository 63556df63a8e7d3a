"""``/apps/<service>/...``: calls forwarded to application services."""

from __future__ import annotations

from http import HTTPStatus

from celerywharf.adapters.applications import Answer, Call, forwardable_headers
from celerywharf.adapters.transports import field_lines
from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError

KEY_HEADER = 'Idempotency-Key'
KEY_LIMIT_CHARACTERS = 255
KEYS_PER_REQUEST_LIMIT = 1000
BODYLESS_STATUSES = frozenset((204, 304))


class ApplicationHandler(EdgeHandler):
    """Forwards any method on any path below a service."""

    async def get(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def head(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def post(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def put(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def patch(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def delete(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    async def options(self, service: str) -> None:
        """Forward the call."""
        await self._forward(service)

    def set_etag_header(self) -> None:
        """Do nothing: entity tags are set by the application."""

    async def _forward(self, service: str) -> None:
        account = self.client_account()
        headers = self.request.headers
        call = Call(
            service=service,
            client_account=account.name,
            request_id=self.request_id,
            method=self.request.method,
            path=self.request.uri.removeprefix(f'/apps/{service}'),
            headers=forwardable_headers(headers),
            body=bytes(self.body),
            key=self._idempotency_key(),
        )
        self._write_answer(await self.host.applications.call(call))

    def _idempotency_key(self) -> str:
        key = self.request.headers.get(KEY_HEADER, '')
        if len(key) > KEY_LIMIT_CHARACTERS or not key.isprintable():
            raise BadRequestError(
                f'{KEY_HEADER} must be printable and have at most'
                f' {KEY_LIMIT_CHARACTERS} characters',
            )
        return key

    def _write_answer(self, answer: Answer) -> None:
        self.clear_header('Content-Type')
        self.set_status(answer.status)
        for name in answer.headers:
            self.clear_header(name)
        for name, text in field_lines(answer.headers):
            self.add_header(name, text)
        self.set_header('Request-Id', self.request_id)
        if answer.status not in BODYLESS_STATUSES:
            self.write(answer.body)


class KeyHandler(EdgeHandler):
    """``POST /apps/<service>/-/keys``: mints idempotency keys."""

    def post(self, service: str) -> None:
        """Answer ``{"keys": [...]}`` with ``count`` keys, one by default."""
        account = self.client_account()
        count = self.json_body().get('count', 1) if self.body else 1
        if (
            not isinstance(count, int)
            or not 1 <= count <= KEYS_PER_REQUEST_LIMIT
        ):
            raise BadRequestError(
                f'count must be from 1 to {KEYS_PER_REQUEST_LIMIT}'
            )
        keys = self.host.applications.mint(account.name, count)
        self.write_json({'keys': keys}, HTTPStatus.CREATED)


APPLICATION_ROUTES = (
    (r'/apps/([a-z0-9_.-]+)/-/keys', KeyHandler),
    (r'/apps/([a-z0-9_.-]+)/.*', ApplicationHandler),
)
