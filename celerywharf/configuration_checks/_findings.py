"""What a check of a configuration has found."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Kind(enum.StrEnum):
    """What a finding means for the operator."""

    error = 'error'
    unreachable = 'unreachable'
    contradiction = 'contradiction'
    withdrawal = 'withdrawal'
    change = 'change'


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that a check reports.

    Attributes:
        kind: what it means.
        code: stable identifier of the check.
        entry: name of the entry, such as ``route r-1``.
        message: what is wrong or different, and what to do.
    """

    kind: Kind
    code: str
    entry: str
    message: str

    @property
    def is_problem(self) -> bool:
        """Return whether the configuration should be corrected first."""
        return self.kind in {
            Kind.error,
            Kind.unreachable,
            Kind.contradiction,
        }


def route_entry(name: str) -> str:
    """Return how a finding names a route."""
    return f'route {name}'


def service_entry(name: str) -> str:
    """Return how a finding names a service."""
    return f'service {name}'


def rollout_entry(service: str) -> str:
    """Return how a finding names the roll-out of a service."""
    return f'roll-out {service}'


def engine_entry(name: str) -> str:
    """Return how a finding names an engine."""
    return f'engine {name}'


def account_entry(name: str) -> str:
    """Return how a finding names a client account."""
    return f'account {name}'
