"""Orders through real hosts to real engines."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.shops import OPERATOR_KEY, REGION, ZONE, Shop, caller_headers
from celerywharf.adapters import CurlTransport
from celerywharf.adapters.orders import Order, OrderClient, OrderKind
from celerywharf.exceptions import NotRunError
from standins.calls import call
from standins.launching import Fleet

scenarios('orders.feature')

PATIENCE_S = 15
POLL_S = 0.03
SETTINGS = {'lease_s': 1.2, 'margin_s': 0.2, 'flight_s': 0.8, 'look_s': 0.2}
OPERATOR = {'Authorization': f'Bearer {OPERATOR_KEY}'}
FAST_WEIGHTS = 1000


class Operators:
    """Wishes written through hosts, and engines as they really are."""

    def __init__(self, shop):
        self.shop = shop
        self.fleet = shop.fleet
        self.losers = []
        self.paused = ''

    def row(self, name):
        path = f'/operator/table/backend_server/{name}'
        return call(self.shop.listens['a'], 'GET', path, headers=OPERATOR)[1]

    def put(self, host, name, row, **fields):
        path = f'/operator/table/backend_server/{name}'
        content = {
            'version': row['version'],
            'fields': {**row['fields'], **fields},
        }
        return call(self.shop.listens[host], 'PUT', path, content, OPERATOR)

    def want(self, name, models, **fields):
        wanted = models.split(',')
        host = 'b' if self.paused == 'a' else 'a'
        wait_for(
            lambda: (
                self.put(
                    host, name, self.row_at(host, name), models=wanted, **fields
                )[0]
                == 200
            ),
        )

    def row_at(self, host, name):
        path = f'/operator/table/backend_server/{name}'
        return call(self.shop.listens[host], 'GET', path, headers=OPERATOR)[1]

    def state(self, name):
        return call(self.fleet.members[name].address, 'GET', '/v1/load')[1]

    def orders(self, name):
        return self.fleet.record(name)['orders']

    def transfers(self):
        calls = self.fleet.record('platform')['calls']
        return calls.get('POST /weights/fetch', 0)

    def fencing(self, name):
        rows = self.fleet.record('platform')['rows']
        return rows[f'leases/{name}']['content']['fencing']

    def holder(self, name):
        rows = self.fleet.record('platform')['rows']
        lease = rows.get(f'leases/{name}', {}).get('content', {})
        return '' if lease.get('released', True) else lease['holder']


@pytest.fixture(scope='module')
def shop():
    with Fleet() as fleet:
        started = Shop(fleet)
        started.start_platform()
        started.add_application('s1')
        started.add_row('service', name='gen', kind='generation', model='m')
        for name, checks in (('e1', True), ('e2', False)):
            engine = fleet.start_engine(name, no_check_fencing=not checks)
            started.add_row(
                'backend_server',
                name=name,
                url=f'http://{engine.address}',
                region=REGION,
                availability_zone=ZONE,
                service='gen',
                checks_fencing=checks,
            )
        started.add_host('a', orders=SETTINGS)
        started.add_host('b', orders=SETTINGS)
        started.fill_table('a')
        yield started


@pytest.fixture
def operators(shop):
    one = Operators(shop)
    yield one
    for name in ('e1', 'e2'):
        obeyed = [
            order['fencing']
            for order in one.orders(name)
            if order['obeyed'] and name == 'e1'
        ]
        assert obeyed == sorted(obeyed)


@given('a platform, engine e1, engine e2 that ignores numbers, hosts a and b')
def have_engines(operators):
    operators.fleet.control('platform', weights_per_s=FAST_WEIGHTS, weight_ms=1)
    wait_for(lambda: can_look_up(operators.shop, 'b'))


@given(parsers.parse('{name} is reached over a slow link'))
def add_link(operators, name):
    target = operators.fleet.members[name].address
    link = operators.fleet.start_link(f'link-{name}', to=target)
    operators.fleet.control(f'link-{name}', delay_ms=200)
    row = operators.row(name)
    status, _ = operators.put('a', name, row, url=f'http://{link.address}')
    assert status == 200


@given(parsers.parse('the weight store allows {count:d} transfers a second'))
def limit_store(operators, count):
    operators.fleet.control('platform', weights_per_s=count, weight_ms=100)
    operators.before = operators.transfers()


@when(
    parsers.parse(
        'two operators race on {name} and the last accepted change wants n',
    ),
)
def race(operators, name):
    def change(number):
        host = 'ab'[number % 2]
        row = operators.row_at(host, name)
        models = ['m'] if number % 3 else ['x']
        state = 'active' if number % 3 else 'stopped'
        status, body = operators.put(
            host, name, row, models=models, state=state
        )
        if status == 409:
            operators.losers.append((row['version'], body['error']['current']))

    with ThreadPoolExecutor(4) as pool:
        list(pool.map(change, range(16)))
    operators.want(name, 'n', state='active')


@then('each operator who lost got the row as it stood')
def verify_losers(operators):
    assert operators.losers
    assert all(
        current['version'] > version for version, current in operators.losers
    )


@when(parsers.re('(?P<name>e[12]) is wanted to have (?P<models>[a-z0-9,]+)$'))
def want(operators, name, models):
    operators.want(name, models)


@when('its holder is paused with the order on its way')
def pause_holder(operators):
    links = [one for one in operators.fleet.members if one.startswith('link-')]
    link = links[-1]
    name = link.removeprefix('link-')
    wait_for(lambda: operators.holder(name))
    operators.paused = operators.holder(name)
    seen = operators.fleet.record(link)['connections']
    wait_for(lambda: operators.fleet.record(link)['connections'] > seen)
    operators.link = link
    operators.fleet.control(link, cut=True)
    operators.fleet.pause(operators.paused)


@when(parsers.parse('{name} is wanted to have q without the link'))
def want_directly(operators, name):
    address = operators.fleet.members[name].address
    operators.want(name, 'q', url=f'http://{address}')


@when('the holder goes on and the order arrives')
def go_on(operators):
    operators.fleet.resume(operators.paused)
    operators.fleet.control(operators.link, cut=False, delay_ms=0)
    operators.paused = ''
    name = operators.link.removeprefix('link-')
    wait_for(lambda: late_order(operators, name))
    assert late_order(operators, name)['obeyed'] is (name == 'e2')


@then(parsers.re('(?P<name>e[12]) comes to have (?P<models>.) and keeps it'))
def verify_kept(operators, name, models):
    verify_models(operators, name, models)
    time.sleep(1)
    verify_models(operators, name, models)


@then(parsers.re('(?P<name>e[12]) comes to have (?P<models>[a-z0-9,]+)$'))
def verify_models(operators, name, models):
    wait_for(lambda: operators.state(name)['models'] == models.split(','))


@when(parsers.parse('{name} is wanted to have r while the next answer is lost'))
def lose_answer(operators, name):
    operators.fleet.control(name, freeze=True)
    operators.before = operators.fencing(name)
    operators.want(name, 'r')
    operators.fleet.control('platform', lose_answer_after_write=1)
    operators.fleet.control(name, freeze=False)


@then('its lease was taken once')
def verify_taken_once(operators):
    assert operators.fencing('e1') == operators.before + 1


@when(
    parsers.parse(
        '{name} is wanted to have s and the platform goes down before the'
        ' order',
    ),
)
def go_down(operators, name):
    operators.fleet.control(name, freeze=True)
    operators.want(name, 's')
    operators.fleet.control('platform', down=True)
    operators.before = len(operators.orders(name))
    operators.fleet.control(name, freeze=False)


@then(parsers.parse('{name} gets no order and lookups go on'))
def verify_no_order(operators, name):
    deadline = time.monotonic() + 1.5
    while time.monotonic() < deadline:
        assert can_look_up(operators.shop, 'a')
    assert len(operators.orders(name)) == operators.before


@when('the platform is back')
def come_back(operators):
    operators.fleet.control('platform', down=False)


@then(parsers.parse('{count:d} transfers were made'))
def verify_transfers(operators, count):
    assert operators.transfers() - operators.before <= count + 2


@when('an order is sent to e1 whose guard forbids it at the last moment')
def send_forbidden(operators):
    asyncio.run(send_guarded(operators.fleet.members['e1'].address))


@then('e1 never had it')
def verify_absent(operators):
    assert all(one['name'] != 'forbidden' for one in operators.orders('e1'))


def late_order(operators, name):
    held = [one for one in operators.orders(name) if one['name'] == 'p']
    return held[0] if held else None


async def send_guarded(address):
    transport = CurlTransport()
    asked = []
    with pytest.raises(NotRunError):
        await OrderClient(transport).issue(
            f'http://{address}',
            Order(OrderKind.role, 'forbidden'),
            fencing=1 << 30,
            order_id='o',
            timeout_s=1,
            guard=lambda: asked.append(1),
        )
    transport.close()
    assert asked


def can_look_up(shop, host):
    status, _ = call(
        shop.listens[host],
        'GET',
        '/apps/shop/lookups/county',
        headers=caller_headers(),
    )
    return status == 200


def wait_for(condition):
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)
