"""Demands for backend servers and the grants given for them."""

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
    """A request that needs a backend server to run on.

    Attributes:
        service: name of the service.
        client_account: name of the account that pays.
        prefix_hash: hash of the first characters of the prompt, or empty.
        deadline_s: longest wait for a grant, in seconds from now.
        exclude: names of backend servers not to use.
        resume: whether it continues a generation accepted before.
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
        backend_server: the backend server to run it at.
        client_account: name of the account that pays.
        priority: passed to the engine; higher runs first.
    """

    number: int
    backend_server: BackendServer
    client_account: str
    priority: int
