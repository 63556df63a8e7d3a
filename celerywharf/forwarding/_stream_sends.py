"""One send of a stream to an engine."""

from __future__ import annotations

import functools
from contextlib import ExitStack
from dataclasses import dataclass, field

from celerywharf.backends import BackendServer
from celerywharf.forwarding._leases import Lease
from celerywharf.forwarding._outcomes import SILENCE, Recalled
from celerywharf.forwarding._relays import StreamRelay
from celerywharf.platform import Resumption
from celerywharf.rollouts import VersionSend

RESUMED = Recalled('the send before goes on')


@dataclass(frozen=True, slots=True)
class StreamPlacement:
    """Where a stream is sent; its load has been added to the engine.

    Attributes:
        server: the engine.
        resumption: the position from which it resumes the stream.
        backup: where a copy of the run is kept; None if nowhere.
        lease: room for the stream at the engine; None if none was taken.
    """

    server: BackendServer
    resumption: Resumption
    backup: BackendServer | None
    lease: Lease | None = None


@dataclass(slots=True, eq=False)
class StreamSend:
    """A send in progress.

    Attributes:
        placement: where it goes.
        relay: receives the answer.
        version_send: counts it for a roll-out; None if there is none.
        has_unused_copy: the copy of its run has not been resumed from.
        cleanup: what is to be undone when it ends.
    """

    placement: StreamPlacement
    relay: StreamRelay
    version_send: VersionSend | None = None
    has_unused_copy: bool = True
    cleanup: ExitStack = field(default_factory=ExitStack)

    @property
    def server(self) -> BackendServer:
        """Return the engine."""
        return self.placement.server

    @property
    def copy_holder(self) -> BackendServer | None:
        """Return the engine that may hold a copy of the run, if any."""
        return self.placement.backup if self.has_unused_copy else None

    def close(self) -> None:
        """Close the connection, if it is open, and undo all else."""
        self.cleanup.close()


def race(silent: StreamSend, successor: StreamSend) -> None:
    """Let the send that receives the next event end the other one."""
    silent.relay.detector.on_event = functools.partial(
        successor.relay.settle, RESUMED
    )
    successor.relay.detector.on_event = functools.partial(
        silent.relay.settle, SILENCE
    )


def end_race(silent: StreamSend, successor: StreamSend) -> None:
    """Let both sends receive events without ending the other one."""
    silent.relay.detector.on_event = None
    successor.relay.detector.on_event = None
