"""Messages of every link: greeting, proof of the key, outcome of a request."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import CelerywharfError
from celerywharf.structures import Verdict


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction: the sender and a fresh nonce."""

    host: str
    region: str
    availability_zone: str
    inner: str
    incarnation: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """Second message in each direction: a keyed digest of both greetings."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The reply to a request that returns nothing."""


@dataclass(frozen=True, slots=True)
class Failure:
    """The reply to a request that failed.

    Attributes:
        code: code of the error's class in ``celerywharf.exceptions``.
        message: a sentence for people to read.
        verdict: value of the error's verdict.
        retry_after_s: seconds to wait before a retry, negative when a retry
            does not help.
    """

    code: str
    message: str
    verdict: str
    retry_after_s: float = -1

    @classmethod
    def of(cls, error: CelerywharfError) -> Failure:
        """Return the failure that describes an error."""
        retry_after_s = error.retry_after_s
        return cls(
            code=error.code,
            message=error.message,
            verdict=error.verdict.value,
            retry_after_s=-1 if retry_after_s is None else retry_after_s,
        )

    def error(self) -> CelerywharfError:
        """Return the described error.

        It is a plain ``CelerywharfError`` when no class has the code.
        """
        error_class = _error_classes_by_code().get(self.code, CelerywharfError)
        error = error_class(self.message)
        error.verdict = Verdict(self.verdict)
        error.retry_after_s = (
            None if self.retry_after_s < 0 else self.retry_after_s
        )
        return error


def _error_classes_by_code() -> dict[str, type[CelerywharfError]]:
    classes: dict[str, type[CelerywharfError]] = {}
    pending: list[type[CelerywharfError]] = [CelerywharfError]
    while pending:
        error_class = pending.pop()
        classes.setdefault(error_class.code, error_class)
        pending.extend(error_class.__subclasses__())
    return classes
