"""Frames: content preceded by its length in 4 bytes, big-endian."""

from __future__ import annotations

import struct

from tornado.iostream import IOStream

from celerywharf.exceptions import ProtocolError

FRAME_LIMIT_BYTES = 8 * 1024 * 1024
_LENGTH = struct.Struct('>I')


def frame(content: bytes) -> bytes:
    """Return the content as a frame.

    Raises:
        ProtocolError: the content is longer than ``FRAME_LIMIT_BYTES``.
    """
    if len(content) > FRAME_LIMIT_BYTES:
        raise ProtocolError(f'frame of {len(content)} bytes is too large')
    return _LENGTH.pack(len(content)) + content


class FrameReader:
    """Reads frames from a stream."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    async def read(self) -> bytes:
        """Return the content of the next frame.

        Raises:
            ProtocolError: the frame is longer than ``FRAME_LIMIT_BYTES``.
            tornado.iostream.StreamClosedError: the connection was closed.
        """
        header = await self.stream.read_bytes(_LENGTH.size)
        (length,) = _LENGTH.unpack(header)
        if length > FRAME_LIMIT_BYTES:
            raise ProtocolError(
                f'announced frame of {length} bytes is too large'
            )
        return await self.stream.read_bytes(length)
