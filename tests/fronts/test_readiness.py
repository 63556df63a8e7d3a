"""What a front says of conditions that are not met."""

from celerywharf.fronts._readiness import REPORT_PERIOD_S, Readiness
from celerywharf.metrics import Metrics

LOGGER = 'celerywharf.fronts._readiness'


class Scene:
    """A front with one condition."""

    def __init__(self):
        self.now_s = 100.0
        self.is_read = False
        self.metrics = Metrics()
        self.readiness = Readiness(
            {'servers read': lambda: self.is_read},
            lambda: self.now_s,
            self.metrics,
        )

    def check(self, after_s=1.0):
        self.now_s += after_s
        return self.readiness.check()


def test_a_front_says_why_and_since_when_it_is_not_ready(caplog):
    caplog.set_level('INFO', LOGGER)
    scene = Scene()
    for _ in range(6):
        assert scene.check() == ('servers read',)
    assert len(caplog.records) == 1
    assert scene.check(REPORT_PERIOD_S) == ('servers read',)
    last = caplog.records[-1]
    assert last.message == 'not ready'
    assert last.unmet == ['servers read']
    assert last.not_ready_s == 5 + REPORT_PERIOD_S
    assert scene.metrics.total('not_ready_checks') == 7
    scene.is_read = True
    assert scene.check() == ()
    assert caplog.records[-1].message == 'ready'
    scene.check(2 * REPORT_PERIOD_S)
    assert len(caplog.records) == 3
