"""Base of the HTTP handlers: keys, limits, errors, request ids."""

from __future__ import annotations

import json
import logging
import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from tornado.web import HTTPError, RequestHandler, stream_request_body

from celerywharf.exceptions import (
    BadRequestError,
    CelerywharfError,
    ForbiddenError,
    HeadersTooLargeError,
    NotFoundError,
    OverloadedError,
    PayloadTooLargeError,
    UnauthorizedError,
)
from celerywharf.structures import Verdict
from celerywharf.tables import ClientAccount

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

BEARER = 'Bearer '
REQUEST_ID_BYTES = 8
TABLE_RETRY_AFTER_S = 1.0
MAX_REQUEST_ID_CHARACTERS = 64


@stream_request_body
class EdgeHandler(RequestHandler):
    """Base of all handlers.

    Attributes:
        host: the host that serves the request.
        request_id: from the ``Request-Id`` header; generated if the header is
            missing or not printable.
        body: the request body, complete when the method handler runs.
    """

    def initialize(self, host: Host) -> None:
        """Store the host and choose the request id."""
        self.host = host
        self.body = bytearray()
        header = self.request.headers.get('Request-Id', '')
        self.request_id = header[:MAX_REQUEST_ID_CHARACTERS]
        if not header.isprintable() or not header:
            self.request_id = secrets.token_hex(REQUEST_ID_BYTES)

    def prepare(self) -> None:
        """Check the sizes of headers and body before the body is read."""
        limits = self.host.settings.limits
        self.set_header('Request-Id', self.request_id)
        headers = self.request.headers.get_all()
        size = sum(len(name) + len(text) for name, text in headers)
        if size > limits.header_bytes:
            raise HeadersTooLargeError(
                f'request headers too large: {size} bytes; '
                f'limit {limits.header_bytes}',
            )
        length = self.request.headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > limits.body_bytes:
            self.set_header('Connection', 'close')
            raise PayloadTooLargeError(
                f'request body too large: {length} bytes; '
                f'limit {limits.body_bytes}',
            )

    def data_received(self, chunk: bytes) -> None:
        """Collect the body; reject it as soon as it exceeds the limit."""
        if self._finished:
            return
        self.body += chunk
        limit = self.host.settings.limits.body_bytes
        if len(self.body) > limit:
            self.set_header('Connection', 'close')
            self.write_failure(
                PayloadTooLargeError(
                    f'request body exceeds the limit of {limit} bytes'
                ),
            )
            self.finish()

    def json_body(self) -> dict[str, Any]:
        """Return the body decoded as a JSON object.

        Raises:
            BadRequestError: the body is not a JSON object.
        """
        try:
            content = json.loads(bytes(self.body))
        except ValueError as error:
            raise BadRequestError(
                f'request body is not valid JSON: {error}'
            ) from None
        if not isinstance(content, dict):
            raise BadRequestError('request body is not a JSON object')
        return content

    def client_account(self) -> ClientAccount:
        """Return the account whose key the request carries.

        Raises:
            UnauthorizedError: the key is missing or belongs to no account.
            OverloadedError: the key is unknown, and this host has not read
                the table yet.
        """
        account = self.host.catalogue.account_of_key(self._bearer_key())
        if account is None:
            self._require_loaded_table()
            raise UnauthorizedError('unknown or missing key')
        return account

    def require_operator(self) -> None:
        """Check that the request carries the operators' key.

        Raises:
            UnauthorizedError: the key is missing.
            ForbiddenError: the key is not the operators' key.
        """
        keys = self.host.settings.keys
        expected = keys.operator.get_secret_value()
        if not secrets.compare_digest(
            self._bearer_key().encode(),
            expected.encode(),
        ):
            raise ForbiddenError('the key is not the operator key')

    def write_json(
        self,
        content: Any,
        status: HTTPStatus = HTTPStatus.OK,
    ) -> None:
        """Write a JSON response."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.write(json.dumps(content))

    def write_failure(self, error: CelerywharfError) -> None:
        """Write an error response; see ``failure_content``."""
        if error.retry_after_s is not None:
            self.set_header(
                'Retry-After', str(max(1, round(error.retry_after_s)))
            )
        content = failure_content(error, self.request_id)
        self.write_json(content, error.http_status)

    def write_error(self, status_code: int, **options: Any) -> None:
        """Write the response to an exception that a handler raised."""
        error = options.get('exc_info', (None, None, None))[1]
        if isinstance(error, CelerywharfError):
            self.write_failure(error)
            return
        if isinstance(error, HTTPError):
            content = {
                'code': HTTPStatus(status_code).name.lower(),
                'message': error.log_message or self._reason,
                'verdict': Verdict.not_run.value,
                'request_id': self.request_id,
            }
            self.write_json({'error': content}, HTTPStatus(status_code))
            return
        self.write_failure(CelerywharfError('internal error'))

    def log_exception(self, kind: Any, error: Any, traceback: Any) -> None:
        """Log refused requests as one line, and faults with a traceback."""
        fields = {'request_id': self.request_id, 'path': self.request.path}
        if isinstance(error, CelerywharfError):
            fields.update(code=error.code, verdict=error.verdict.value)
            logger.info('request refused: %s', error, extra=fields)
            return
        if isinstance(error, HTTPError):
            logger.info('request refused: %s', error, extra=fields)
            return
        logger.error(
            'request failed',
            exc_info=(kind, error, traceback),
            extra=fields,
        )

    def _require_loaded_table(self) -> None:
        if not self.host.tables.ready:
            raise OverloadedError(
                'this host has not read the table yet',
                retry_after_s=TABLE_RETRY_AFTER_S,
            )

    def _bearer_key(self) -> str:
        header = self.request.headers.get('Authorization', '')
        if not header.startswith(BEARER):
            raise UnauthorizedError(
                'header "Authorization: Bearer KEY" is missing'
            )
        return header.removeprefix(BEARER).strip()


class UnknownPathHandler(EdgeHandler):
    """Answers requests for unknown paths with 404."""

    def prepare(self) -> None:
        """Refuse the request."""
        super().prepare()
        raise NotFoundError(f'no such path: {self.request.path}')


def failure_content(error: CelerywharfError, request_id: str) -> dict[str, Any]:
    """Return the JSON object that describes an error to a caller."""
    content: dict[str, Any] = {
        'code': error.code,
        'message': error.message,
        'verdict': error.verdict.value,
        'request_id': request_id,
    }
    if error.retry_after_s is not None:
        content['retry_after_s'] = error.retry_after_s
    current = getattr(error, 'current', None)
    if current is not None:
        content['current'] = current
    return {'error': content}
