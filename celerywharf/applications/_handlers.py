"""``/apps/<service>/...``: calls passed through to applications."""

from __future__ import annotations

from http import HTTPStatus

from celerywharf.adapters.applications import Answer, Call, forwardable_headers
from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError

KEY_HEADER = 'Idempotency-Key'
KEY_LIMIT_CHARACTERS = 255
KEYS_LIMIT = 1000
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
            headers=forwardable_headers(headers),
            body=bytes(self.body),
            key=self._key(),
        )
        self._write_answer(await self.host.applications.call(call))

    def _key(self) -> str:
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
        for name, text in answer.headers.items():
            self.set_header(name, text)
        self.set_header('Request-Id', self.request_id)
        if answer.status not in BODYLESS_STATUSES:
            self.write(answer.body)


class KeyHandler(EdgeHandler):
    """``POST /apps/<service>/-/keys``: idempotency keys minted here."""

    def post(self, service: str) -> None:
        """Answer ``{"keys": [...]}``, one unless ``count`` asks for more."""
        account = self.client_account()
        count = self.json_body().get('count', 1) if self.body else 1
        if not isinstance(count, int) or not 1 <= count <= KEYS_LIMIT:
            raise BadRequestError(f'count must be from 1 to {KEYS_LIMIT}')
        keys = self.host.applications.mint(account.name, count)
        self.write_json({'keys': keys}, HTTPStatus.CREATED)


APPLICATION_ROUTES = (
    (r'/apps/([a-z0-9_.-]+)/-/keys', KeyHandler),
    (r'/apps/([a-z0-9_.-]+)/.*', ApplicationHandler),
)
