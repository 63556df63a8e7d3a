"""Orders that hosts send to engines, with real processes."""

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

WAIT_TIMEOUT_S = 15
POLL_S = 0.03
SETTINGS = {'lease_s': 1.2, 'margin_s': 0.2, 'flight_s': 0.8, 'look_s': 0.2}
OPERATOR = {'Authorization': f'Bearer {OPERATOR_KEY}'}
FAST_WEIGHTS = 1000


class Operators:
    """Writes rows through hosts and reads the actual state of engines."""

    def __init__(self, shop):
        self.shop = shop
        self.fleet = shop.fleet
        self.conflicts = []
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

    def configure(self, name, models, **fields):
        names = models.split(',')
        host = 'b' if self.paused == 'a' else 'a'
        wait_for(
            lambda: (
                self.put(
                    host,
                    name,
                    self.row_at(host, name),
                    models=names,
                    **fields,
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

    def weight_requests(self):
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
    operators = Operators(shop)
    yield operators
    for name in ('e1', 'e2'):
        obeyed = [
            order['fencing']
            for order in operators.orders(name)
            if order['obeyed'] and name == 'e1'
        ]
        assert obeyed == sorted(obeyed)


@given(
    'a platform, engine e1, engine e2 that ignores fencing numbers,'
    ' hosts a and b'
)
def configure_standins(operators):
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


@given(parsers.parse('the weight store allows {count:d} transfers per second'))
def limit_store(operators, count):
    operators.fleet.control('platform', weights_per_s=count, weight_ms=100)
    operators.baseline = operators.weight_requests()


@when(
    parsers.parse(
        'two operators change {name} concurrently and the last change sets n',
    ),
)
def change_concurrently(operators, name):
    def change(number):
        host = 'ab'[number % 2]
        row = operators.row_at(host, name)
        models = ['m'] if number % 3 else ['x']
        state = 'active' if number % 3 else 'stopped'
        status, body = operators.put(
            host, name, row, models=models, state=state
        )
        if status == 409:
            operators.conflicts.append(
                (row['version'], body['error']['current'])
            )

    with ThreadPoolExecutor(4) as pool:
        list(pool.map(change, range(16)))
    operators.configure(name, 'n', state='active')


@then('each rejected operator received the current row')
def verify_rejected(operators):
    assert operators.conflicts
    assert all(
        current['version'] > version for version, current in operators.conflicts
    )


@when(parsers.re('(?P<name>e[12]) is configured with (?P<models>[a-z0-9,]+)$'))
def configure(operators, name, models):
    operators.configure(name, models)


@when('the lease holder is paused with the order in flight')
def pause_holder(operators):
    link_names = [
        member
        for member in operators.fleet.members
        if member.startswith('link-')
    ]
    link_name = link_names[-1]
    name = link_name.removeprefix('link-')
    wait_for(lambda: operators.holder(name))
    operators.paused = operators.holder(name)
    connections = operators.fleet.record(link_name)['connections']
    wait_for(
        lambda: operators.fleet.record(link_name)['connections'] > connections
    )
    operators.link_name = link_name
    operators.fleet.control(link_name, cut=True)
    operators.fleet.pause(operators.paused)


@when(parsers.parse('{name} is configured with q and its direct address'))
def configure_directly(operators, name):
    address = operators.fleet.members[name].address
    operators.configure(name, 'q', url=f'http://{address}')


@when('the holder resumes and the order arrives')
def resume_holder(operators):
    operators.fleet.resume(operators.paused)
    operators.fleet.control(operators.link_name, cut=False, delay_ms=0)
    operators.paused = ''
    name = operators.link_name.removeprefix('link-')
    wait_for(lambda: late_order(operators, name))
    assert late_order(operators, name)['obeyed'] is (name == 'e2')


@then(parsers.re('(?P<name>e[12]) eventually has (?P<models>.) and keeps it'))
def verify_kept(operators, name, models):
    verify_models(operators, name, models)
    time.sleep(1)
    verify_models(operators, name, models)


@then(parsers.re('(?P<name>e[12]) eventually has (?P<models>[a-z0-9,]+)$'))
def verify_models(operators, name, models):
    wait_for(lambda: operators.state(name)['models'] == models.split(','))


@when(
    parsers.parse(
        '{name} is configured with r and the next platform response is lost',
    ),
)
def lose_response(operators, name):
    operators.fleet.control(name, freeze=True)
    operators.baseline = operators.fencing(name)
    operators.configure(name, 'r')
    operators.fleet.control('platform', lose_answer_after_write=1)
    operators.fleet.control(name, freeze=False)


@then('its lease was acquired once')
def verify_acquired_once(operators):
    assert operators.fencing('e1') == operators.baseline + 1


@when(
    parsers.parse(
        '{name} is configured with s and the platform fails before the order',
    ),
)
def fail_platform(operators, name):
    operators.fleet.control(name, freeze=True)
    operators.configure(name, 's')
    operators.fleet.control('platform', down=True)
    operators.baseline = len(operators.orders(name))
    operators.fleet.control(name, freeze=False)


@then(parsers.parse('{name} receives no order and lookups still succeed'))
def verify_no_order(operators, name):
    deadline = time.monotonic() + 1.5
    while time.monotonic() < deadline:
        assert can_look_up(operators.shop, 'a')
    assert len(operators.orders(name)) == operators.baseline


@when('the platform is up again')
def restore_platform(operators):
    operators.fleet.control('platform', down=False)


@then(
    parsers.parse(
        'the store received at most 2 requests more than the {count:d} needed',
    ),
)
def verify_weight_requests(operators, count):
    assert operators.weight_requests() - operators.baseline <= count + 2


@when('an order to e1 is rejected by its guard just before it is written')
def send_forbidden(operators):
    asyncio.run(send_guarded(operators.fleet.members['e1'].address))


@then('e1 has not received it')
def verify_not_received(operators):
    assert all(order['name'] != 'forbidden' for order in operators.orders('e1'))


def late_order(operators, name):
    late_orders = [
        order for order in operators.orders(name) if order['name'] == 'p'
    ]
    return late_orders[0] if late_orders else None


async def send_guarded(address):
    transport = CurlTransport()
    guard_calls = []
    with pytest.raises(NotRunError):
        await OrderClient(transport).issue(
            f'http://{address}',
            Order(OrderKind.role, 'forbidden'),
            fencing=1 << 30,
            order_id='o',
            timeout_s=1,
            guard=lambda: guard_calls.append(1),
        )
    transport.close()
    assert guard_calls


def can_look_up(shop, host):
    status, _ = call(
        shop.listens[host],
        'GET',
        '/apps/shop/lookups/county',
        headers=caller_headers(),
    )
    return status == 200


def wait_for(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)
