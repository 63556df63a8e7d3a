"""Counts what becomes of sends by the software version of the server."""

from __future__ import annotations

from http import HTTPStatus

from celerywharf.backends import BackendServer
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import Answered, Finished, Lost, Outcome
from celerywharf.rollouts import VersionSend


def record_version(
    context: ForwardingContext,
    server: BackendServer,
    send: VersionSend | None,
    outcome: Outcome | None,
) -> None:
    """Count the end of a send for the roll-out of its service.

    Args:
        context: components of the host.
        server: where it went.
        send: counts it; None if there is no roll-out.
        outcome: None if nobody waited for it.
    """
    if send is None:
        return
    now_s = context.timers.now()
    match outcome:
        case Answered(response=response) if (
            response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        ):
            send.failed(now_s)
        case Answered() | Finished():
            send.answered(now_s)
        case Lost(broken=True):
            send.broken(now_s)
        case Lost():
            send.failed(now_s)
        case _:
            send.dropped(now_s)
    context.metrics.count(
        'version_sends',
        service=server.service,
        version=server.software_version,
        outcome=type(outcome).__name__ if outcome else 'Dropped',
    )
