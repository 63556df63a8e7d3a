"""Length-prefixed frames."""

from __future__ import annotations

import struct

from tornado.iostream import IOStream

from celerywharf.exceptions import ProtocolError

FRAME_LIMIT_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct('>I')


def frame(content: bytes) -> bytes:
    """Put the length before the content.

    Raises:
        ProtocolError: the content is larger than a frame may be.
    """
    if len(content) > FRAME_LIMIT_BYTES:
        raise ProtocolError(f'frame of {len(content)} bytes is too large')
    return _LENGTH.pack(len(content)) + content


class FrameReader:
    """Reads frames from a stream."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    async def read(self) -> bytes:
        """Return the next frame's content.

        Raises:
            ProtocolError: the announced length is out of bounds.
            tornado.iostream.StreamClosedError: the peer closed the link.
        """
        header = await self.stream.read_bytes(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > FRAME_LIMIT_BYTES:
            raise ProtocolError(f'frame of {length} bytes announced')
        return await self.stream.read_bytes(length)
