"""Dataclasses to Cap'n Proto messages and back.

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

VERSION = 1
SCHEMAS = Path(__file__).parent / 'schemas'
TRAVERSAL_LIMIT_WORDS = 8_000_000

Convert = Callable[[Any], Any]


class Kind(enum.IntEnum):
    """What a frame is: a message without answer, a question or an answer."""

    one_way = 0
    request = 1
    reply = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message with what is needed to answer it.

    Attributes:
        kind: whether an answer is expected, or this is one.
        correlation: number that ties an answer to its question.
        body: a message dataclass.
        stamp: hybrid time at which it was sent.
    """

    kind: Kind
    correlation: int
    body: Any
    stamp: Stamp = NO_STAMP


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    name: str
    wire_name: str
    write: Convert | None
    read: Convert | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    kind: type
    struct: Any
    fields: tuple[_Field, ...]


class Codec:
    """Encodes and decodes the registered messages."""

    def __init__(self) -> None:
        self.envelope = capnp.load(str(SCHEMAS / 'envelope.capnp')).Envelope
        self.plans: dict[str, _Plan] = {}

    def register(self, module: ModuleType) -> None:
        """Add all dataclasses of a module that its schema names too."""
        name = module.__name__.rpartition('.')[2]
        schema = capnp.load(str(SCHEMAS / f'{name}.capnp'))
        for struct_name, kind in vars(module).items():
            if dataclasses.is_dataclass(kind) and hasattr(schema, struct_name):
                struct = getattr(schema, struct_name)
                self.plans[struct_name] = _Plan(kind, struct, _fields(kind))

    def encode(self, envelope: Envelope, stamp: Stamp = NO_STAMP) -> bytes:
        """Return the bytes of one frame's content."""
        message = self.envelope.new_message()
        message.version = VERSION
        message.kind = int(envelope.kind)
        message.correlation = envelope.correlation
        message.stampMicros = stamp.micros
        message.stampCount = stamp.count
        plan = self.plans[type(envelope.body).__name__]
        message.name = plan.kind.__name__
        builder = message.body.as_struct(plan.struct)
        for field in plan.fields:
            value = getattr(envelope.body, field.name)
            written = value if field.write is None else field.write(value)
            setattr(builder, field.wire_name, written)
        return message.to_bytes()

    def decode(self, content: bytes) -> Envelope:
        """Read one frame's content.

        Raises:
            ProtocolError: the bytes are not a message of this version.
        """
        try:
            return self._decode(content)
        except ProtocolError:
            raise
        except Exception as error:
            raise ProtocolError(f'unreadable message: {error}') from error

    def _decode(self, content: bytes) -> Envelope:
        with self.envelope.from_bytes(
            content,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        ) as message:
            if message.version != VERSION:
                raise ProtocolError(f'unknown version {message.version}')
            plan = self.plans[message.name]
            reader = message.body.as_struct(plan.struct)
            body = _read(plan.kind, plan.fields, reader)
            stamp = Stamp(message.stampMicros, message.stampCount)
            kind = Kind(message.kind)
            return Envelope(kind, message.correlation, body, stamp)


def _read(kind: type, fields: tuple[_Field, ...], reader: Any) -> Any:
    values = []
    for field in fields:
        value = getattr(reader, field.wire_name)
        values.append(value if field.read is None else field.read(value))
    return kind(*values)


def _fields(kind: type) -> tuple[_Field, ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        _Field(
            field.name,
            _camel(field.name),
            _writer(hints[field.name]),
            _reader(hints[field.name]),
        )
        for field in dataclasses.fields(kind)
    )


def _writer(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        fields = _fields(hint)
        return lambda value: _as_dict(fields, value)
    if typing.get_origin(hint) in {list, tuple}:
        convert = _writer(typing.get_args(hint)[0])
        if convert is None:
            return list
        return lambda values: [convert(value) for value in values]
    return None


def _reader(hint: Any) -> Convert | None:
    if dataclasses.is_dataclass(hint):
        fields = _fields(hint)
        return lambda reader: _read(hint, fields, reader)
    origin = typing.get_origin(hint)
    if origin in {list, tuple}:
        convert = _reader(typing.get_args(hint)[0])
        if convert is None:
            return origin
        return lambda values: origin(convert(value) for value in values)
    return bytes if hint is bytes else None


def _as_dict(fields: tuple[_Field, ...], value: Any) -> dict[str, Any]:
    written = {}
    for field in fields:
        item = getattr(value, field.name)
        written[field.wire_name] = (
            item if field.write is None else field.write(item)
        )
    return written


def _camel(name: str) -> str:
    head, *rest = name.split('_')
    return head + ''.join(word.capitalize() for word in rest)
