"""The one tree of errors.

Each error carries a stable ``code``, the HTTP status it is answered with, a
:class:`Verdict` on whether the request may have run and, where waiting helps,
the seconds after which a retry makes sense.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import ClassVar

from celerywharf.structures import Verdict


class CelerywharfError(Exception):
    """Base of every error this package raises on purpose.

    Attributes:
        message: one sentence for a person.
        verdict: whether the request may have run.
        retry_after_s: seconds to wait before a retry, if one may help.
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
    """Base of errors that are certain to precede any effect."""

    default_verdict = Verdict.not_run


class SettingsError(NotRunError):
    """The settings file is wrong; the message names section and key."""

    code = 'settings_error'


class BadRequestError(NotRunError):
    """The request is malformed."""

    code = 'bad_request'
    http_status = HTTPStatus.BAD_REQUEST


class InvalidRowError(BadRequestError):
    """A row of the table is wrong; the message names row and column."""

    code = 'invalid_row'


class UnauthorizedError(NotRunError):
    """No client account or operator has this key."""

    code = 'unauthorized'
    http_status = HTTPStatus.UNAUTHORIZED


class ForbiddenError(NotRunError):
    """The client account or the table does not allow this."""

    code = 'forbidden'
    http_status = HTTPStatus.FORBIDDEN


class NotFoundError(NotRunError):
    """The named service, row or generation does not exist."""

    code = 'not_found'
    http_status = HTTPStatus.NOT_FOUND


class PayloadTooLargeError(NotRunError):
    """The body is larger than the limit of the settings."""

    code = 'payload_too_large'
    http_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class HeadersTooLargeError(NotRunError):
    """The headers are larger than the limit of the settings."""

    code = 'headers_too_large'
    http_status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class RowConflictError(NotRunError):
    """A row changed since the operator read it.

    Attributes:
        current: the row as it stands, a JSON object, or None when absent.
    """

    code = 'row_conflict'
    http_status = HTTPStatus.CONFLICT

    def __init__(self, message: str, current: dict | None = None) -> None:
        super().__init__(message)
        self.current = current


class OverloadedError(NotRunError):
    """The request cannot be served within its deadline now."""

    code = 'overloaded'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class LimitReachedError(NotRunError):
    """The client account has used up its limit."""

    code = 'limit_reached'
    http_status = HTTPStatus.TOO_MANY_REQUESTS


class NoBackendServerError(NotRunError):
    """No backend server of the service can be reached from here."""

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
    """The call ran; its answer was too large to keep or cannot be read."""

    code = 'answer_not_kept'
    http_status = HTTPStatus.CONFLICT
    default_verdict = Verdict.ran


class KeyReusedError(NotRunError):
    """The idempotency key was used for another call; this one was not run."""

    code = 'key_reused'
    http_status = HTTPStatus.UNPROCESSABLE_ENTITY


class BackendServerError(CelerywharfError):
    """A backend server failed or broke its protocol."""

    code = 'backend_server_error'
    http_status = HTTPStatus.BAD_GATEWAY


class GenerationLostError(CelerywharfError):
    """The generation can no longer be continued without guessing."""

    code = 'generation_lost'
    http_status = HTTPStatus.GONE
    default_verdict = Verdict.ran


class StaleEpochError(NotRunError):
    """A newer owner of the generation exists."""

    code = 'stale_epoch'
    http_status = HTTPStatus.CONFLICT


class StaleFencingError(NotRunError):
    """A newer holder of the lease exists."""

    code = 'stale_fencing'
    http_status = HTTPStatus.CONFLICT


class ShuttingDownError(NotRunError):
    """This host is leaving and takes no new work."""

    code = 'shutting_down'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class TransportError(CelerywharfError):
    """An HTTP exchange failed.

    Attributes:
        verdict: ``not_run`` only when no byte of the request can have left.
    """

    code = 'transport_error'
    http_status = HTTPStatus.BAD_GATEWAY


class ProtocolError(CelerywharfError):
    """Bytes on an inner link are not a valid frame or message."""

    code = 'protocol_error'


class PeerUnreachableError(CelerywharfError):
    """A peer host cannot be connected or did not answer in time."""

    code = 'peer_unreachable'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE
