"""Writes malformed and large documents to the store."""

from __future__ import annotations

import json
import secrets
import threading
import time
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from random import Random
from typing import Any

from soak.entries import (
    MAX_ENTRY_BYTES,
    MIN_ENTRY_BYTES,
    PRIORITIES,
    EnlargeEntries,
    MalformPriority,
    WriteEntries,
    draw_entries,
    draw_entry,
    draw_size,
    draw_text,
)
from soak.records import Evidence
from standins.fronts import PlatformRig
from standins.launching import Fleet

REWRITE_PERIOD_S = 1.0
MAX_CHANGING = 8  # entries that are rewritten or grow
GROWTH = 2  # factor of each period
PRIORITY_MARK = 'malformed priority'


class WritingRig(PlatformRig):
    """A platform whose store gets documents that are malformed or large.

    Attributes:
        evidence: records of the faults and of failures seen so far.
        lock: held while the configuration is written.
        malformed: the malformed priority of the configuration, if any.
        unknown_bytes: size of an unknown member of the servers' entries.
        entries: the servers' entries as last written.
        ended: set when entries of another writer no longer change.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.evidence = Evidence()
        self.lock = threading.Lock()
        self.malformed: MalformPriority | None = None
        self.unknown_bytes = 0
        self.entries: dict[str, Any] = {}
        self.entry_lock = threading.RLock()
        self.ended = threading.Event()
        self.writers = ThreadPoolExecutor()
        self.writings: list[Future[None]] = []
        super().__init__(fleet)

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row to the store; a text is written as it is."""
        with self.entry_lock:
            if table == 'servers' and isinstance(content, dict):
                content = {**content, **self._unknown_members(key)}
                self.entries[key] = content
            elif table == 'servers' and content is None:
                self.entries.pop(key, None)
            super().put(table, key, content)

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration, with changes."""
        if self.malformed is None:
            super().configure(**changes)
            return
        self.version += 1
        document = {**self.configuration(), **changes}
        document[self.malformed.section][0]['priority'] = PRIORITY_MARK
        # The encoder does not nest as deep as the malformed priorities.
        text = json.dumps(document).replace(
            json.dumps(PRIORITY_MARK), PRIORITIES[self.malformed.kind]
        )
        self.put('op', 'config', text)

    def configuration(self) -> dict[str, object]:
        """Return the configuration; only the newest API key is valid."""
        configuration = super().configuration()
        configuration['tenants'] = [
            {'name': 'lakeshore', 'apiKeys': self.keys[-1:]}
        ]
        return configuration

    def rotate_key(self) -> None:
        """Revoke the newest API key and issue another one."""
        with self.lock:
            old_key = self.keys[-1]
            self.keys.append(secrets.token_hex(8))
            self.configure()
            self.evidence.revoked_keys[old_key] = time.monotonic()

    def malform_priority(self, fault: MalformPriority) -> None:
        """Write a configuration with a malformed priority."""
        self.malformed = fault
        if fault.with_key:
            self.rotate_key()
            return
        with self.lock:
            self.configure()

    def find_readers(self, zones: Mapping[str, str]) -> tuple[str, ...]:
        """Return the fronts that read the store for their zones.

        Args:
            zones: availability zone of each front.

        Returns:
            All fronts if the store does not tell.
        """
        try:
            return tuple(
                self.content('readers', zone)['host']
                for zone in dict.fromkeys(zones.values())
            )
        except (OSError, LookupError, TypeError):
            return tuple(zones)

    def enlarge_entries(self, fault: EnlargeEntries) -> None:
        """Add an unknown member to the servers' entries, from now on."""
        with self.entry_lock:
            self.unknown_bytes = fault.size_bytes
            for name, entry in tuple(self.entries.items()):
                self.put('servers', name, entry)

    def write_entries(self, fault: WriteEntries, span_s: float) -> None:
        """Write another writer's entries; some change on in the background.

        Args:
            fault: the entries.
            span_s: entries that are removed are there for this time.
        """
        entries = draw_entries(fault)
        for key, text in entries.items():
            self.put('servers', key, text)
        if fault.course == 'removed':
            time.sleep(span_s)
            for key in entries:
                self.put('servers', key, None)
        elif fault.course != 'kept':
            changing = tuple(entries)[:MAX_CHANGING]
            self.writings.append(
                self.writers.submit(self._keep_changing, fault, changing)
            )

    def end_writing(self) -> None:
        """End the changes of another writer's entries.

        Raises:
            OSError: an entry was not written.
        """
        self.ended.set()
        for writing in self.writings:
            writing.result()

    def _keep_changing(
        self, fault: WriteEntries, keys: tuple[str, ...]
    ) -> None:
        random = Random(fault.seed)
        grown_bytes = MIN_ENTRY_BYTES
        while not self.ended.wait(REWRITE_PERIOD_S):
            grown_bytes = min(grown_bytes * GROWTH, MAX_ENTRY_BYTES)
            for key in keys:
                size_bytes = draw_size(random)
                if fault.course == 'growing':
                    size_bytes = grown_bytes
                self.put('servers', key, draw_entry(random, size_bytes))

    def _unknown_members(self, name: str) -> dict[str, str]:
        if not self.unknown_bytes:
            return {}
        return {'notes': draw_text(Random(name), self.unknown_bytes)}
