"""What a front says of conditions that are not met."""

from celerywharf.fronts._readiness import (
    REPORT_PERIOD_S,
    Conditions,
    Readiness,
)
from celerywharf.metrics import Metrics

LOGGER = 'celerywharf.fronts._readiness'


class Scene:
    """A front with one condition of its start and one at all times."""

    def __init__(self):
        self.now_s = 100.0
        self.is_read = False
        self.is_stopping = False
        self.metrics = Metrics()
        self.readiness = Readiness(
            Conditions(
                {'servers read': lambda: self.is_read},
                {'not stopping': lambda: not self.is_stopping},
            ),
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


def test_a_front_that_was_ready_only_needs_what_counts_at_all_times():
    scene = Scene()
    scene.is_read = True
    assert scene.check() == ()
    scene.is_read = False
    assert scene.check() == ()
    scene.is_stopping = True
    assert scene.check() == ('not stopping',)


def test_what_a_start_needs_counts_until_all_conditions_are_met_at_once():
    scene = Scene()
    scene.is_read = True
    scene.is_stopping = True
    assert scene.check() == ('not stopping',)
    scene.is_read = False
    scene.is_stopping = False
    assert scene.check() == ('servers read',)
