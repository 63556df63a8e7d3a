"""Base class of the operator API."""

from __future__ import annotations

from celerywharf.edge import EdgeHandler


class OperatorHandler(EdgeHandler):
    """Base of handlers that require the operator key."""

    def prepare(self) -> None:
        """Check the operator key before the method of the handler runs.

        Raises:
            UnauthorizedError: the request has no key.
            ForbiddenError: the key is not the operator key.
        """
        super().prepare()
        self.require_operator()
