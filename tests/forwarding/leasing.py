"""Hosts that place streams at fake engines, in virtual time."""

import asyncio
import json
import statistics
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

from celerywharf.adapters.transports import HttpResponse
from celerywharf.backends import Placement
from celerywharf.exceptions import TransportError
from celerywharf.forwarding import Leases, Reports
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.platform import read_request_headers
from celerywharf.routing import EngineMemory, Service
from celerywharf.structures import Address
from tests.backends.test_directory import SERVICE, make_server
from tests.forwarding.test_relays import (
    RecordingCaller,
    _make_context,
    _make_request,
)

ZONES = ('a-1', 'b-1', 'a-2', 'b-2', 'a-3', 'b-3')
REGIONS = {zone: zone[0] for zone in ZONES}
ENGINES = 56
SLOTS = 16
CAPACITY_TOKENS = 88_000
PROMPT_TOKENS = 8_200
OUTPUT_TOKENS = 1_300
READ_S = 1.0  # to read one prompt
RUN_S = 5.0  # to generate the output
NEAR_S = 0.001  # one way
FAR_S = 0.02
REPORT_PERIOD_S = 0.05
REPORT_LAG_PERIODS = 2
TERM_S = 2.0
LEASE_CALL = 'api/hold-take'


@dataclass
class Engine:
    """An engine that counts what it holds.

    Attributes:
        offers: it grants leases.
        loses_grants: its answers to calls for leases are lost, others are not.
        dies_when_asked: it goes dark when it is asked for a lease.
        tokens: of the requests it holds, waiting ones included.
        leases: tokens by name of the lease.
        most_tokens: most that it held, leases included.
    """

    server: object
    offers: bool = True
    dark: bool = False
    loses_answers: bool = False
    loses_grants: bool = False
    dies_when_asked: bool = False
    requests: int = 0
    unread: int = 0
    tokens: int = 0
    taken: int = 0
    served: int = 0
    most_requests: int = 0
    most_tokens: int = 0
    free_at_s: float = 0
    leases: dict = field(default_factory=dict)
    states: list = field(default_factory=list)

    def remember(self):
        """Keep the state for late reports."""
        self.states.append((self.requests, self.unread, self.tokens))
        del self.states[: -1 - REPORT_LAG_PERIODS]

    def report(self):
        """Return the load as of some time ago."""
        requests, unread, tokens = (self.states or [(0, 0, 0)])[0]
        running = min(requests, SLOTS)
        return {
            'queued': requests - running,
            'running': running,
            'kvUsed': min(tokens, CAPACITY_TOKENS),
            'kvTotal': CAPACITY_TOKENS,
            'runs': [[str(run)] for run in range(running - unread)],
        }

    def take(self, tokens, term_s):
        """Grant a lease if there is room; return its name."""
        held = self.tokens + sum(self.leases.values())
        if held + tokens > CAPACITY_TOKENS:
            return None
        if self.requests + len(self.leases) >= SLOTS:
            return None
        self.taken += 1
        name = f'{self.server.name}-{self.taken}'
        self.leases[name] = tokens
        asyncio.get_running_loop().call_later(
            term_s, self.leases.pop, name, None
        )
        self.measure()
        return name

    def measure(self):
        """Record the most that is held."""
        held = self.tokens + sum(self.leases.values())
        self.most_tokens = max(self.most_tokens, held)
        self.most_requests = max(self.most_requests, self.requests)

    async def run(self, tokens, lease):
        """Run a request."""
        loop = asyncio.get_running_loop()
        self.leases.pop(lease, None)
        self.served += 1
        self.requests += 1
        self.unread += 1
        self.tokens += tokens
        self.measure()
        read_at_s = max(self.free_at_s, loop.time()) + READ_S
        self.free_at_s = read_at_s
        await asyncio.sleep(read_at_s - loop.time())
        self.unread -= 1
        await asyncio.sleep(RUN_S)
        self.requests -= 1
        self.tokens -= tokens


class Network:
    """Carries the calls of one host to engines."""

    def __init__(self, fleet, zone):
        self.fleet = fleet
        self.zone = zone

    async def fetch(self, request):
        """Answer a call after a round trip."""
        address, _, path = request.url.removeprefix('http://').partition('/')
        engine = self.fleet.engines[address]
        self.fleet.calls[path.partition('/')[2].partition('/')[0]] += 1
        delay_s = self.delay_s(engine.server)
        await asyncio.sleep(delay_s)
        asks_lease = path == LEASE_CALL
        engine.dark = engine.dark or (asks_lease and engine.dies_when_asked)
        if engine.dark:
            await asyncio.sleep(request.timeout_s)
            raise TransportError('timed out')
        status, document = self.answer(engine, request, path)
        if engine.loses_answers or (asks_lease and engine.loses_grants):
            await asyncio.sleep(request.timeout_s)
            raise TransportError('timed out')
        await asyncio.sleep(delay_s)
        return HttpResponse(status, {}, json.dumps(document).encode())

    def answer(self, engine, request, path):
        """Return status and document of an engine's answer."""
        if path == 'api/report':
            return 200, engine.report()
        if not engine.offers:
            return 404, {}
        if path == LEASE_CALL:
            wanted = json.loads(request.body)
            lease = engine.take(wanted['tokens'], wanted['ttlMs'] / 1000)
            return (200, {'hold': lease}) if lease else (503, {})
        engine.leases.pop(path.rpartition('/')[2], None)
        return 200, {}

    def delay_s(self, server):
        """Return how long a message takes to an engine."""
        same = REGIONS[self.zone] == REGIONS[server.availability_zone]
        return NEAR_S if same else FAR_S


class Fleet:
    """Hosts that share engines."""

    def __init__(self, hosts, *, leases, seed=1, engines=ENGINES):
        self.random = Random(seed)
        self.calls = Counter()
        self.waits_s = []
        self.without_room = 0
        self.unplaced = 0
        self.engines = {}
        for number in range(engines):
            server = make_server(
                f'e{number}',
                ZONES[number % len(ZONES)],
                address=Address('10.0.0.1', number + 1),
                slots=SLOTS,
            )
            self.engines[str(server.address)] = Engine(server)
        self.contexts = [
            self.make_context(ZONES[number % len(ZONES)], leases=leases)
            for number in range(hosts)
        ]

    def make_context(self, zone, *, leases):
        """Return the components of a host."""
        context = _make_context()
        directory = context.health.directory
        for engine in self.engines.values():
            directory.update(engine.server, 0)
        network = Network(self, zone)
        memory = EngineMemory(
            CAPACITY_TOKENS, backups=False, lease_s=TERM_S if leases else 0
        )
        configuration = SimpleNamespace(
            services={SERVICE: Service(SERVICE, '/', memory)}
        )
        parts = (context.loads, context.health, context.limits)
        reports = Reports(network, context.timers, *parts)
        return replace(
            context,
            transport=network,
            configuration_cache=SimpleNamespace(configuration=configuration),
            random=self.random,
            placement=Placement(
                directory, *parts[:2], zone, REGIONS, self.random
            ),
            reports=reports,
            leases=Leases(
                network, context.timers, *parts, reports, context.metrics
            ),
        )

    def make_stream(self, context):
        """Return a stream that a host is to place."""
        request = _make_request()
        headers = replace(
            read_request_headers([('Attempt-Id', 'r')]),
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
        )
        return StreamForwarding(
            context,
            replace(request, headers=headers, arrived_s=context.timers.now()),
            SERVICE,
            None,
            RecordingCaller(),
        )

    async def serve(self, context, *, dies=False):
        """Place a stream and run it, unless no engine has room."""
        began_s = context.timers.now()
        stream = self.make_stream(context)
        placement = await stream.place()
        self.waits_s.append(context.timers.now() - began_s)
        if stream.placer.lacks_room:
            self.without_room += 1
            if placement is not None:
                stream.drop(placement)
            return
        if placement is None:
            self.unplaced += 1
            return
        if dies:
            return
        engine = self.engines[str(placement.server.address)]
        lease = stream.placer.room.name_to_use(placement.lease)
        await asyncio.sleep(context.transport.delay_s(engine.server))
        await engine.run(PROMPT_TOKENS + OUTPUT_TOKENS, lease)
        stream.placer.release(placement.server, prefilled=False)

    async def play(self, rate_per_s, seconds):
        """Serve streams that come at random times; return after the last."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + seconds
        reporting = asyncio.ensure_future(self._remember())
        streams = []
        while loop.time() < ends_s:
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            context = self.random.choice(self.contexts)
            streams.append(asyncio.ensure_future(self.serve(context)))
        await asyncio.gather(*streams)
        reporting.cancel()

    def summary(self):
        """Return what the hosts did, and the most that engines held."""
        engines = self.engines.values()
        served = [engine.served for engine in engines]
        return {
            'streams': len(self.waits_s),
            'without_room': self.without_room,
            'unplaced': self.unplaced,
            'exceeded': sum(
                engine.most_tokens > CAPACITY_TOKENS for engine in engines
            ),
            'most_tokens': max(engine.most_tokens for engine in engines),
            'most': max(served),
            'mean': round(statistics.mean(served), 1),
            'probes': self.calls['report'],
            'lease_calls': self.calls['hold-take'],
            'placed_ms': round(1000 * statistics.mean(self.waits_s), 1),
        }

    async def _remember(self):
        while True:
            for engine in self.engines.values():
                engine.remember()
            await asyncio.sleep(REPORT_PERIOD_S)
