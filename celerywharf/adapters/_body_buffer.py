"""Collects the pieces of a body."""

from __future__ import annotations

BLOCK_BYTES = 16_384


class BodyBuffer:
    """Keeps pieces of any size without much memory beside their content.

    Small pieces are joined as they come: each one kept by itself would take
    tens of bytes more.

    Attributes:
        blocks: the pieces received, apart from the end.
        end: small pieces that are not a block yet.
        size_bytes: size of the content.
    """

    def __init__(self) -> None:
        self.blocks: list[bytes] = []
        self.end = bytearray()
        self.size_bytes = 0

    def append(self, piece: bytes) -> None:
        """Add a piece."""
        self.size_bytes += len(piece)
        if not self.end and len(piece) >= BLOCK_BYTES:
            self.blocks.append(piece)
            return
        self.end += piece
        if len(self.end) >= BLOCK_BYTES:
            self.blocks.append(bytes(self.end))
            self.end.clear()

    def content(self) -> bytes:
        """Return all pieces."""
        return b''.join((*self.blocks, self.end))

    def clear(self) -> None:
        """Free the pieces; the size stays known."""
        self.blocks = []
        self.end = bytearray()
