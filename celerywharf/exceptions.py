"""Exceptions of this package.

Each error has a stable ``code``, an HTTP status for the response, a
:class:`Verdict` on whether the request may have run and, if waiting can help,
the seconds after which to retry.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import ClassVar

from celerywharf.structures import Verdict


class CelerywharfError(Exception):
    """Base class of all errors of this package.

    Attributes:
        code: stable identifier of the kind of error.
        http_status: status of the HTTP response.
        default_verdict: verdict if none is passed.
        message: readable description, one sentence.
        verdict: whether the request may have run.
        retry_after_s: seconds to wait before a retry, None if waiting does not
            help.
    """

    code: ClassVar[str] = 'internal_error'
    http_status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    default_verdict: ClassVar[Verdict] = Verdict.may_have_run

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.verdict = verdict or self.default_verdict
        self.retry_after_s = retry_after_s


class NotRunError(CelerywharfError):
    """Base class of errors raised before the request had any effect."""

    default_verdict = Verdict.not_run


class SettingsError(NotRunError):
    """The settings are invalid; the message names section and key."""

    code = 'settings_error'


class BadRequestError(NotRunError):
    """The request is malformed."""

    code = 'bad_request'
    http_status = HTTPStatus.BAD_REQUEST


class InvalidRowError(BadRequestError):
    """A row of the table is invalid; the message names row and column."""

    code = 'invalid_row'


class UnauthorizedError(NotRunError):
    """The key is missing or belongs to no client account or operator."""

    code = 'unauthorized'
    http_status = HTTPStatus.UNAUTHORIZED


class ForbiddenError(NotRunError):
    """The client account or the table does not allow the request."""

    code = 'forbidden'
    http_status = HTTPStatus.FORBIDDEN


class NotFoundError(NotRunError):
    """The named service, row or generation does not exist."""

    code = 'not_found'
    http_status = HTTPStatus.NOT_FOUND


class PayloadTooLargeError(NotRunError):
    """The body exceeds the size limit in the settings."""

    code = 'payload_too_large'
    http_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class HeadersTooLargeError(NotRunError):
    """The headers exceed the size limit in the settings."""

    code = 'headers_too_large'
    http_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class RowConflictError(NotRunError):
    """A row changed since the operator read it.

    Attributes:
        current: the current row as a JSON object, None if there is none.
    """

    code = 'row_conflict'
    http_status = HTTPStatus.CONFLICT

    def __init__(self, message: str, current: dict | None = None) -> None:
        super().__init__(message)
        self.current = current


class OverloadedError(NotRunError):
    """The request cannot be served before its deadline."""

    code = 'overloaded'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class LimitReachedError(NotRunError):
    """The client account has reached its limit."""

    code = 'limit_reached'
    http_status = HTTPStatus.TOO_MANY_REQUESTS


class NoBackendServerError(NotRunError):
    """This host can reach no backend server of the service."""

    code = 'no_backend_server'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class PlatformUnavailableError(NotRunError):
    """The platform's table service or object store does not answer."""

    code = 'platform_unavailable'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class PlatformAmbiguousError(CelerywharfError):
    """A write to the platform may or may not have taken effect."""

    code = 'platform_ambiguous'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class AmbiguousCallError(CelerywharfError):
    """A non-idempotent call was sent and its answer was lost."""

    code = 'ambiguous_call'
    http_status = HTTPStatus.BAD_GATEWAY


class AnswerNotKeptError(CelerywharfError):
    """The call ran, but its answer was too large to store or is unreadable."""

    code = 'answer_not_kept'
    http_status = HTTPStatus.CONFLICT
    default_verdict = Verdict.ran


class KeyReusedError(NotRunError):
    """The idempotency key belongs to another call; this one was not run."""

    code = 'key_reused'
    http_status = HTTPStatus.UNPROCESSABLE_ENTITY


class BackendServerError(CelerywharfError):
    """A backend server failed or violated the protocol."""

    code = 'backend_server_error'
    http_status = HTTPStatus.BAD_GATEWAY


class GenerationLostError(CelerywharfError):
    """No owner or journal was found from which the generation can continue."""

    code = 'generation_lost'
    http_status = HTTPStatus.GONE
    default_verdict = Verdict.ran


class StaleEpochError(NotRunError):
    """The generation has an owner with a higher epoch."""

    code = 'stale_epoch'
    http_status = HTTPStatus.CONFLICT


class StaleFencingError(NotRunError):
    """The lease has a holder with a higher fencing number."""

    code = 'stale_fencing'
    http_status = HTTPStatus.CONFLICT


class ShuttingDownError(NotRunError):
    """This host is shutting down and accepts no new work."""

    code = 'shutting_down'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class TransportError(CelerywharfError):
    """An HTTP exchange failed.

    Attributes:
        verdict: ``not_run`` only if no byte of the request can have been sent.
        late: a time-out fired late because this process had not run for a
            while, so it says nothing about the server.
        answer_begun: status and headers of the answer had arrived.
    """

    code = 'transport_error'
    http_status = HTTPStatus.BAD_GATEWAY
    late: bool = False
    answer_begun: bool = False


class ResponseTooLargeError(TransportError):
    """A server's response exceeded a size limit and was cut off."""

    code = 'response_too_large'


class ProtocolError(CelerywharfError):
    """An inner link received bytes that are no valid frame or message."""

    code = 'protocol_error'


class PeerUnreachableError(CelerywharfError):
    """A peer host cannot be connected to or did not answer in time."""

    code = 'peer_unreachable'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE
