"""The inner protocol: messages between hosts of celerywharf.

Cap'n Proto messages in length-prefixed frames over TCP.  Each concern has a
module of message dataclasses in this package and a schema of the same name
under ``schemas``; ``Codec.register`` maps one to the other.
"""

from celerywharf.wire._codec import Codec, Envelope, Kind
from celerywharf.wire._frames import FRAME_LIMIT_BYTES, FrameReader, frame
from celerywharf.wire._handshake import Sender
from celerywharf.wire._links import Link, LinkService
from celerywharf.wire._registry import default_codec
from celerywharf.wire.basics import Acknowledged, Failure, Hello, Proof

__all__ = (
    'FRAME_LIMIT_BYTES',
    'Acknowledged',
    'Codec',
    'Envelope',
    'Failure',
    'FrameReader',
    'Hello',
    'Kind',
    'Link',
    'LinkService',
    'Proof',
    'Sender',
    'default_codec',
    'frame',
)
