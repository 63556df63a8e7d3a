"""What is asked of admission, and what it gives."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from celerywharf.tables import BackendServer


class Outcome(enum.StrEnum):
    """How the granted work ended."""

    finished = 'finished'
    failed = 'failed'
    cancelled = 'cancelled'


@dataclass(frozen=True, slots=True)
class Demand:
    """One request that wants a backend server.

    Attributes:
        service: name of the service.
        client_account: name of the account that pays.
        prefix_hash: hash of the first characters of the prompt, or empty.
        deadline_s: longest wait for a grant, seconds from now.
        exclude: names of backend servers not to use.
        resume: continues a generation that was accepted before.
    """

    service: str
    client_account: str
    prefix_hash: str = ''
    deadline_s: float = 30.0
    exclude: frozenset[str] = frozenset()
    resume: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run one request at one backend server.

    Attributes:
        number: unique among the grants of this host.
        backend_server: where to run it.
        client_account: name of the account that pays.
        priority: to pass to the engine, higher first.
    """

    number: int
    backend_server: BackendServer
    client_account: str
    priority: int
