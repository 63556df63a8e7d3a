"""Encodes message dataclasses as Cap'n Proto messages and decodes them.

A dataclass field ``retry_after_s`` is the schema field ``retryAfterS`` of the
struct with the dataclass's name.  Fields may be str, int, float, bool, bytes,
another message dataclass, or a list of any of these.
"""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Any

import capnp

from celerywharf.exceptions import ProtocolError
from celerywharf.timeline import NO_STAMP, Stamp

PROTOCOL_VERSION = 1
SCHEMA_DIRECTORY = Path(__file__).parent / 'schemas'
# Bounds the cost of reading a message: 64 MB in words of 8 bytes, which is
# above the largest frame.
TRAVERSAL_LIMIT_WORDS = 8_000_000

Converter = Callable[[Any], Any]


class Kind(enum.IntEnum):
    """Kind of a message; only a request is answered, by a reply."""

    one_way = 0
    request = 1
    reply = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message with its metadata.

    Attributes:
        kind: whether a reply is expected, or the message is a reply.
        correlation: number of the request, repeated in its reply; 0 for
            messages without a reply.
        body: instance of a message dataclass.
        stamp: hybrid time at which the message was sent.
    """

    kind: Kind
    correlation: int
    body: Any
    stamp: Stamp = NO_STAMP


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    # None where the value needs no conversion.
    write: Converter | None
    read: Converter | None


@dataclasses.dataclass(frozen=True, slots=True)
class _MessageType:
    message_class: type
    struct: Any
    fields: tuple[_Field, ...]


class Codec:
    """Encodes and decodes the registered messages."""

    def __init__(self) -> None:
        self.envelope = capnp.load(
            str(SCHEMA_DIRECTORY / 'envelope.capnp')
        ).Envelope
        self.message_types: dict[str, _MessageType] = {}

    def register(self, module: ModuleType) -> None:
        """Register the dataclasses of a module that are in its schema."""
        name = module.__name__.rpartition('.')[2]
        schema = capnp.load(str(SCHEMA_DIRECTORY / f'{name}.capnp'))
        for struct_name, member in vars(module).items():
            if dataclasses.is_dataclass(member) and hasattr(
                schema, struct_name
            ):
                struct = getattr(schema, struct_name)
                self.message_types[struct_name] = _MessageType(
                    member, struct, _wire_fields(member)
                )

    def encode(self, envelope: Envelope, stamp: Stamp = NO_STAMP) -> bytes:
        """Return the content of a frame.

        The time in the message is ``stamp``; ``envelope.stamp`` is not used.

        Raises:
            ProtocolError: a field has a value that a message cannot hold, such
                as half of a surrogate pair.
        """
        try:
            return self._encode(envelope, stamp)
        except Exception as error:
            raise ProtocolError(f'unsendable message: {error}') from error

    def decode(self, content: bytes) -> Envelope:
        """Return the message in the content of a frame.

        Raises:
            ProtocolError: the bytes are not a message of this version.
        """
        try:
            return self._decode(content)
        except ProtocolError:
            raise
        except Exception as error:
            raise ProtocolError(f'unreadable message: {error}') from error

    def _encode(self, envelope: Envelope, stamp: Stamp) -> bytes:
        message = self.envelope.new_message()
        message.version = PROTOCOL_VERSION
        message.kind = int(envelope.kind)
        message.correlation = envelope.correlation
        message.stampMicros = stamp.micros
        message.stampCount = stamp.count
        message_type = self.message_types[type(envelope.body).__name__]
        message.name = message_type.message_class.__name__
        builder = message.body.as_struct(message_type.struct)
        for field in message_type.fields:
            value = getattr(envelope.body, field.name)
            written = value if field.write is None else field.write(value)
            setattr(builder, field.wire_name, written)
        return message.to_bytes()

    def _decode(self, content: bytes) -> Envelope:
        with self.envelope.from_bytes(
            content,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        ) as message:
            if message.version != PROTOCOL_VERSION:
                raise ProtocolError(
                    f'unsupported message version {message.version}'
                )
            message_type = self.message_types[message.name]
            reader = message.body.as_struct(message_type.struct)
            body = _read_struct(
                message_type.message_class, message_type.fields, reader
            )
            stamp = Stamp(message.stampMicros, message.stampCount)
            kind = Kind(message.kind)
            return Envelope(kind, message.correlation, body, stamp)


def _read_struct(
    message_class: type, fields: tuple[_Field, ...], reader: Any
) -> Any:
    values = []
    for field in fields:
        value = getattr(reader, field.wire_name)
        values.append(value if field.read is None else field.read(value))
    return message_class(*values)


def _wire_fields(message_class: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(message_class)
    return tuple(
        _Field(
            field.name,
            _camel_case(field.name),
            _writer_for(hints[field.name]),
            _reader_for(hints[field.name]),
        )
        for field in dataclasses.fields(message_class)
    )


def _writer_for(hint: Any) -> Converter | None:
    if dataclasses.is_dataclass(hint):
        fields = _wire_fields(hint)
        return lambda value: _to_dict(fields, value)
    if typing.get_origin(hint) in {list, tuple}:
        convert = _writer_for(typing.get_args(hint)[0])
        if convert is None:
            return list
        return lambda values: [convert(value) for value in values]
    return None


def _reader_for(hint: Any) -> Converter | None:
    if dataclasses.is_dataclass(hint):
        fields = _wire_fields(hint)
        return lambda reader: _read_struct(hint, fields, reader)
    origin = typing.get_origin(hint)
    if origin in {list, tuple}:
        convert = _reader_for(typing.get_args(hint)[0])
        if convert is None:
            return origin
        return lambda values: origin(convert(value) for value in values)
    return bytes if hint is bytes else None


def _to_dict(fields: tuple[_Field, ...], value: Any) -> dict[str, Any]:
    written = {}
    for field in fields:
        item = getattr(value, field.name)
        written[field.wire_name] = (
            item if field.write is None else field.write(item)
        )
    return written


def _camel_case(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(word.capitalize() for word in rest)
