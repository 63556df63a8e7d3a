"""Request limits that backend servers state in their answers."""

from __future__ import annotations

import logging
from dataclasses import dataclass

logger = logging.getLogger(__name__)

# A limit that no answer has repeated for this long is dropped, so that a server
# that gets no requests is asked again.
STATEMENT_TTL_S = 30.0
MAX_STATEMENTS = 1024


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What a backend server said of its limit.

    Attributes:
        incarnation: the incarnation of the backend server.
        availability_zone: zone of the backend server.
        per_s: requests a second that it takes from all hosts together; None
            if it takes any number.
        at_s: when an answer said so, on the store's clock, seconds.
    """

    incarnation: str
    availability_zone: str
    per_s: float | None
    at_s: float


class StatedLimits:
    """The newest statement of each backend server that has a limit.

    The end of a limit is kept as a statement too, until it expires: other
    hosts may still tell of the limit.

    Attributes:
        statements: by incarnation.
    """

    def __init__(self) -> None:
        self.statements: dict[str, LimitStatement] = {}

    def limit(self, incarnation: str, now_s: float) -> LimitStatement | None:
        """Return the statement of a server that has a limit, else None.

        Args:
            incarnation: the incarnation of the backend server.
            now_s: time on the store's clock, seconds.
        """
        known = self.statements.get(incarnation)
        if known is None or known.per_s is None or _is_expired(known, now_s):
            return None
        return known

    def record_answer(self, statement: LimitStatement, sent_s: float) -> bool:
        """Record what an answer says.

        Answers on different connections may overtake each other, so one
        without a limit ends a limit only if its request was sent after the
        limit had been stated.

        Args:
            statement: what the answer says.
            sent_s: when the request was sent, on the store's clock.

        Returns:
            Whether it says something new.
        """
        known = self.statements.get(statement.incarnation)
        if statement.per_s is None and (
            known is None or known.per_s is None or sent_s < known.at_s
        ):
            return False
        return self.merge(statement)

    def merge(self, statement: LimitStatement) -> bool:
        """Add a statement that this or another host has received.

        Returns:
            Whether it is newer than the known one.
        """
        known = self.statements.get(statement.incarnation)
        if known is not None and known.at_s >= statement.at_s:
            return False
        previous = known and known.per_s
        if previous != statement.per_s:
            logger.info(
                'server limit',
                extra={
                    'backend_server': statement.incarnation,
                    'per_s': statement.per_s,
                    'before_per_s': previous,
                },
            )
        self.statements.pop(statement.incarnation, None)
        self.statements[statement.incarnation] = statement
        if len(self.statements) > MAX_STATEMENTS:
            self.statements.pop(next(iter(self.statements)))
        return True

    def current(self, now_s: float) -> list[LimitStatement]:
        """Return all statements that have not expired."""
        self.statements = {
            incarnation: statement
            for incarnation, statement in self.statements.items()
            if not _is_expired(statement, now_s)
        }
        return list(self.statements.values())


def _is_expired(statement: LimitStatement, now_s: float) -> bool:
    return now_s - statement.at_s > STATEMENT_TTL_S
