"""Which software versions each service has had, and who saw them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from celerywharf.backends import VERSIONS_KEPT_S

# Streams that began before a loss of all hosts are alive no longer than this.
LOSS_OUTLIVED_S = 60.0
MAX_VERSIONS = 32  # of one service; the oldest that are gone are dropped first


@dataclass(frozen=True, slots=True)
class Recorder:
    """The process that recorded a version.

    Attributes:
        name: unique among all processes.
        availability_zone: zone whose reader it was.
        started_s: its start, on the store's clock, seconds.
    """

    name: str
    availability_zone: str
    started_s: float


@dataclass(frozen=True, slots=True)
class VersionEntry:
    """A software version of a service.

    Attributes:
        software_version: the version.
        gone_s: when its last server had left, on the store's clock; None while
            there are servers.
        recorders: the first reader of each availability zone that saw it.
    """

    software_version: str
    gone_s: float | None
    recorders: tuple[Recorder, ...]


class VersionHistory:
    """Tells which versions may have begun a stream that no host knows.

    It outlives the hosts: it is kept in the store, and written only when a
    service gets or loses a version, once by the reader of each zone.

    Attributes:
        entries: the versions, by service and version.
        unsaved: those that the store has lost and that must be recorded again.
    """

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, VersionEntry]] = {}
        self.unsaved: dict[str, dict[str, VersionEntry]] = {}

    def store_restored(self) -> None:
        """Record again what an older copy of the store may lack."""
        self.unsaved = dict(self.entries)

    def load(self, recorded: Mapping[str, Collection[VersionEntry]]) -> None:
        """Replace what is known of all services by what was recorded."""
        self.entries = {}
        for service, entries in recorded.items():
            self.replace(service, entries)

    def replace(self, service: str, entries: Collection[VersionEntry]) -> None:
        """Replace what is known of a service by what was recorded."""
        self.entries[service] = {
            entry.software_version: entry for entry in entries
        }

    def merged(
        self,
        service: str,
        present: Collection[str],
        recorder: Recorder,
        now_s: float,
    ) -> tuple[VersionEntry, ...] | None:
        """Return what is to be recorded; None if that is recorded already.

        Args:
            service: name of the service.
            present: versions of its servers now.
            recorder: this process.
            now_s: time on the store's clock, seconds.
        """
        known = self.entries.get(service, {})
        unsaved = self.unsaved.get(service, {})
        merged = {}
        for version in (*unsaved, *known, *present):
            new = VersionEntry(version, None, ())
            lost = unsaved.get(version, new)
            entry = _with_recorders(known.get(version, lost), lost.recorders)
            if version in present:
                entry = _with_recorders(entry, (recorder,))
            merged[version] = _update(entry, version in present, now_s)
        kept = _without_expired(merged, now_s)
        if known == {entry.software_version: entry for entry in kept}:
            self.unsaved.pop(service, None)
            return None
        return kept

    def possible(
        self,
        service: str,
        alive: Collection[str],
        now_s: float,
    ) -> frozenset[str]:
        """Return the versions that may have begun a stream nobody knows.

        While a service has several versions, the readers of all zones are told
        of its streams.  After a loss of all hosts, a version that only living
        readers have seen began no stream that is unknown, unless another host
        was lost since.

        Args:
            service: name of the service.
            alive: names of the readers of all zones; empty if a host was lost
                since the loss of all.
            now_s: time on the store's clock, seconds.
        """
        entries = _without_expired(self.entries.get(service, {}), now_s)
        seen_since = [
            entry
            for entry in entries
            if all(each.name in alive for each in entry.recorders)
        ]
        seen_before = [entry for entry in entries if entry not in seen_since]
        if seen_before and all(
            now_s - each.started_s < LOSS_OUTLIVED_S
            for entry in seen_since
            for each in entry.recorders
        ):
            entries = seen_before
        return frozenset(entry.software_version for entry in entries)

    def recent(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions of a service now or a short time ago."""
        entries = _without_expired(self.entries.get(service, {}), now_s)
        return frozenset(entry.software_version for entry in entries)


def _update(
    entry: VersionEntry, is_present: bool, now_s: float
) -> VersionEntry:
    if is_present:
        return replace(entry, gone_s=None)
    if entry.gone_s is None:
        return replace(entry, gone_s=now_s)
    return entry


def _with_recorders(
    entry: VersionEntry, recorders: Collection[Recorder]
) -> VersionEntry:
    """Add the recorders of zones that have none yet."""
    zones = {each.availability_zone for each in entry.recorders}
    added = tuple(
        each for each in recorders if each.availability_zone not in zones
    )
    if not added:
        return entry
    return replace(entry, recorders=entry.recorders + added)


def _without_expired(
    entries: Mapping[str, VersionEntry], now_s: float
) -> tuple[VersionEntry, ...]:
    kept = [
        entry
        for entry in entries.values()
        if entry.gone_s is None or now_s - entry.gone_s <= VERSIONS_KEPT_S
    ]
    kept.sort(key=_by_end)
    return tuple(kept[-MAX_VERSIONS:])


def _by_end(entry: VersionEntry) -> tuple[bool, float, str]:
    # The name makes the choice the same each time.
    return entry.gone_s is None, entry.gone_s or 0, entry.software_version
