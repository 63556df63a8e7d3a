"""Fronts that share a store, in one process and in virtual time."""

import asyncio
import base64
import contextlib
import inspect
import json
import math
import string
from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from urllib.parse import parse_qs, urlsplit

from celerywharf.adapters.transports import HttpResponse, Transport
from celerywharf.backends import Directory, Loads, ServerHealth
from celerywharf.exceptions import PeerUnreachableError, TransportError
from celerywharf.fronts._watchers import ConfigurationWatcher, ServerWatcher
from celerywharf.limits import StatedLimits
from celerywharf.metrics import Metrics
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.retries import HostShare
from celerywharf.routing import ConfigurationCache
from celerywharf.sharing import Lending, Reader, ReaderElection, SharedStore
from celerywharf.structures import Address, HostIdentity
from celerywharf.timers import TimerService
from celerywharf.wire import Envelope, Kind, Sender, default_codec
from standins.stores import Store

LEASE_S = 5.0
STORE = Address('127.0.0.1', 1)
CALL_S = 0.004
MS_PER_S = 1000
HISTORY_POLL_S = 0.05
PART_BYTES = 4096
# The operator and servers write again what the store has lost within this.
REWRITE_S = 1.5


@dataclass(slots=True)
class Paths:
    """What is in trouble, until when.

    Attributes:
        away_until_s: the store refuses all calls.
        cut_until_s: the store is not reached, by front.
        late_until_s: answers of the store take `late_s`, by front.
        apart_until_s: fronts do not reach each other.
        refused_until_s: the store refuses the calls, by front.
        frozen_until_s: neither answers nor gets answers, by front.
        stopped_until_s: the process stands still, so that its time-outs are
            late, too, by front; for questions to other fronts.
    """

    away_until_s: float = 0
    cut_until_s: dict[str, float] = field(default_factory=dict)
    late_until_s: dict[str, float] = field(default_factory=dict)
    late_s: float = 0
    apart_until_s: float = 0
    refused_until_s: dict[str, float] = field(default_factory=dict)
    frozen_until_s: dict[str, float] = field(default_factory=dict)
    stopped_until_s: dict[str, float] = field(default_factory=dict)

    def stop(self, name, span_s):
        """Let the process of a front stand still for a time."""
        ends_s = boot_time_s() + span_s
        self.frozen_until_s[name] = ends_s
        self.stopped_until_s[name] = ends_s

    def ends_s(self):
        """Return when all of it has ended."""
        return max(
            self.away_until_s,
            self.apart_until_s,
            *self.cut_until_s.values(),
            *self.late_until_s.values(),
            *self.refused_until_s.values(),
            *self.frozen_until_s.values(),
        )

    async def pass_frozen(self, name):
        """Wait until a front is not frozen."""
        frozen_s = self.frozen_until_s.get(name, 0) - boot_time_s()
        if frozen_s > 0:
            await asyncio.sleep(frozen_s)

    async def pass_stopped(self, name):
        """Wait until the process of a front runs."""
        stopped_s = self.stopped_until_s.get(name, 0) - boot_time_s()
        if stopped_s > 0:
            await asyncio.sleep(stopped_s)


class Pipe:
    """A link that carries a number of bytes a second, in fair parts.

    Attributes:
        bytes_per_s: what it carries; infinite without a limit.
        free_s: when all that is queued has been sent.
        carried_bytes: what it has carried.
    """

    def __init__(self, bytes_per_s=math.inf):
        self.bytes_per_s = bytes_per_s
        self.free_s = 0
        self.carried_bytes = 0

    async def carry(self, size):
        """Wait until a message has been sent."""
        for offset in range(0, size, PART_BYTES):
            part = min(PART_BYTES, size - offset)
            self.carried_bytes += part
            now_s = boot_time_s()
            self.free_s = max(self.free_s, now_s) + part / self.bytes_per_s
            if self.free_s > now_s:
                await asyncio.sleep(self.free_s - now_s)


@dataclass(slots=True)
class Network:
    """The links of the fronts.

    Attributes:
        host_bytes_per_s: what the link of each front carries.
        links: of the fronts, by name.
        region: the link to the store, for all fronts together.
    """

    host_bytes_per_s: float = math.inf
    links: dict[str, Pipe] = field(default_factory=dict)
    region: Pipe = field(default_factory=Pipe)

    def link_of(self, name):
        return self.links.setdefault(name, Pipe(self.host_bytes_per_s))


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to the store.

    Attributes:
        silent: delivers nothing any more.
    """

    silent: bool = False

    async def deliver(self):
        """Wait for ever on a silent connection."""
        if self.silent:
            await asyncio.Event().wait()


class StoreTransport(Transport):
    """Carries the calls of one front to the store.

    Attributes:
        idle: connections that the next calls use.
        in_use: connections of running calls.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.idle = []
        self.in_use = []

    def silence(self):
        """Let all connections that there are deliver nothing any more."""
        for connection in (*self.idle, *self.in_use):
            connection.silent = True

    async def fetch(self, request):
        paths = self.fleet.paths
        if boot_time_s() < paths.cut_until_s.get(self.name, 0):
            await asyncio.sleep(request.timeout_s)
            raise TransportError('the store is not reached')
        is_new = request.fresh_connection or not self.idle
        connection = Connection() if is_new else self.idle.pop()
        self.in_use.append(connection)
        try:
            async with asyncio.timeout(request.timeout_s) as limit:
                answer = await self._call(request, paths, limit)
                await connection.deliver()
        except TimeoutError:
            raise TransportError('no answer in time') from None
        finally:
            self.in_use.remove(connection)
        if not request.fresh_connection:
            self.idle.append(connection)
        return answer

    async def _call(self, request, paths, limit):
        await asyncio.sleep(CALL_S / 2)
        self.fleet.store.calls += 1
        self.fleet.calls[self.name] += 1
        era = self.fleet.store.era
        status, body = HTTPStatus.SERVICE_UNAVAILABLE, {}
        refused_until_s = paths.refused_until_s.get(self.name, 0)
        if boot_time_s() >= max(paths.away_until_s, refused_until_s):
            status, body = await self._answer(request)
            era = self.fleet.store.era
        await paths.pass_frozen(self.name)
        headers = {'store-era': str(era)}
        late_until_s = paths.late_until_s.get(self.name, 0)
        is_late = boot_time_s() < late_until_s
        await asyncio.sleep(paths.late_s if is_late else CALL_S / 2)
        content = json.dumps(body).encode()
        await self._receive(content, request, limit)
        return HttpResponse(status, headers, content)

    async def _receive(self, content, request, limit):
        """Let an answer arrive over the links of the region and the host."""
        for offset in range(0, len(content), PART_BYTES):
            part = min(PART_BYTES, len(content) - offset)
            await self.fleet.network.region.carry(part)
            await self.fleet.network.link_of(self.name).carry(part)
            await self.fleet.paths.pass_frozen(self.name)
            if request.stall_s is not None and offset:
                now_s = asyncio.get_running_loop().time()
                limit.reschedule(max(limit.when(), now_s + request.stall_s))
            if request.on_progress is not None:
                request.on_progress(offset + part)

    async def _answer(self, request):
        url = urlsplit(request.url)
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        match url.path.rpartition('/')[-1]:
            case 'rows-get':
                return self._get(query)
            case 'rows-feed':
                return await self._feed(query)
            case _:
                return self.fleet.transact(json.loads(request.body))

    def _get(self, query):
        store = self.fleet.store
        rows = [
            row
            for row in store.rows(query['table'])
            if row['key'] >= query.get('from', '')
            and ('to' not in query or row['key'] < query['to'])
        ]
        return HTTPStatus.OK, store.answer(rows)

    async def _feed(self, query):
        store = self.fleet.store
        after = int(query['after'])
        ends_s = boot_time_s() + int(query['waitMs']) / MS_PER_S
        while True:
            if not store.history_start <= after <= store.version:
                return HTTPStatus.GONE, {}
            changes = store.changes_since(query['table'], after)
            if changes or boot_time_s() >= ends_s:
                return HTTPStatus.OK, store.answer(changes)
            await asyncio.sleep(HISTORY_POLL_S)

    def stream(self, request, sink):
        raise NotImplementedError

    def close(self):
        """There is nothing to close."""


class Links:
    """Links of one front to the others, in place of ``LinkService``."""

    def __init__(self, fleet, identity, key):
        self.fleet = fleet
        self.identity = identity
        self.key = key
        self.handlers = {}
        self.on_link_ended = None

    def subscribe(self, message_class, handler):
        self.handlers[message_class] = handler

    async def request(self, address, message, timeout_s):
        expires_s = boot_time_s() + timeout_s
        reply = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(address, message)
        await self.fleet.paths.pass_stopped(self.identity.name)
        if reply is None or boot_time_s() > expires_s:
            raise PeerUnreachableError('no answer in time')
        return reply

    async def _exchange(self, address, message):
        await asyncio.sleep(CALL_S / 2)
        if boot_time_s() < self.fleet.paths.apart_until_s:
            await asyncio.Event().wait()
        peer = self.fleet.front_at(address)
        if peer is None or peer.shared.server.key != self.key:
            raise PeerUnreachableError(f'cannot connect to {address}')
        await self.fleet.paths.pass_frozen(peer.name)
        handler = peer.shared.server.handlers[type(message)]
        reply = handler(_sender(self.identity), message)
        if not inspect.isawaitable(reply):
            return reply
        task = asyncio.ensure_future(reply)
        peer.calls.add(task)
        task.add_done_callback(peer.calls.discard)
        await asyncio.wait({task})
        if task.cancelled():
            raise PeerUnreachableError('link closed')
        await self.fleet.paths.pass_frozen(peer.name)
        await self._carry(peer, task.result())
        return task.result()

    async def _carry(self, peer, reply):
        """Let the link of the answering front carry its reply."""
        envelope = Envelope(Kind.reply, 1, reply)
        size = len(default_codec().encode(envelope))
        # What has been written is sent, whether the asker waits or not.
        sending = asyncio.ensure_future(
            self.fleet.network.link_of(peer.name).carry(size)
        )
        peer.calls.add(sending)
        sending.add_done_callback(peer.calls.discard)
        await asyncio.wait({sending})
        if sending.cancelled():
            raise PeerUnreachableError('link closed')

    async def close(self):
        """There is nothing to close."""


def _sender(identity):
    return Sender(
        identity.name,
        identity.region,
        identity.availability_zone,
        identity.inner,
        identity.incarnation,
    )


class SimulatedStore(SharedStore):
    """A shared store whose links stay in this process."""

    fleet = None

    def _create_link_service(self, key):
        return Links(self.fleet, self.identity, key)


class SimulatedFront:
    """The parts of a front that follow the store.

    Attributes:
        versions: of the configurations that were in force, in order.
        calls: questions of other fronts that are being answered.
    """

    def __init__(self, fleet, name, zone, address, incarnation):
        random = Random(f'{name}{incarnation}')
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.address = address
        self.calls = set()
        self.versions = []
        self.cache = ConfigurationCache(LEASE_S)
        self.transport = StoreTransport(fleet, name)
        store = StoreClient(self.transport, STORE)
        share = HostShare(100, 2, 10, random)
        identity = HostIdentity(name, 'north', zone, address, incarnation)
        simulated = type('Simulated', (SimulatedStore,), {'fleet': fleet})
        self.shared = simulated(
            store,
            ReaderElection(Reader(address, random.randbytes(16), 0), random),
            identity,
            self.cache,
            Lending(0.5, 10, 10, share),
            StatedLimits(),
            Metrics(),
        )
        self.directory = Directory()
        health = ServerHealth(self.directory, Loads())
        self.watchers = (
            ConfigurationWatcher(self.shared, random, self.cache, Metrics()),
            ServerWatcher(
                self.shared, random, health, TimerService(), Metrics()
            ),
        )

    def start(self):
        for part in (self.shared, *self.watchers):
            part.start()

    async def kill(self):
        for part in (*self.watchers, self.shared):
            await part.stop()
        for task in tuple(self.calls):
            task.cancel()

    @property
    def accounts(self):
        """Keys that this front accepts now."""
        if not self.cache.accepts_keys(boot_time_s()):
            return set()
        return set(self.cache.configuration.accounts)

    @property
    def accepting(self):
        """Names of the servers that this front sends requests to."""
        return {server.name for server in self.directory.usable('desk')}


class SimulatedFleet:
    """A store, an operator, servers and fronts.

    Attributes:
        revoked_s: when the store took the end of each key.
        version: of the operator's configuration.
        servers: sequence of the entry of each living server, by name.
        born: birth of the last process of each server, by name.
        first_version: of the store; no copy is older.
        calls: number of calls that reached the store, by front.
        routes: number of routes of the configuration.
        network: the links.
    """

    def __init__(self, places):
        self.routes = 0
        self.network = Network()
        self.store = Store()
        self.calls = Counter()
        self.paths = Paths()
        self.fronts = {}
        self.incarnation = 0
        self.version = 0
        self.revoked_s = {}
        self.servers = {}
        self.births = 0
        self.born = {}
        self.tasks = set()
        self.places = places
        for name in ('d1', 'd2'):
            self.register(name)
        self.configure()
        self.first_version = self.store.version

    def start(self):
        for number, (name, zone) in enumerate(self.places.items()):
            address = Address('127.0.0.1', 1000 + number)
            self._start_front(name, zone, address)

    def _start_front(self, name, zone, address):
        self.incarnation += 1
        front = SimulatedFront(self, name, zone, address, self.incarnation)
        self.fronts[name] = front
        front.start()

    async def restart(self, name):
        front = self.fronts.pop(name)
        await front.kill()
        self._start_front(name, front.zone, front.address)

    async def stop(self):
        for front in self.fronts.values():
            await front.kill()
        for task in self.tasks:
            task.cancel()

    def front_at(self, address):
        return next(
            (each for each in self.fronts.values() if each.address == address),
            None,
        )

    def configure(self):
        """Give the client account another key; the last one is revoked."""
        if self.version:
            self.revoked_s[f'key-{self.version}'] = boot_time_s()
        self.version += 1
        self._write_configuration()

    def register(self, name):
        """Write a server's entry; one that has left comes as a new process."""
        if name not in self.servers:
            self.births += 1
            self.born[name] = self.births
            self.servers[name] = 0
        self.servers[name] += 1
        self._write_entry(name, 'ready')

    def leave(self, name):
        """Let a server leave: it says so, then its entry is removed."""
        self.servers[name] += 1
        self._write_entry(name, 'draining')
        self.servers.pop(name)
        self.store.put('servers', name, None)

    def say_leaving(self, name):
        """Let a server say that it leaves; its entry stays."""
        self.servers[name] += 1
        self._write_entry(name, 'draining')

    def restore(self, lost):
        """Let the store come back from a copy without its last writes."""
        version = max(self.store.version - lost, self.first_version)
        self.store.switches.restore_to = version
        self.store.on_switches_changed()
        self._later(REWRITE_S, self._rewrite, self.store.era)

    def transact(self, transaction):
        conditions = transaction['precondition']
        current = [
            row
            for each in conditions
            for row in self.store.rows(each['table'])
            if row['key'] == each['key']
        ]
        if any(
            self.store.row_version(each['table'], each['key'])
            != each['apiVersion']
            for each in conditions
        ):
            return HTTPStatus.PRECONDITION_FAILED, self.store.answer(current)
        for row in transaction['setKeys']:
            text = base64.b64decode(row['value']).decode()
            self.store.put(row['table'], row['key'], text)
        return HTTPStatus.OK, self.store.answer([])

    def _rewrite(self, era):
        """Write again what a copy lacks, as operator and servers do."""
        if era != self.store.era:
            return
        self._write_configuration()
        for name in tuple(self.servers):
            self.register(name)
        present = {row['key'] for row in self.store.rows('servers')}
        for name in present - self.servers.keys():
            self.store.put('servers', name, None)

    def _later(self, delay_s, call, *arguments):
        async def wait():
            await asyncio.sleep(delay_s)
            call(*arguments)

        task = asyncio.ensure_future(wait())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _write_configuration(self):
        configuration = _configuration(self.version, self.routes)
        self.store.put('op', 'config', configuration)

    def _write_entry(self, name, state):
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{2000 + int(name[1:])}',
            'zone': 'north-1',
            'state': state,
            'slots': 4,
            'seq': self.servers[name],
            'born': self.born[name],
        }
        self.store.put('servers', name, entry)


def _configuration(version, routes):
    return {
        'version': version,
        'routes': [_route(number) for number in range(routes)],
        'services': [{'name': 'desk'}],
        'limits': {
            'maxHeaderBytes': 1,
            'maxBodyBytes': 1,
            'headerTimeoutMs': 1,
            'idleTimeoutMs': 1,
        },
        'tenants': [{'name': 'account', 'apiKeys': [f'key-{version}']}],
    }


def _route(number):
    """Return a route with random names, about 250 bytes."""
    random = Random(number)
    letters = ''.join(random.choices(string.ascii_lowercase, k=24))
    return {
        'name': f'r-{letters[:7]}',
        'host': f'{letters[7:11]}{number % 90}.example',
        'prefix': f'/{letters[11:16]}{random.randrange(999)}/',
        'kind': random.choice(('idempotent', 'non_idempotent', 'streaming')),
        'timeoutMs': random.choice((4000, 25000)),
        'latencyTargetMs': random.choice((300, 4030)),
        'priority': random.randrange(3),
        'service': 'desk',
        'maxAttempts': random.randint(1, 5),
        'public': False,
        'sessionAffinity': True,
        'streamResume': True,
        'gapTargetMs': 700,
    }
