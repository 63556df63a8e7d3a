"""Operators that edit rows of the shared table through random hosts."""

import contextlib
import itertools
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from standins.calls import call
from standins.clusters import HEADERS, Cluster

PAUSE_S = (0.02, 0.06)

serials = itertools.count(100)


@dataclass(frozen=True, slots=True)
class Edit:
    """One edit and its answer.

    Attributes:
        change_id: id given to the change.
        key: key of the share.
        limit: value written, never used twice.
        status: status of the answer, 0 when none came.
        verdict: verdict of an error.
        version: version of the row when accepted.
        revision: revision of the table when accepted.
        sent_s: monotonic time of the request.
        answered_s: monotonic time of the answer.
    """

    change_id: str
    key: str
    limit: int
    status: int
    verdict: str
    version: int
    revision: int
    sent_s: float
    answered_s: float

    @property
    def accepted(self) -> bool:
        """Tell whether the change was accepted."""
        return self.status == HTTPStatus.OK


class Operator(threading.Thread):
    """Edits random shares until stopped.

    Attributes:
        edits: what was asked and answered.
    """

    def __init__(
        self,
        cluster: Cluster,
        keys: Sequence[str],
        seed: str,
        choose: Callable[[random.Random], str],
    ) -> None:
        super().__init__(daemon=True)
        self.cluster = cluster
        self.keys = keys
        self.seed = seed
        self.choose = choose
        self.edits: list[Edit] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Edit until stopped."""
        source = random.Random(self.seed)
        while not self.stopping.wait(source.uniform(*PAUSE_S)):
            # A host that fails while the row is read was asked for nothing.
            with contextlib.suppress(OSError):
                self._edit(self.choose(source), source.choice(self.keys))

    def _edit(self, host: str, key: str) -> None:
        path = f'/table/share/{key}'
        status, row = self.cluster.operate(host, 'GET', path)
        if status != HTTPStatus.OK:
            return
        limit = next(serials)
        change_id = f'{self.seed}-{limit}'
        content = {
            'version': row['version'],
            'fields': {**row['fields'], 'limit': limit},
        }
        sent_s = time.monotonic()
        status, answer = self._put(host, path, content, change_id)
        self.edits.append(
            Edit(
                change_id=change_id,
                key=key,
                limit=limit,
                status=status,
                verdict=answer.get('error', {}).get('verdict', ''),
                version=row['version'] + 1,
                revision=answer.get('revision', 0),
                sent_s=sent_s,
                answered_s=time.monotonic(),
            ),
        )

    def _put(
        self,
        host: str,
        path: str,
        content: dict,
        change_id: str,
    ) -> tuple[int, dict]:
        edge = self.cluster.members[host].edge
        headers = {**HEADERS, 'Change-Id': change_id}
        try:
            return call(edge, 'PUT', f'/operator{path}', content, headers)
        except OSError:
            return 0, {}
