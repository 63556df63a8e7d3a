"""What the reader of a zone records of versions and streams in the store."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable

from celerywharf.exceptions import CelerywharfError
from celerywharf.origins import (
    MAX_ORIGINS,
    Evidence,
    OriginKnowledge,
    Recorder,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
)
from celerywharf.platform import CallRejectedError
from celerywharf.sharing._origin_readings import OriginReadings
from celerywharf.sharing._origin_rows import OriginRows

logger = logging.getLogger(__name__)

MAX_CONFLICTS = 8  # in a row, with readers that write the same row


class OriginRecords:
    """Keeps the rows of versions and streams up to date, for a reader.

    Attributes:
        rows: access to the rows.
        origins: what this host knows.
        history: the versions that are recorded.
        name: of this process, as recorder.
        started_s: start of this process, on the clock of ``origins``.
        store_time_s: returns the time on the store's clock, seconds.
        unwritten: streams to be recorded, by request id.
        readings: what was read of them, and when.
        read_attempted: it has been tried to read them.
        write_attempted: it has been tried to record versions.
        outdated: versions have changed since they were last written.
        rejected: versions of services whose rows the store rejects.
    """

    def __init__(
        self,
        rows: OriginRows,
        origins: StreamOrigins,
        name: str,
        store_time_s: Callable[[], float],
    ) -> None:
        self.rows = rows
        self.origins = origins
        self.history = VersionHistory()
        self.name = name
        self.started_s = origins.now()
        self.store_time_s = store_time_s
        self.unwritten: OrderedDict[str, StreamOrigin] = OrderedDict()
        self.readings = OriginReadings(rows, self.history)
        self.read_attempted = False
        self.write_attempted = False
        self.outdated = True
        self.rejected: dict[str, frozenset[str]] = {}
        origins.software_versions.subscribers.append(self._on_change)

    @property
    def attempted(self) -> bool:
        """Return whether it has been tried to read and to record versions."""
        has_servers = bool(self.origins.software_versions.present())
        return self.read_attempted and (self.write_attempted or not has_servers)

    def is_due(self) -> bool:
        """Return whether there is anything to read or to write."""
        return self.outdated or bool(self.unwritten) or not self.rows.is_read

    def store_restored(self) -> None:
        """Write what is known again: the store has lost what was written."""
        self.rows.forget()
        self.history.store_restored()
        self.outdated = True
        now_s = self.origins.now()
        self.add(
            origin
            for origin in self.origins.register.origins.values()
            if origin.expires_s > now_s and self.is_mixed(origin.service)
        )

    def add(self, origins: Iterable[StreamOrigin]) -> None:
        """Record streams with the next rows."""
        for origin in origins:
            self.unwritten[origin.request_id] = origin
        while len(self.unwritten) > MAX_ORIGINS:
            self.unwritten.popitem(last=False)

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions may have begun living streams."""
        versions = self.origins.software_versions.recent(
            service, self.origins.now()
        )
        recorded = self.history.recent(service, self.store_time_s())
        return len(versions | recorded) > 1

    async def update(self) -> bool:
        """Read the rows if they have not been read; write what is new.

        Returns:
            Whether the store answered.
        """
        try:
            if not self.rows.is_read:
                await self.readings.read()
            await self._write_versions()
            await self._write_streams()
        except CelerywharfError as error:
            logger.info(
                'origins of streams not recorded',
                extra={'reason': error.message},
            )
            # A write needs what was read; it counts as tried with the reading.
            self.write_attempted |= bool(
                self.origins.software_versions.present()
            )
            return False
        finally:
            self.read_attempted = True
        return True

    def find(self, request_id: str) -> OriginKnowledge:
        """Return what this host knows of where a stream began.

        Args:
            request_id: id of the attempt that brought the first event.
        """
        origin = self.origins.register.find(request_id, self.origins.now())
        if origin is not None:
            return OriginKnowledge(origin, evidence=Evidence.own_record)
        origin = self._find_in_rows(request_id)
        if origin is not None:
            return OriginKnowledge(
                origin,
                evidence=Evidence.stored_record,
                age_s=self.readings.age_s(),
            )
        return OriginKnowledge()

    def possible(
        self, service: str, alive: Collection[str] | None, asked_s: float
    ) -> OriginKnowledge:
        """Return the versions that may have begun a stream nobody knows.

        What was recorded before the question does not tell: the stream may
        have begun at a version that has come since.

        Args:
            service: name of the service.
            alive: names of the readers of all other zones; None if a front was
                lost that may have begun streams nobody knows.
            asked_s: when the question came, on the clock of ``readings``.

        Returns:
            The versions; none if the store has not answered since, or does not
            take their row.
        """
        if service in self.rejected or not self.readings.is_confirmed(asked_s):
            return OriginKnowledge()
        readers = () if alive is None else {self.name, *alive}
        recorded = self.history.possible(service, readers, self.store_time_s())
        return OriginKnowledge(
            versions=recorded | self._unrecorded(service),
            evidence=Evidence.stored_versions,
            age_s=self.readings.age_s(),
        )

    def _unrecorded(self, service: str) -> frozenset[str]:
        present = self.origins.software_versions.present().get(service, ())
        return frozenset(present) - self.recorded(service)

    def recorded(self, service: str) -> frozenset[str]:
        """Return the versions that are recorded and have not expired."""
        return self.history.recent(service, self.store_time_s())

    def _find_in_rows(self, request_id: str) -> StreamOrigin | None:
        store_s = self.store_time_s()
        stored = self.rows.find(request_id, store_s)
        if stored is None:
            return None
        expires_s = self.origins.now() + stored.expires_s - store_s
        return StreamOrigin(
            request_id, stored.service, stored.software_version, expires_s
        )

    def _on_change(self) -> None:
        self.outdated = True

    async def _write_versions(self) -> None:
        present = self.origins.software_versions.present()
        if not present or not self.outdated:
            return  # no entry of a server has been read yet, or all is written
        self.outdated = False
        for gone in self.rejected.keys() - present.keys():
            self.rejected.pop(gone)
        services = {*present, *self.history.entries, *self.history.unsaved}
        try:
            for service in services:
                versions = present.get(service, frozenset())
                if not await self._try_to_write(service, versions):
                    self.outdated = True
        except CelerywharfError:
            self.outdated = True
            raise
        finally:
            self.write_attempted = True

    async def _try_to_write(
        self, service: str, present: frozenset[str]
    ) -> bool:
        """Record the versions of a service, unless the store rejects them.

        Returns:
            Whether there is nothing left to write.
        """
        if self.rejected.get(service) == present:
            return True
        try:
            is_recorded = await self._write_service(service, present)
        except CallRejectedError as error:
            self.rejected[service] = present
            logger.warning(
                'versions of a service not recorded',
                extra={'service': service, 'reason': error.message},
            )
            return True
        self.rejected.pop(service, None)
        return is_recorded

    async def _write_service(
        self, service: str, present: Collection[str]
    ) -> bool:
        """Record the versions of a service; return whether all are recorded."""
        for _ in range(MAX_CONFLICTS):
            entries = self.history.merged(
                service, present, self._recorder(), self.store_time_s()
            )
            if entries is None:
                return True
            before_s = self.readings.confirmed_s
            current = await self.rows.write_versions(service, entries)
            if self.readings.confirmed_s != before_s:
                # A reading overtook the answer, which may be the older one.
                self.readings.confirmed_s = float('-inf')
            written = entries if current is None else current
            self.history.replace(service, written)
        return False

    async def _write_streams(self) -> None:
        now_s = self.origins.now()
        for origin in tuple(self.unwritten.values()):
            if origin.expires_s <= now_s:
                self.unwritten.pop(origin.request_id)
        while self.unwritten:
            store_s = self.store_time_s()
            offset_s = store_s - self.origins.now()
            written = await self.rows.write_streams(
                tuple(self.unwritten.values()), offset_s, store_s
            )
            for origin in written:
                self.unwritten.pop(origin.request_id, None)

    def _recorder(self) -> Recorder:
        age_s = self.origins.now() - self.started_s
        return Recorder(self.name, self.rows.zone, self.store_time_s() - age_s)
