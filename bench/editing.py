"""Simulated operators that edit the shared table through random hosts."""

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

EDIT_INTERVAL_S = (0.02, 0.06)

unused_limits = itertools.count(100)


@dataclass(frozen=True, slots=True)
class Edit:
    """An edit of a share and the response to it.

    Attributes:
        change_id: value of the Change-Id header.
        key: key of the share.
        limit: value written; no other edit writes the same one.
        status: HTTP status of the response, 0 without a response.
        verdict: verdict of an error response, else empty.
        version: version that the row has when the edit is accepted.
        revision: revision of the table after the edit, 0 when not accepted.
        sent_s: monotonic time of the request.
        answered_s: monotonic time of the response.
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
        """Whether the host accepted the change."""
        return self.status == HTTPStatus.OK


class Operator(threading.Thread):
    """Edits random shares until stopped.

    Attributes:
        choose_host: returns the host of the next edit.
        edits: all edits sent so far.
    """

    def __init__(
        self,
        cluster: Cluster,
        keys: Sequence[str],
        seed: str,
        choose_host: Callable[[random.Random], str],
    ) -> None:
        super().__init__(daemon=True)
        self.cluster = cluster
        self.keys = keys
        self.seed = seed
        self.choose_host = choose_host
        self.edits: list[Edit] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Edit until stopped."""
        rng = random.Random(self.seed)
        while not self.stopping.wait(rng.uniform(*EDIT_INTERVAL_S)):
            # A host that fails while the row is read has received no edit.
            with contextlib.suppress(OSError):
                self._edit(self.choose_host(rng), rng.choice(self.keys))

    def _edit(self, host: str, key: str) -> None:
        path = f'/table/share/{key}'
        status, row = self.cluster.operate(host, 'GET', path)
        if status != HTTPStatus.OK:
            return
        limit = next(unused_limits)
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
