"""Builds the headers of a request that is passed to another host."""

from __future__ import annotations

from celerywharf.platform._headers import (
    ADDED_BY_CURL,
    DEADLINE,
    LAST_EVENT,
    MS_PER_S,
    RequestHeaders,
)


def peer_headers(
    request: RequestHeaders, *, remaining_s: float, last_event: int | None
) -> dict[str, str]:
    """Return the headers of a request that is passed to another host.

    The caller's key is not among them.

    Args:
        request: headers of the caller's request.
        remaining_s: time left until the caller's deadline.
        last_event: id of the last event that the caller has; None if the
            request does not resume a stream.
    """
    headers = dict.fromkeys(ADDED_BY_CURL, '')
    headers.update(request.forwarded)
    if request.deadline_s is not None:
        headers[DEADLINE] = str(max(1, int(remaining_s * MS_PER_S)))
    if last_event is not None:
        headers[LAST_EVENT] = str(last_event)
    return headers
