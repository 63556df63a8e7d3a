"""Messages that every link needs: greeting, proof of the key, outcome."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.exceptions import CelerywharfError
from celerywharf.structures import Verdict


@dataclass(frozen=True, slots=True)
class Hello:
    """First message in each direction: who speaks, and a fresh nonce."""

    host: str
    region: str
    availability_zone: str
    inner: str
    incarnation: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Proof:
    """Second message: a keyed digest over both greetings."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The answer of a request that returns nothing."""


@dataclass(frozen=True, slots=True)
class Failure:
    """The answer of a request that failed.

    Attributes:
        code: code of the error's class in ``celerywharf.exceptions``.
        message: one sentence for a person.
        verdict: value of the error's verdict.
        retry_after_s: seconds, negative where no retry helps.
    """

    code: str
    message: str
    verdict: str
    retry_after_s: float = -1

    @classmethod
    def of(cls, error: CelerywharfError) -> Failure:
        """Describe an error."""
        retry_after_s = error.retry_after_s
        return cls(
            code=error.code,
            message=error.message,
            verdict=error.verdict.value,
            retry_after_s=-1 if retry_after_s is None else retry_after_s,
        )

    def error(self) -> CelerywharfError:
        """Build the described error again."""
        kind = _classes_by_code().get(self.code, CelerywharfError)
        error = kind(self.message)
        error.verdict = Verdict(self.verdict)
        error.retry_after_s = (
            None if self.retry_after_s < 0 else self.retry_after_s
        )
        return error


def _classes_by_code() -> dict[str, type[CelerywharfError]]:
    found: dict[str, type[CelerywharfError]] = {}
    pending: list[type[CelerywharfError]] = [CelerywharfError]
    while pending:
        kind = pending.pop()
        found.setdefault(kind.code, kind)
        pending.extend(kind.__subclasses__())
    return found
