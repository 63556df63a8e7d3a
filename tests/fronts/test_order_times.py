"""When orders of the operator came, on the store's clock."""

import json
import math
from random import Random

import pytest

from celerywharf.fronts._watchers import ConfigurationWatcher
from celerywharf.metrics import Metrics
from celerywharf.platform import ReadResult, Row, StoreClient
from celerywharf.routing import AnswerTiming, ClockOffset, ConfigurationCache
from celerywharf.structures import Address

RECEIVED_S = 20.0
STORE_AHEAD_S = 100.0
OFFSET = ClockOffset(-STORE_AHEAD_S - 0.01, -STORE_AHEAD_S)
ORDER = {'service': 'orders', 'to': 'v2', 'periodS': 10}
ROW = Row('rollout/orders', json.dumps(ORDER).encode(), False, 7)


def test_an_order_of_a_reader_that_has_confirmed_nothing_has_a_time():
    """Its period was over at once for a front that then decided on it."""
    cache = ConfigurationCache(5)
    store = StoreClient(None, Address('127.0.0.1', 9))
    watcher = ConfigurationWatcher(store, Random(1), cache, Metrics())
    times_s = []
    watcher.row_subscribers.append(
        lambda _rows, store_s, **_: times_s.append(store_s)
    )
    timing = AnswerTiming(
        RECEIVED_S, RECEIVED_S, -math.inf, relayed=True, offset=OFFSET
    )
    watcher.apply_all(ReadResult((ROW,), 7, timing))
    assert times_s == [pytest.approx(RECEIVED_S + STORE_AHEAD_S)]
