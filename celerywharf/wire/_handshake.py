"""Mutual proof of the inner key when a link opens."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Any

from tornado.iostream import IOStream

from celerywharf.exceptions import ProtocolError
from celerywharf.structures import Address, HostIdentity
from celerywharf.wire._codec import Codec, Envelope, Kind
from celerywharf.wire._frames import FrameReader, frame
from celerywharf.wire.basics import Hello, Proof

NONCE_BYTES = 16


@dataclass(frozen=True, slots=True)
class Sender:
    """The host at the other end of a link, as it proved itself."""

    host: str
    region: str
    availability_zone: str
    inner: Address
    incarnation: int

    @property
    def place(self) -> tuple[str, str]:
        """Return region and availability zone."""
        return self.region, self.availability_zone


class Handshake:
    """Greets peers in the name of one host."""

    def __init__(
        self,
        identity: HostIdentity,
        key: bytes,
        codec: Codec,
    ) -> None:
        self.identity = identity
        self.key = key
        self.codec = codec

    async def greet(self, stream: IOStream, *, initiator: bool) -> Sender:
        """Exchange greetings and proofs.

        Raises:
            ProtocolError: the peer does not know the key.
            tornado.iostream.StreamClosedError: the peer closed the link.
        """
        mine = Hello(
            host=self.identity.name,
            region=self.identity.region,
            availability_zone=self.identity.availability_zone,
            inner=str(self.identity.inner),
            incarnation=self.identity.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        reader = FrameReader(stream)
        await self._put(stream, mine)
        theirs = await self._take(reader, Hello)
        both = (mine, theirs) if initiator else (theirs, mine)
        await self._put(stream, Proof(self._digest(both, initiator)))
        proof = await self._take(reader, Proof)
        expected = self._digest(both, not initiator)
        if not hmac.compare_digest(proof.digest, expected):
            raise ProtocolError('the peer does not know the inner key')
        return Sender(
            theirs.host,
            theirs.region,
            theirs.availability_zone,
            Address.parse(theirs.inner),
            theirs.incarnation,
        )

    def _digest(self, hellos: tuple[Hello, Hello], initiator: bool) -> bytes:
        digest = hmac.new(self.key, bytes([initiator]), hashlib.sha256)
        for hello in hellos:
            digest.update(
                self.codec.encode(Envelope(Kind.one_way, 0, hello)),
            )
        return digest.digest()

    async def _put(self, stream: IOStream, message: Any) -> None:
        envelope = Envelope(Kind.one_way, 0, message)
        await stream.write(frame(self.codec.encode(envelope)))

    async def _take(self, reader: FrameReader, kind: type) -> Any:
        body = self.codec.decode(await reader.read()).body
        if not isinstance(body, kind):
            raise ProtocolError(f'{kind.__name__} expected')
        return body
