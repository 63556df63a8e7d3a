"""Large contents of rows, compressed for the links between hosts."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from celerywharf.exceptions import ProtocolError
from celerywharf.units import DOCUMENT_BYTES, KIBIBYTE

# Smaller contents travel inside the answer: asking for them takes longer.
MIN_BYTES = 8 * KIBIBYTE
DIGEST_BYTES = 16
KEPT = 4
KEPT_UNUSED = 2  # a host may still be getting one that has been replaced


@dataclass(frozen=True, slots=True)
class Content:
    """A content in both forms.

    Attributes:
        digest: identifies the plain content.
        plain: as in the store.
        packed: compressed.
    """

    digest: bytes
    plain: bytes
    packed: bytes


class ContentCache:
    """The large contents that this host has, each compressed once.

    Contents in use are kept however many there are: an answer that names more
    of them than are kept would never be whole.

    Attributes:
        by_digest: the oldest first.
        users: return the digests of the contents in use.
    """

    def __init__(self) -> None:
        self.by_digest: dict[bytes, Content] = {}
        self.by_plain: dict[bytes, Content] = {}
        self.users: list[Callable[[], Iterable[bytes]]] = []

    def pack(self, plain: bytes) -> Content:
        """Return a content with its compressed form."""
        known = self.by_plain.get(plain)
        if known is None:
            packed = zlib.compress(plain)
            known = self._keep(Content(_digest(plain), plain, packed))
        return known

    def find(self, digest: bytes) -> Content | None:
        """Return a content; None if this host does not have it."""
        return self.by_digest.get(digest)

    def digests(self, plains: Iterable[bytes]) -> Iterable[bytes]:
        """Yield the digests of those contents that this host has packed."""
        for plain in plains:
            known = self.by_plain.get(plain)
            if known is not None:
                yield known.digest

    def unpack(self, digest: bytes, packed: bytes) -> Content:
        """Keep a content that another host has sent.

        Raises:
            ProtocolError: it is not the content with this digest.
        """
        decompressor = zlib.decompressobj()
        try:
            plain = decompressor.decompress(packed, DOCUMENT_BYTES)
        except zlib.error as error:
            raise ProtocolError(f'content is damaged: {error}') from None
        if not decompressor.eof or _digest(plain) != digest:
            raise ProtocolError('content does not match its digest')
        return self._keep(Content(digest, plain, packed))

    def _keep(self, content: Content) -> Content:
        self.by_digest[content.digest] = content
        self.by_plain[content.plain] = content
        self.drop_unused()
        return content

    def drop_unused(self) -> None:
        """Drop contents that are not in use any more, but for the latest."""
        if len(self.by_digest) <= KEPT:
            return
        in_use = {digest for user in self.users for digest in user()}
        unused = [each for each in self.by_digest if each not in in_use]
        kept = max(KEPT - len(in_use), KEPT_UNUSED)
        for digest in unused[:-kept]:
            dropped = self.by_digest.pop(digest)
            self.by_plain.pop(dropped.plain, None)


def _digest(plain: bytes) -> bytes:
    return hashlib.sha256(plain).digest()[:DIGEST_BYTES]
