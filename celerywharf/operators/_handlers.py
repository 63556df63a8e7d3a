"""What the operators' calls share."""

from __future__ import annotations

from celerywharf.edge import EdgeHandler


class OperatorHandler(EdgeHandler):
    """Base of the operators' calls."""

    def prepare(self) -> None:
        """Let only operators pass."""
        super().prepare()
        self.require_operator()
