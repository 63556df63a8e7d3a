"""Fronts that share a reader of the store, with real processes."""

import re
import signal
import time
from urllib.request import urlopen

from pytest_bdd import given, parsers, scenarios, then, when

from standins.fronts import CALL_PATH, PlatformRig, request_headers, send

scenarios('sharing.feature')

FRONTS = ('f1', 'f2', 'f3')
# The longest time for which a revoked key may be accepted.
TIMEOUT_S = 5.0
POLL_S = 0.1
MEASURED_S = 3.0
SETTLE_S = 0.5
LARGE_BYTES = 200_000
METRIC = re.compile(
    r'table_readings\w*\{[^}]*source="(\w+)"[^}]*\} ([\d.e+]+)',
)
CONTENT_BYTES = re.compile(
    r'^celerywharf_content_bytes_received\S* ([\d.e+]+)', re.MULTILINE
)


def _link(name):
    return f'link-{name}'


class Zone:
    """Fronts of a zone, each with its own link to the store."""

    def __init__(self, rig):
        self.rig = rig
        self.fleet = rig.fleet
        for name in FRONTS:
            link = self.fleet.start_link(_link(name), rig.store)
            rig.add_front(name, store=link.address, shares=True)
        self.reader = self.wait_for_reader(FRONTS)
        time.sleep(SETTLE_S)

    def others(self):
        """Return the fronts other than the first reader."""
        return [name for name in FRONTS if name != self.reader]

    def took_over(self, name):
        """Return whether a front has taken over as reader."""
        output = (self.fleet.folder / f'{name}.out').read_text()
        return '"step": "take_over"' in output

    def wait_for_reader(self, names):
        """Return the first of the fronts that takes over."""
        ends_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < ends_s:
            for name in names:
                if self.took_over(name):
                    return name
            time.sleep(POLL_S)
        raise AssertionError('no front took over in time')

    def readings(self, name):
        """Return the number of table readings of a front, by source."""
        found = METRIC.findall(self.metrics(name))
        return {source: float(count) for source, count in found}

    def content_bytes(self, name):
        """Return what a front has received of large contents from others."""
        return sum(map(float, CONTENT_BYTES.findall(self.metrics(name))))

    def metrics(self, name):
        """Return the exposition of a front."""
        url = f'http://{self.rig.health[name]}/metrics'
        with urlopen(url) as response:
            return response.read().decode()

    def signal_reader(self, number):
        """Send a signal to the first reader."""
        member = self.fleet.members[self.reader]
        member.process.send_signal(number)

    def serves_added(self, name):
        """Return whether a front serves the last added route."""
        address = self.rig.fronts[name]
        path = f'{self.added}1'
        return send(address, path, headers=request_headers()).status == 200

    def received_bytes(self, name):
        """Return what a front has received from the store."""
        record = self.fleet.record(_link(name))
        return sum(record['received_bytes'].values())

    def buy(self, name):
        """Send a purchase to a front; return the HTTP status."""
        address = self.rig.fronts[name]
        return send(address, CALL_PATH, headers=request_headers()).status


@given(
    'a platform with desks d1, d2 and fronts f1, f2, f3 that share',
    target_fixture='zone',
)
def _zone(fleet):
    rig = PlatformRig(fleet)
    rig.add_server('d1', 'desk')
    rig.add_server('d2', 'desk')
    zone = Zone(rig)
    for name in FRONTS:
        assert zone.buy(name) == 200
    return zone


@when('the key is revoked')
def _revoked(zone):
    zone.rig.keys.clear()
    zone.rig.configure()


@when('the reader is killed')
def _killed(zone):
    zone.fleet.kill(zone.reader)


@when('the reader is suspended')
def _suspended(zone):
    zone.signal_reader(signal.SIGSTOP)


@when('the reader is resumed')
def _resumed(zone):
    zone.signal_reader(signal.SIGCONT)


@when('the reader loses the store')
def _cut_reader(zone):
    zone.fleet.control(_link(zone.reader), cut=True)


@when('the reader is refused by the store')
def _refused_reader(zone):
    zone.fleet.control(_link(zone.reader), refuse=True, close=True)


@when('another front is stopped by a signal')
def _stopped_front(zone):
    process = zone.fleet.members[zone.others()[0]].process
    process.terminate()
    assert process.wait(TIMEOUT_S) == 0


@then('its log does not report a lost reader')
def _not_lost(zone):
    output = (zone.fleet.folder / f'{zone.others()[0]}.out').read_text()
    assert '"stopped"' in output
    assert 'reader lost' not in output


@when('the store is cut off from all fronts')
def _cut_all(zone):
    for name in FRONTS:
        zone.fleet.control(_link(name), cut=True)


@when('the store is reachable again')
def _restored(zone):
    for name in FRONTS:
        zone.fleet.control(_link(name), cut=False)


@when(parsers.parse('{span:g} s pass'))
def _wait(span):
    time.sleep(span)


@then('only the reader makes calls to the store in 3 s')
def _only_reader_calls(zone):
    before = {name: zone.readings(name) for name in FRONTS}
    time.sleep(MEASURED_S)
    zone.new_readings = {
        name: {
            source: count - before[name].get(source, 0)
            for source, count in zone.readings(name).items()
        }
        for name in FRONTS
    }
    assert zone.new_readings[zone.reader]['store'] > 0
    for name in zone.others():
        assert zone.new_readings[name].get('store', 0) == 0


@then('the other fronts read tables in that time')
def _others_read(zone):
    for name in zone.others():
        assert zone.new_readings[name]['reader'] >= 2


@then('a purchase at each other front is soon answered with 401')
def _refused_soon(zone):
    ends_s = time.monotonic() + TIMEOUT_S
    waiting = set(zone.others())
    while waiting and time.monotonic() < ends_s:
        waiting = {name for name in waiting if zone.buy(name) != 401}
        time.sleep(POLL_S)
    assert not waiting


@then('one of the other fronts has taken over')
def _replaced(zone):
    zone.wait_for_reader(zone.others())


@then('a purchase at each other front is refused and does not run')
def _refused(zone):
    ran = len(zone.rig.all_runs())
    for name in zone.others():
        assert zone.buy(name) == 503
    assert len(zone.rig.all_runs()) == ran


@then('no purchase at any front is answered with 200')
def _nowhere_accepted(zone):
    for name in FRONTS:
        assert zone.buy(name) in {401, 503}


@when(parsers.parse('the links to the store carry {rate:d} kB a second each'))
def _slow_links(zone, rate):
    for name in FRONTS:
        zone.fleet.control(_link(name), bytes_per_s=rate * 1000)


@when(parsers.parse('the configuration grows by {count:d} routes'))
def _grows(zone, count):
    known = zone.rig.configuration()['routes']
    routes = [
        {**known[1], 'name': f'grown-{number}', 'prefix': f'/{number}/'}
        for number in range(count)
    ]
    zone.added = routes[-1]['prefix']
    zone.rig.configure(routes=known + routes)


@then('each front serves the last of its routes in time')
def _all_serve(zone):
    ends_s = time.monotonic() + TIMEOUT_S
    zone.purchases = set()
    for name in FRONTS:
        while not zone.serves_added(name):
            zone.purchases.add(zone.buy(name))
            assert time.monotonic() < ends_s
            time.sleep(POLL_S)


@then('the configuration left the store for the reader only')
def _read_once(zone):
    records = {name: zone.received_bytes(name) for name in FRONTS}
    assert records[zone.reader] > LARGE_BYTES
    for name in zone.others():
        assert records[name] < LARGE_BYTES


@then('the other fronts got it compressed')
def _compressed(zone):
    for name in zone.others():
        assert 0 < zone.content_bytes(name) < LARGE_BYTES / 4


@then('no purchase at any front was refused meanwhile')
def _none_refused(zone):
    assert zone.purchases <= {200}
