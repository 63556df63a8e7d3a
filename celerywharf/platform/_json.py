"""Parses JSON with values that pydantic's parser refuses.

The parser refuses a text as a whole if one of its values is nested too deep, a
string has half of a surrogate pair, or a number has too many digits.  Here such
a value is replaced, so that only the member that holds it is malformed, or
ignored if it is unknown.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Iterator
from itertools import chain, islice
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import from_json

MAX_DEPTH = 100  # the parser takes 200; no document needs as many
RUNS_AT_ONCE = 2000  # a few milliseconds
NOT_JSON = 'json_invalid'  # type of pydantic's error
# Stand for escapes while strings are taken out; JSON has no such bytes.
BACKSLASH = b'\x00'
QUOTE = b'\x01'
# Deep values mostly open and close many levels in a row.
RUNS = re.compile(
    rb'(?P<opening>(?:[^\[\]{}]*+[\[{])++)'
    rb'|(?P<closing>(?:[^\[\]{}]*+[\]}])++)'
    rb'|[^\[\]{}]++'
)
OPENING = re.compile(rb'[\[{]')
UNICODE_ESCAPE = re.compile(rb'\\u')
HALF_PAIR = re.compile(
    rb'\\u[dD][89abAB][\da-fA-F]{2}(?!\\u[dD][c-fC-F][\da-fA-F]{2})'
    rb'|(?<!\\u[dD][89abAB][\da-fA-F]{2})\\u[dD][c-fC-F][\da-fA-F]{2}'
)
# What the parser says of values that can be replaced; other errors stay.
REDUCIBLE = ('recursion limit', 'hex escape', 'number out of range')
# Of more than 4,300 digits, and no part of a fraction or an exponent.
LONG_NUMBER = re.compile(
    rb'(?<![\d.eE+])(?<![eE]-)[1-9]\d{4300,}(?:\.\d+)?(?:[eE][-+]?\d+)?'
)
LONG_DIGITS = re.compile(rb'\d{4300}')  # much faster to look for
INFINITE = b'1e999'
REPLACEMENT = '\ufffd'.encode()  # no header can hold it

Model = TypeVar('Model', bound=BaseModel)


def parse_json(text: bytes) -> Any:
    """Parse a text.

    Raises:
        ValueError: it is not JSON.
    """
    try:
        return from_json(text)
    except ValueError as error:
        if not _is_reducible(str(error)):
            raise
    return from_json(_reduced(text))


async def parse_json_in_steps(text: bytes) -> Any:
    """Parse a text; other work goes on while one is reduced.

    Raises:
        ValueError: it is not JSON.
    """
    try:
        return from_json(text)
    except ValueError as error:
        if not _is_reducible(str(error)):
            raise
    reducer = TextReducer(text)
    for _ in reducer.steps():
        await asyncio.sleep(0)
    return from_json(reducer.reduced())


def validate_json(model: type[Model], text: bytes) -> Model:
    """Parse a text and validate it.

    Raises:
        pydantic.ValidationError: it is not JSON, or not valid.
    """
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        details = error.errors(include_input=False)[0]
        if details['type'] != NOT_JSON or not _is_reducible(details['msg']):
            raise
    return model.model_validate_json(_reduced(text))


def is_syntax_error(error: ValidationError) -> bool:
    """Return whether a text was refused because it is not JSON."""
    return error.errors(include_input=False)[0]['type'] == NOT_JSON


def _is_reducible(message: str) -> bool:
    return any(part in message for part in REDUCIBLE)


def _reduced(text: bytes) -> bytes:
    reducer = TextReducer(text)
    deque(reducer.steps(), maxlen=0)
    return reducer.reduced()


class TextReducer:
    """Reduces a JSON text to what the parser takes.

    Lists and objects below a certain depth become ``null``, each half of a
    surrogate pair becomes another character, and numbers with too many digits
    become infinite.

    The time taken grows linearly with the text. What is replaced is only
    checked for as many closing brackets as opening ones.

    Attributes:
        text: the text as given.
        max_depth: levels that are left.
        skeleton: the text with a quote in place of each string.
        strings: the strings, without quotes.
        used_strings: how many of them have been passed.
        kept: the part of the skeleton that is left.
        kept_strings: the strings in it.
        position: end of the part of the skeleton that was kept or replaced.
        depth: number of open brackets.
        is_balanced: whether no bracket or string has been found without its
            counterpart.
    """

    def __init__(self, text: bytes, max_depth: int = MAX_DEPTH) -> None:
        self.text = text
        self.max_depth = max_depth
        escaped = text.replace(rb'\\', BACKSLASH).replace(rb'\"', QUOTE)
        if UNICODE_ESCAPE.search(escaped):
            escaped = HALF_PAIR.sub(REPLACEMENT, escaped)
        pieces = escaped.split(b'"')
        outside = b'"'.join(pieces[::2])
        has_digits = LONG_DIGITS.search(outside)
        self.skeleton = (
            LONG_NUMBER.sub(INFINITE, outside) if has_digits else outside
        )
        self.strings = pieces[1::2]
        self.used_strings = 0
        self.kept = bytearray()
        self.kept_strings: list[bytes] = []
        self.position = 0
        self.depth = 0
        self.is_balanced = (
            len(pieces) % 2 == 1 and BACKSLASH not in text and QUOTE not in text
        )
        self.runs = RUNS.finditer(self.skeleton)

    def steps(self, runs_at_once: int = RUNS_AT_ONCE) -> Iterator[None]:
        """Process the text, with a pause after some runs of brackets."""
        while runs := list(islice(self.runs, runs_at_once)):
            for run in runs:
                if run.lastgroup == 'opening':
                    self._open(run)
                elif run.lastgroup == 'closing':
                    self._close(run)
            if not self.is_balanced:
                break
            yield

    def reduced(self) -> bytes:
        """Return the reduced text; the given one if it is not JSON."""
        if self.depth or not self.is_balanced:
            return self.text
        self._keep_until(len(self.skeleton))
        outside = self.kept.split(b'"')
        pairs = zip(outside[:-1], self.kept_strings, strict=True)
        escaped = b'"'.join((*chain.from_iterable(pairs), outside[-1]))
        return escaped.replace(QUOTE, rb'\"').replace(BACKSLASH, rb'\\')

    def _open(self, run: re.Match[bytes]) -> None:
        before = self.depth
        self.depth += run[0].count(b'[') + run[0].count(b'{')
        if before <= self.max_depth < self.depth:
            brackets = OPENING.finditer(self.skeleton, run.start())
            first = next(islice(brackets, self.max_depth - before, None))
            self._keep_until(first.start())

    def _close(self, run: re.Match[bytes]) -> None:
        before = self.depth
        brackets = run[0].replace(b'}', b']')
        self.depth -= brackets.count(b']')
        if self.depth < 0:
            self.is_balanced = False
        elif self.depth <= self.max_depth < before:
            kept = self.max_depth - self.depth
            if kept:
                brackets = brackets.rsplit(b']', kept)[0]
            last = brackets.rindex(b']')
            self._replace_until(run.start() + last + 1)

    def _keep_until(self, end: int) -> None:
        part = self.skeleton[self.position : end]
        self.kept += part
        first = self.used_strings
        self.used_strings += part.count(b'"')
        self.kept_strings += self.strings[first : self.used_strings]
        self.position = end

    def _replace_until(self, end: int) -> None:
        self.used_strings += self.skeleton.count(b'"', self.position, end)
        self.kept.extend(b'null')
        self.position = end
