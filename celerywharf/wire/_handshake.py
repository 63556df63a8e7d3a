"""Mutual authentication with the inner key when a link opens."""

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
    """The authenticated host at the other end of a link.

    Attributes:
        host: name of the host.
        region: region of the host.
        availability_zone: availability zone of the host.
        inner: address for other hosts.
        incarnation: increases with each start of the process.
    """

    host: str
    region: str
    availability_zone: str
    inner: Address
    incarnation: int

    @property
    def location(self) -> tuple[str, str]:
        """Return region and availability zone."""
        return self.region, self.availability_zone


class Handshake:
    """Authenticates a host to its peers and the peers to the host.

    Each side proves that it knows the key by a digest over both greetings,
    which contain a fresh nonce from either side.
    """

    def __init__(
        self,
        identity: HostIdentity,
        key: bytes,
        codec: Codec,
    ) -> None:
        self.identity = identity
        self.key = key
        self.codec = codec

    async def exchange(self, stream: IOStream, *, initiator: bool) -> Sender:
        """Exchange greetings and proofs; return the authenticated peer.

        Raises:
            ProtocolError: the peer does not know the key, or sent another
                message.
            tornado.iostream.StreamClosedError: the connection was closed.
        """
        own_hello = Hello(
            host=self.identity.name,
            region=self.identity.region,
            availability_zone=self.identity.availability_zone,
            inner=str(self.identity.inner),
            incarnation=self.identity.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
        )
        reader = FrameReader(stream)
        await self._send(stream, own_hello)
        peer_hello = await self._receive(reader, Hello)
        hellos = (
            (own_hello, peer_hello) if initiator else (peer_hello, own_hello)
        )
        await self._send(stream, Proof(self._digest(hellos, initiator)))
        proof = await self._receive(reader, Proof)
        expected = self._digest(hellos, not initiator)
        if not hmac.compare_digest(proof.digest, expected):
            raise ProtocolError('the peer does not know the inner key')
        return Sender(
            peer_hello.host,
            peer_hello.region,
            peer_hello.availability_zone,
            Address.parse(peer_hello.inner),
            peer_hello.incarnation,
        )

    def _digest(self, hellos: tuple[Hello, Hello], initiator: bool) -> bytes:
        digest = hmac.new(self.key, bytes([initiator]), hashlib.sha256)
        for hello in hellos:
            digest.update(
                self.codec.encode(Envelope(Kind.one_way, 0, hello)),
            )
        return digest.digest()

    async def _send(self, stream: IOStream, message: Any) -> None:
        envelope = Envelope(Kind.one_way, 0, message)
        await stream.write(frame(self.codec.encode(envelope)))

    async def _receive(self, reader: FrameReader, message_class: type) -> Any:
        body = self.codec.decode(await reader.read()).body
        if not isinstance(body, message_class):
            raise ProtocolError(f'{message_class.__name__} expected')
        return body
