"""What two hosts tell each other about a request that is passed on."""

from __future__ import annotations

import enum
import hashlib
import hmac
import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.structures import Address

RELAY_HEADER = 'celerywharf-relay'
DIGEST_BYTES = 16
SEPARATOR = ' '
MAX_REASON = 200
MAX_TIMEOUT_S = 86_400


@dataclass(frozen=True, slots=True)
class Relay:
    """What a host tells about a request that it passes on.

    Attributes:
        request_id: id of the caller's attempt.
        asks: only ask whether the request is in progress.
        version: version of the configuration that admitted it.
        key_digest: digest of the caller's key; empty if there is none.
        attempts: sends that are left to it.
        timeout_s: time that is left until the time-out of its route, seconds.
        counted: the request is counted for the retry budget already.
        software_version: version that began the stream; empty if unknown.
        copy_at: address of the server that holds a copy of its run, as text;
            empty if there is none.
    """

    request_id: str
    asks: bool = False
    version: int = 0
    key_digest: str = ''
    attempts: int = 1
    timeout_s: float = 0
    counted: bool = False
    software_version: str = ''
    copy_at: str = ''


class RelayResult(enum.Enum):
    """What became of a request that was passed on.

    Attributes:
        served: the answer is a backend server's.
        failed: the answer is an error of the host that tried to serve it.
        declined: the host has not tried; the request has not run.
    """

    served = 'served'
    failed = 'failed'
    declined = 'declined'


@dataclass(frozen=True, slots=True)
class RelayReport:
    """What a host answers about a request that was passed to it.

    Attributes:
        result: see ``RelayResult``.
        reason: of a failure.
        retry_after_s: when the caller may try again; 0 if that is not known.
        software_version: of the server that answers a stream; empty if it
            states none.
        leaving: incarnation of the server that answers, if it says that it
            leaves; else empty.
    """

    result: RelayResult
    reason: str = ''
    retry_after_s: float = 0
    software_version: str = ''
    leaving: str = ''


class _Relay(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    request_id: str = Field(max_length=1000)
    asks: bool
    version: int
    key_digest: str = Field(max_length=2 * DIGEST_BYTES)
    attempts: int = Field(ge=1, le=1000)
    timeout_s: float = Field(ge=0, le=MAX_TIMEOUT_S)
    counted: bool
    software_version: str = Field(max_length=1000)
    copy_at: str = Field(max_length=100)


class _Report(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    result: RelayResult
    reason: str = ''
    retry_after_s: float = Field(default=0, ge=0)
    software_version: str = ''
    leaving: str = ''


def key_digest(key: str | None) -> str:
    """Return what is passed on in place of an API key; empty without one."""
    if key is None:
        return ''
    digest = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()


def write_relay(relay: Relay, method: str, target: str, key: bytes) -> str:
    """Return the header of a request that is passed on.

    Args:
        relay: what is told of it.
        method: its HTTP method.
        target: its path and query.
        key: the key of the host that it is passed to.
    """
    text = json.dumps(asdict(relay))
    return _signature(text, method, target, key) + SEPARATOR + text


def read_relay(header: str, method: str, target: str, key: bytes) -> Relay:
    """Parse and check the header of a request that is passed on.

    Raises:
        ValueError: it is malformed, or not from a host that knows the key.
    """
    signature, _, text = header.partition(SEPARATOR)
    expected = _signature(text, method, target, key)
    if not hmac.compare_digest(signature.encode(), expected.encode()):
        raise ValueError('not from a host')
    try:
        relay = Relay(**_Relay.model_validate_json(text).model_dump())
    except ValidationError as error:
        raise ValueError(str(error)) from None
    if relay.copy_at:
        Address.parse(relay.copy_at)
    return relay


def write_report(report: RelayReport) -> str:
    """Return the header of an answer to a request that was passed on."""
    return json.dumps(
        {
            'result': report.result.value,
            'reason': report.reason[:MAX_REASON],
            'retry_after_s': report.retry_after_s,
            'software_version': report.software_version,
            'leaving': report.leaving,
        }
    )


def read_report(headers: Mapping[str, str]) -> RelayReport | None:
    """Parse the header of an answer; None if it is missing or malformed."""
    text = headers.get(RELAY_HEADER)
    if text is None:
        return None
    try:
        report = _Report.model_validate_json(text)
    except ValidationError:
        return None
    return RelayReport(**report.model_dump())


def _signature(text: str, method: str, target: str, key: bytes) -> str:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for field in (text, method, target):
        encoded = field.encode(errors='surrogatepass')
        digest.update(f'{len(encoded)}:'.encode() + encoded)
    return digest.hexdigest()
