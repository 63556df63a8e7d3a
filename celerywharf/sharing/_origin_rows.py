"""Keeps where streams began in the store, beyond the loss of all hosts."""

from __future__ import annotations

import base64
import binascii
import hashlib
import itertools
import json
import logging
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.origins import (
    MAX_ORIGINS,
    MAX_VERSIONS,
    Recorder,
    StreamOrigin,
    VersionEntry,
)
from celerywharf.platform import Row, RowChange, StoreClient

logger = logging.getLogger(__name__)

# Running fleets know these names.
ORIGIN_TABLE = 'origins'
VERSION_PREFIX = 'versions/'
STREAM_PREFIX = 'streams/'  # followed by ZONE/NUMBER
DIGEST_BYTES = 8
MAX_NAME = 200
MAX_RECORDERS = 64  # of a version, one an availability zone
# A row is a few KiB, and a transaction of rows with their conditions stays
# within the store's limits of 100 entries and 1 MB.
MAX_ROW_STREAMS = 1000
MAX_WRITTEN_ROWS = 32
MAX_REMOVED_ROWS = 16
MAX_ZONE_ROWS = 1024


class _Recorder(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    name: str = Field(max_length=MAX_NAME)
    availability_zone: str = Field(max_length=MAX_NAME)
    started_s: float


class _Version(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    software_version: str = Field(max_length=MAX_NAME)
    gone_s: float | None
    recorders: list[_Recorder] = Field(max_length=MAX_RECORDERS)


class _Versions(BaseModel):
    model_config = ConfigDict(extra='ignore')

    versions: list[_Version] = Field(max_length=2 * MAX_VERSIONS)


class _Streams(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    service: str = Field(max_length=MAX_NAME)
    software_version: str = Field(max_length=MAX_NAME)
    expires_s: float
    digests: str


@dataclass(frozen=True, slots=True)
class StoredOrigin:
    """Where a stream of a batch began.

    Attributes:
        service: name of the service.
        software_version: of the engine that sent the first event.
        expires_s: when the callers of the batch have given up, on the store's
            clock, seconds.
    """

    service: str
    software_version: str
    expires_s: float


def encode_versions(entries: Sequence[VersionEntry]) -> bytes:
    """Return the content of a service's row."""
    versions = [
        {
            'software_version': entry.software_version,
            'gone_s': entry.gone_s,
            'recorders': [asdict(each) for each in entry.recorders],
        }
        for entry in entries
    ]
    return json.dumps({'versions': versions}).encode()


def decode_versions(content: bytes | None) -> tuple[VersionEntry, ...] | None:
    """Return the versions in a service's row; None if it is unreadable."""
    try:
        row = _Versions.model_validate_json(content or b'')
    except ValidationError:
        return None
    return tuple(
        VersionEntry(
            version.software_version,
            version.gone_s,
            tuple(
                Recorder(each.name, each.availability_zone, each.started_s)
                for each in version.recorders
            ),
        )
        for version in row.versions
    )


def digest_of(request_id: str) -> bytes:
    """Return what a row holds of the id of a request."""
    encoded = request_id.encode(errors='surrogatepass')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


class OriginRows:
    """Reads and writes the rows of versions and of batches of streams.

    Attributes:
        zone: availability zone of this host, in whose rows it writes.
        streams: streams in the rows that were read, by digest of their id; the
            oldest are dropped beyond ``MAX_ORIGINS``.
        version_rows: version in the store of each service's row.
        own_rows: version in the store and expiry of each batch of the zone, by
            key, oldest first.
        number: of the zone's last batch.
        is_read: the table has been read.
    """

    def __init__(self, store: StoreClient, zone: str) -> None:
        self.store = store
        self.zone = zone
        self.streams: OrderedDict[bytes, StoredOrigin] = OrderedDict()
        self.version_rows: dict[str, int] = {}
        self.own_rows: dict[str, tuple[int, float]] = {}
        self.number = 0
        self.is_read = False

    async def read(self) -> dict[str, tuple[VersionEntry, ...]]:
        """Read the table; return the versions that it holds, by service.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        reading = await self.store.read(ORIGIN_TABLE)
        self.own_rows = {}
        for row in reading.rows:
            if row.key.startswith(STREAM_PREFIX):
                self._learn_batch(row)
        self.is_read = True
        return self._learn_versions(reading.rows)

    async def read_versions(self) -> dict[str, tuple[VersionEntry, ...]]:
        """Read the rows of versions only, which are few, by service.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        reading = await self.store.read(ORIGIN_TABLE, VERSION_PREFIX)
        return self._learn_versions(reading.rows)

    def find(self, request_id: str, store_s: float) -> StoredOrigin | None:
        """Return where a stream began, as the rows tell; None if they don't."""
        origin = self.streams.get(digest_of(request_id))
        if origin is None or origin.expires_s < store_s:
            return None
        return origin

    async def write_versions(
        self, service: str, entries: Sequence[VersionEntry]
    ) -> tuple[VersionEntry, ...] | None:
        """Write a service's row; return what it holds if another wrote it.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        written = await self.store.write(
            ORIGIN_TABLE,
            f'{VERSION_PREFIX}{service}',
            encode_versions(entries),
            self.version_rows.get(service, 0),
        )
        if written.version is not None:
            self.version_rows[service] = written.version
            return None
        self.version_rows[service] = 0
        if written.current is None:
            return ()
        self.version_rows[service] = written.current.version
        return decode_versions(written.current.content) or ()

    async def write_streams(
        self, origins: Iterable[StreamOrigin], offset_s: float, store_s: float
    ) -> list[StreamOrigin]:
        """Write a batch of streams and remove batches that have expired.

        Args:
            origins: the streams, whose expiry is on this host's clock.
            offset_s: the store's clock minus that clock, seconds.
            store_s: time on the store's clock, seconds.

        Returns:
            The streams that were written; none if another reader of the zone
            has written meanwhile, and all are to be written again.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        added = {
            self._next_key(): batch for batch in _batches(origins, offset_s)
        }
        changes = [
            RowChange(key, batch.content(), 0) for key, batch in added.items()
        ]
        changes.extend(
            RowChange(key, None, version)
            for key, version in self._expired(store_s)
        )
        result = await self.store.transact(ORIGIN_TABLE, changes)
        for change in changes:
            self.own_rows.pop(change.key, None)
        if result.version is None:
            for row in result.current:
                self._learn_batch(row)
            return []
        for key, batch in added.items():
            self.own_rows[key] = (result.version, batch.expires_s)
        return _origins_of(added.values())

    def forget(self) -> None:
        """Forget the rows: the store has come back from an older copy."""
        self.is_read = False

    def _next_key(self) -> str:
        self.number += 1
        return f'{STREAM_PREFIX}{self.zone}/{self.number:012d}'

    def _expired(self, store_s: float) -> list[tuple[str, int]]:
        """Return rows of the zone to be removed, with their versions."""
        surplus = max(len(self.own_rows) - MAX_ZONE_ROWS, 0)
        expired = [
            *itertools.islice(self.own_rows.items(), surplus),
            *(item for item in self.own_rows.items() if item[1][1] < store_s),
        ]
        versions = {key: version for key, (version, _) in expired}
        return list(versions.items())[:MAX_REMOVED_ROWS]

    def _learn_versions(
        self, rows: Iterable[Row]
    ) -> dict[str, tuple[VersionEntry, ...]]:
        self.version_rows = {}
        versions = {}
        for row in rows:
            if row.key.startswith(VERSION_PREFIX):
                service = row.key.removeprefix(VERSION_PREFIX)
                self.version_rows[service] = row.version
                versions[service] = decode_versions(row.content) or ()
        return versions

    def _learn_batch(self, row: Row) -> None:
        place = row.key.removeprefix(STREAM_PREFIX)
        zone, _, number = place.rpartition('/')
        is_own = zone == self.zone and number.isdecimal()
        if is_own:
            self.number = max(self.number, int(number))
        try:
            batch = _Streams.model_validate_json(row.content or b'')
            packed = base64.b64decode(batch.digests, validate=True)
        except (ValidationError, binascii.Error):
            logger.warning('unreadable row', extra={'row': row.key})
            return
        if is_own:
            self.own_rows[row.key] = (row.version, batch.expires_s)
        origin = StoredOrigin(
            batch.service, batch.software_version, batch.expires_s
        )
        for start in range(0, len(packed), DIGEST_BYTES):
            self.streams[packed[start : start + DIGEST_BYTES]] = origin
        while len(self.streams) > MAX_ORIGINS:
            self.streams.popitem(last=False)


@dataclass(frozen=True, slots=True)
class _Batch:
    origins: tuple[StreamOrigin, ...]
    offset_s: float

    @property
    def expires_s(self) -> float:
        """Return when all callers have given up, on the store's clock."""
        return max(each.expires_s for each in self.origins) + self.offset_s

    def content(self) -> bytes:
        """Return the content of the row."""
        packed = b''.join(digest_of(each.request_id) for each in self.origins)
        first = self.origins[0]
        fields = {
            'service': first.service,
            'software_version': first.software_version,
            'expires_s': self.expires_s,
            'digests': base64.b64encode(packed).decode(),
        }
        return json.dumps(fields).encode()


def _origins_of(batches: Iterable[_Batch]) -> list[StreamOrigin]:
    groups = (batch.origins for batch in batches)
    return list(itertools.chain.from_iterable(groups))


def _batches(origins: Iterable[StreamOrigin], offset_s: float) -> list[_Batch]:
    """Return the rows of streams; what does not fit is left out."""
    members = sorted(itertools.islice(origins, MAX_ROW_STREAMS), key=_names)
    return [
        _Batch(tuple(group), offset_s)
        for _, group in itertools.groupby(members, _names)
    ][:MAX_WRITTEN_ROWS]


def _names(origin: StreamOrigin) -> tuple[str, str]:
    return origin.service, origin.software_version
