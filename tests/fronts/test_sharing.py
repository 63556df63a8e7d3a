"""Fronts that share a reader, with real processes."""

import re
import signal
import time
from urllib.request import urlopen

from pytest_bdd import given, parsers, scenarios, then, when

from standins.fronts import CALL_PATH, PlatformRig, request_headers, send

scenarios('sharing.feature')

FRONTS = ('f1', 'f2', 'f3')
# From the users' bound on keys that were taken away.
SOON_S = 5.0
POLL_S = 0.1
SPAN_S = 3.0
CHANGE_S = 0.5
METRIC = re.compile(
    r'table_readings\w*\{[^}]*source="(\w+)"[^}]*\} ([\d.e+]+)',
)


def _link(name):
    return f'link-{name}'


class Zone:
    """Fronts of a zone, each behind a link of its own to the store."""

    def __init__(self, rig):
        self.rig = rig
        self.fleet = rig.fleet
        for name in FRONTS:
            link = self.fleet.start_link(_link(name), rig.store)
            rig.add_front(name, store=link.address, shares=True)
        self.reader = self.wait_for_reader(FRONTS)
        time.sleep(CHANGE_S)

    def others(self):
        """Return the fronts beside the first reader."""
        return [name for name in FRONTS if name != self.reader]

    def took_over(self, name):
        """Tell whether a front has named itself."""
        output = (self.fleet.folder / f'{name}.out').read_text()
        return '"step": "take_over"' in output

    def wait_for_reader(self, names):
        """Return the front that has taken over."""
        ends_s = time.monotonic() + SOON_S
        while time.monotonic() < ends_s:
            for name in names:
                if self.took_over(name):
                    return name
            time.sleep(POLL_S)
        raise AssertionError('nobody took over')

    def readings(self, name):
        """Return how often a front read tables, by source."""
        url = f'http://{self.rig.health[name]}/metrics'
        with urlopen(url) as response:
            text = response.read().decode()
        return {source: float(count) for source, count in METRIC.findall(text)}

    def signal_reader(self, number):
        """Send the first reader a signal."""
        member = self.fleet.members[self.reader]
        member.process.send_signal(number)

    def buy(self, name):
        """Buy at a front; return the status."""
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


@when('the key is taken away')
def _taken(zone):
    zone.rig.keys.clear()
    zone.rig.configure()


@when('the reader is killed')
def _killed(zone):
    zone.fleet.kill(zone.reader)


@when('the reader is stopped')
def _stopped(zone):
    zone.signal_reader(signal.SIGSTOP)


@when('the reader wakes up')
def _wakes(zone):
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
    assert process.wait(SOON_S) == 0


@then('its log does not say that its reader is lost')
def _not_lost(zone):
    output = (zone.fleet.folder / f'{zone.others()[0]}.out').read_text()
    assert '"stopped"' in output
    assert 'reader lost' not in output


@when('the store is cut off from all fronts')
def _cut_all(zone):
    for name in FRONTS:
        zone.fleet.control(_link(name), cut=True)


@when('the store is back')
def _back(zone):
    for name in FRONTS:
        zone.fleet.control(_link(name), cut=False)


@when(parsers.parse('{span:g} s pass'))
def _pass(span):
    time.sleep(span)


@then('only the reader makes calls to the store in 3 s')
def _one_calls(zone):
    before = {name: zone.readings(name) for name in FRONTS}
    time.sleep(SPAN_S)
    zone.spans = {
        name: {
            source: count - before[name].get(source, 0)
            for source, count in zone.readings(name).items()
        }
        for name in FRONTS
    }
    assert zone.spans[zone.reader]['store'] > 0
    for name in zone.others():
        assert zone.spans[name].get('store', 0) == 0


@then('the other fronts read tables in that time')
def _others_read(zone):
    for name in zone.others():
        assert zone.spans[name]['reader'] >= 2


@then('a caller who buys at each other front soon gets 401')
def _refused_soon(zone):
    ends_s = time.monotonic() + SOON_S
    waiting = set(zone.others())
    while waiting and time.monotonic() < ends_s:
        waiting = {name for name in waiting if zone.buy(name) != 401}
        time.sleep(POLL_S)
    assert not waiting


@then('one of the other fronts has taken over')
def _replaced(zone):
    zone.wait_for_reader(zone.others())


@then('a caller who buys at each other front is refused and nothing runs')
def _refused(zone):
    ran = len(zone.rig.all_runs())
    for name in zone.others():
        assert zone.buy(name) == 503
    assert len(zone.rig.all_runs()) == ran


@then('a caller who buys at any front does not get 200')
def _nowhere(zone):
    for name in FRONTS:
        assert zone.buy(name) in {401, 503}
