"""Tests of the shared table on host processes with a stand-in platform."""

import asyncio
import json
import os
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.structures import Address, HostIdentity
from celerywharf.tables.catalogues import digest_key
from celerywharf.wire import LinkService, default_codec
from celerywharf.wire.tables import TableDelta, TablePush, TableRow
from standins.calls import call
from standins.clusters import INNER_KEY, OPERATOR_KEY, Cluster
from standins.launching import Fleet, find_free_port

scenarios('hosts.feature')

ZONES = {'a': 'z1', 'b': 'z1', 'c': 'z2'}
SHARE = 'share/*:acme'
ACCOUNT = {'name': 'acme', 'key_digest': '0' * 64}
HTTP_OK = 200


def fields(limit):
    return {
        'backend_server': '*',
        'client_account': 'acme',
        'weight': 1,
        'limit': limit,
    }


@pytest.fixture(scope='module')
def started():
    with Fleet() as fleet:
        cluster = Cluster.start(fleet, ZONES)
        cluster.put('a', 'client_account/acme', ACCOUNT, 0)
        cluster.put('a', SHARE, fields(10), 0)
        yield cluster


@pytest.fixture
def context():
    return {}


@given(
    'hosts a and b in zone z1, and c in zone z2, with one share in force',
    target_fixture='cluster',
)
def _cluster(started):
    yield started
    started.fleet.control('platform', down=False)
    started.fleet.resume('c')
    started.cut()
    assert started.wait_for_revision(started.revision('a'), ZONES, 5)


def current(cluster, name):
    return cluster.operate(name, 'GET', f'/table/{SHARE}')[1]


def set_limit(cluster, name, limit):
    version = current(cluster, name)['version']
    return cluster.put(name, SHARE, fields(limit), version)


@when('operators set the limit to 20 through a and to 30 through b at once')
def _race(cluster, context):
    version = current(cluster, 'a')['version']
    with ThreadPoolExecutor() as pool:
        context['race'] = list(
            pool.map(
                lambda edit: cluster.put(
                    edit[0], SHARE, fields(edit[1]), version
                ),
                [('a', 20), ('b', 30)],
            )
        )


@then('one is accepted and the other is refused with the winning row')
def _one_winner(context):
    (winner, change), (loser, error) = sorted(
        context['race'], key=lambda answer: answer[0]
    )
    assert (winner, loser) == (HTTP_OK, 409)
    assert error['error']['verdict'] == 'not_run'
    assert error['error']['current'] == change['rows'][0]
    context['limit'] = change['rows'][0]['fields']['limit']


@then('all hosts have the limit of the winner within 3 s')
def _all_have_winner(cluster, context):
    _all_have_limit(cluster, context['limit'])


@when(parsers.parse('all hosts have limit {limit:d} within 3 s'))
@then(parsers.parse('all hosts have limit {limit:d} within 3 s'))
def _all_have_limit(cluster, limit):
    deadline = time.monotonic() + 3
    seen = set()
    while seen != {limit} and time.monotonic() < deadline:
        seen = {current(cluster, name)['fields']['limit'] for name in ZONES}
    assert seen == {limit}


@when('the platform loses the answer to the next commit')
def _lose(cluster):
    cluster.fleet.control('platform', lose_answer_after_write=1)


@when(parsers.parse('an operator sets the limit to {limit:d} through {name}'))
def _set(cluster, context, limit, name):
    deadline = time.monotonic() + 3
    context['answer'] = set_limit(cluster, name, limit)
    while context['answer'][0] == 409 and time.monotonic() < deadline:
        context['answer'] = set_limit(cluster, name, limit)
    assert context['answer'][0] == HTTP_OK, context['answer']


@then('the change is accepted and is in the history once')
def _in_history_once(cluster, context):
    change = context['answer'][1]
    record = cluster.fleet.record('platform')
    written = [
        key
        for transaction in record['transactions']
        for key, stored in transaction['puts'].items()
        if stored.get('change_id') == change['change_id']
    ]
    assert sorted(written) == [
        f'table/changes/{change["revision"]:016d}',
        f'table/rows/{SHARE}',
    ]


@when('c is paused')
def _pause(cluster):
    cluster.fleet.pause('c')


@when('c is resumed')
def _resume(cluster):
    cluster.fleet.resume('c')


@when('the platform is down')
def _down(cluster):
    cluster.fleet.control('platform', down=True)


@when('b is killed and started again')
def _restart(cluster):
    cluster.fleet.kill('b')
    cluster.start_host('b')


@then(
    parsers.parse("an operator's change through {name} is refused as not run")
)
def _refused(cluster, name):
    status, answer = set_limit(cluster, name, 5)
    assert status == 503
    assert answer['error']['code'] == 'platform_unavailable'
    assert answer['error']['verdict'] == 'not_run'


@when('a host is started without peers')
def _start_without_peers(cluster, context):
    edge = f'127.0.0.1:{find_free_port()}'
    inner = f'127.0.0.1:{find_free_port()}'
    settings = {**cluster.members['a'].settings, 'peers': {}}
    settings['host'] = {
        **settings['host'],
        'name': 'alone',
        'listen': edge,
        'inner': inner,
        'inner_listen': inner,
    }
    cluster.fleet.start_unready_host('alone', settings, edge)
    context['edge'] = edge


@then(
    'its health check answers 503 and says that the table has not been read',
)
def _not_ready(context):
    status, answer = call(context['edge'], 'GET', '/healthz')
    assert status == 503
    assert answer['reason'] == 'the table has not been read yet'


@then('it asks a caller to retry instead of refusing the key')
def _asks_to_retry(cluster, context):
    bearer = {'Authorization': 'Bearer some-key'}
    status, answer = call(context['edge'], 'GET', '/apps/x/y', None, bearer)
    cluster.fleet.kill('alone')
    assert (status, answer['error']['verdict']) == (503, 'not_run')
    assert answer['error']['retry_after_s'] > 0


@when('zone z2 is cut off')
def _cut(cluster):
    cluster.cut('z2')


@when('connections between hosts are reset and zone z2 is reconnected')
def _reconnect(cluster):
    cluster.reset_connections()
    cluster.cut()


@then('c has limit 60')
def _has_old_limit(cluster):
    assert current(cluster, 'c')['fields']['limit'] == 60


@when('a peer pushes its first revision with limit 999 to a')
def _offer_first_revision(cluster):
    asyncio.run(_push_first_revision(cluster))


@then('a keeps limit 80 for half a second')
def _kept(cluster):
    deadline = time.monotonic() + 0.5
    while time.monotonic() < deadline:
        assert current(cluster, 'a')['fields']['limit'] == 80


async def _push_first_revision(cluster):
    ip = cluster.members['a'].ip
    sender = HostIdentity('ghost', 'r1', 'z1', Address(ip, find_free_port()), 1)
    links = LinkService(sender, INNER_KEY.encode(), default_codec())
    outdated = json.dumps(fields(999))
    row = TableRow('share', '*:acme', 99, 1, outdated)
    push = TablePush('ghost', TableDelta(0, 1, [row], more=False))
    settings = cluster.members['a'].settings
    bind = settings['host']['inner_listen']
    await links.request(Address.parse(bind), push)
    await links.close()


def command(cluster, words, text='', host=None):
    environment = {
        **os.environ,
        'CELERYWHARF_HOST': host or cluster.members['b'].edge,
        'CELERYWHARF_OPERATOR_KEY': OPERATOR_KEY,
    }
    return subprocess.run(
        [sys.executable, '-m', 'celerywharf', *words.split()],
        env=environment,
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )


@when('the sheet of shares is exported, its limit set to 90 and imported')
def _import_edited_sheet(cluster, context):
    context['sheet'] = command(cluster, 'table export share').stdout
    header, line = context['sheet'].splitlines()
    cells = dict(zip(header.split(','), line.split(','), strict=True))
    edited = ','.join({**cells, 'limit': '90'}.values())
    sheet = f'{header}\n{edited}\n'
    assert not command(cluster, 'table import share -', sheet).returncode


@when('the first sheet is imported again')
def _import_first_sheet(cluster, context):
    context['run'] = command(cluster, 'table import share -', context['sheet'])


@when('a sheet with one valid and one invalid row is imported')
def _import_invalid_sheet(cluster, context):
    sheet = 'backend_server,client_account,weight,limit\n*,acme,1,7\n*,x,0,7\n'
    context['run'] = command(cluster, 'table import share -', sheet)


@when('an account is created through a host that does not exist')
def _unknown_host(cluster, context):
    words = 'account create new'
    context['run'] = command(cluster, words, host='127.0.0.1:1')


@then(
    parsers.parse('the command ends with exit code {code:d} and shows {text}')
)
def _command_ended(context, code, text):
    run = context['run']
    expected = {
        'limit 90': '"limit": 90',
        'row 2, column weight': "row 2 (share *:x): column weight = '0'",
        'one line': 'celerywharf: host 127.0.0.1:1 cannot be reached',
    }
    assert run.returncode == code
    assert expected[text] in run.stderr
    assert len(run.stderr.splitlines()) <= 2


def run_command(cluster, words):
    run = command(cluster, words)
    assert not run.returncode, run.stderr
    return run.stdout


@when('an account, a service and a backend server are created')
def _create(cluster, context):
    answer = json.loads(run_command(cluster, 'account create yard --json'))
    context['key'] = answer['key']
    run_command(cluster, 'service create bookings --kind=application')
    words = 'backend add yard1 --url=http://127.0.0.1:9 --region=r1 --zone=z1'
    run_command(cluster, f'{words} --service=bookings --ignores-fencing')


def call_statuses(cluster, key):
    bearer = {'Authorization': f'Bearer {key}'}
    return {
        call(member.edge, 'GET', '/apps/none/x', None, bearer)[0]
        for member in cluster.members.values()
    }


def wait_until(timeout_s, condition):
    deadline = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.02)
    assert condition()


@then('the printed key is accepted by all hosts within 3 s')
def _key_accepted(cluster, context):
    wait_until(3, lambda: call_statuses(cluster, context['key']) == {404})


@then('the platform stores only the digest of the key')
def _digest_only(cluster, context):
    record = json.dumps(cluster.fleet.record('platform'))
    assert digest_key(context['key']) in record
    assert context['key'] not in record


@when('the backend server is stopped')
def _stop_backend(cluster):
    run_command(cluster, 'backend stop yard1')


@then('all hosts have its state as leaving within 3 s')
def _leaving(cluster):
    path = '/table/backend_server/yard1'
    wait_until(
        3,
        lambda: all(
            cluster.operate(name, 'GET', path)[1]['fields']['state']
            == 'leaving'
            for name in ZONES
        ),
    )


@when('the backend server, the service and the account are removed')
def _remove(cluster):
    for words in ('backend remove yard1', 'service remove bookings'):
        run_command(cluster, words)
    run_command(cluster, 'account remove yard')


@then('the printed key is refused by all hosts within 3 s')
def _key_refused(cluster, context):
    wait_until(3, lambda: call_statuses(cluster, context['key']) == {401})


@when('c is stopped by name through a')
def _stop_host(cluster):
    assert 'c is leaving' in run_command(cluster, 'host stop c')


@then('the process of c exits')
def _ends(cluster):
    wait_until(5, lambda: not cluster.fleet.members['c'].is_running)
    cluster.start_host('c')
