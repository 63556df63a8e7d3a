"""Search for an engine that has room for a stream."""

from __future__ import annotations

from celerywharf.backends import BackendServer
from celerywharf.forwarding._leases import Denial, Lease, Leases
from celerywharf.routing import EngineMemory

# Engines asked in vain for one send.  Each costs a round trip; those that were
# asked are the best of all by what is known.
MAX_DENIALS = 4


class RoomSearch:
    """Asks engines in turn for a lease, until one has room for a stream.

    It answers a load under which engines that look free by late reports are
    filled by many hosts at once.  A stream that finds no room may be sent
    without a lease, as it is to engines that grant none.

    Attributes:
        leases: asks engines; None if this host takes no leases.
        tokens: token memory that the stream needs.
        max_term_s: longest term of a lease, seconds; 0 if the service's
            engines grant none.
        full_names: names of engines that have granted no lease in this search.
        unreachable_names: names of those of them that have not answered.
        may_wait: the stream waits at this host if no engine has room, instead
            of going to one without a lease.
        lacks_room: no engine that was asked has room.
        skips_leases: the stream is sent without a lease.
        granted: leases taken, over all searches.
        denied: engines asked in vain, over all searches.
    """

    def __init__(
        self, leases: Leases | None, tokens: int, memory: EngineMemory | None
    ) -> None:
        self.leases = leases
        self.tokens = tokens
        self.max_term_s = memory.lease_s if memory else 0
        self.full_names: set[str] = set()
        self.may_wait = False
        self.lacks_room = False
        self.skips_leases = False
        self.unreachable_names: set[str] = set()
        self.granted = 0
        self.denied = 0

    def begin(self) -> None:
        """Begin a new search."""
        self.full_names = set()
        self.unreachable_names = set()
        self.lacks_room = False
        self.skips_leases = False

    @property
    def asks_engines(self) -> bool:
        """Return whether engines themselves tell if they have room."""
        return self.leases is not None and bool(self.tokens and self.max_term_s)

    @property
    def must_wait(self) -> bool:
        """Return whether the stream is not to be sent now."""
        return self.may_wait and self.lacks_room

    async def ask(self, server: BackendServer) -> Lease | Denial:
        """Ask an engine for room, unless no lease is needed any more."""
        if not self.asks_engines or self.skips_leases:
            return Denial.unoffered
        answer = await self.leases.take(server, self.tokens, self.max_term_s)
        if answer in {Denial.full, Denial.unreachable}:
            self.denied += 1
            self.full_names.add(server.name)
            if answer is Denial.unreachable:
                self.unreachable_names.add(server.name)
            if len(self.full_names) >= MAX_DENIALS:
                self.end_without_room()
        self.granted += isinstance(answer, Lease)
        return answer

    def record_no_server(self, *, lacks_room: bool) -> None:
        """Record that no engine was found.

        Args:
            lacks_room: engines are usable, but have no room as far as is known.
        """
        if lacks_room and (self.max_term_s or self.may_wait):
            self.lacks_room = True

    def end_without_room(self) -> bool:
        """Record that no engine is left to be asked.

        Returns:
            Whether engines that were passed over may be taken without a lease.
        """
        if not self.full_names:
            return False
        # An engine that has not answered says nothing about room.
        if self.full_names - self.unreachable_names:
            self.lacks_room = True
        if self.must_wait:
            return False
        self.full_names = set()
        self.skips_leases = True
        return True

    def drop(self, lease: Lease | None) -> None:
        """Release a lease that is not used, if there is one."""
        if lease is not None and self.leases is not None:
            self.leases.drop(lease)

    def details(self) -> dict[str, int]:
        """Return the log fields of the searches; none if none was needed."""
        if not (self.granted or self.denied):
            return {}
        return {'leases': self.granted, 'leases_denied': self.denied}

    def name_to_use(self, lease: Lease | None) -> str:
        """Return the name of a lease for the request; empty if it has none."""
        if lease is None or self.leases is None:
            return ''
        return lease.name if self.leases.use(lease) else ''
