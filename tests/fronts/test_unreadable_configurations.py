"""Configurations that a host cannot decode."""

import json
import logging
from random import Random

import pytest

from celerywharf.fronts._watchers import ConfigurationWatcher
from celerywharf.metrics import Metrics
from celerywharf.platform import ReadResult, Row, StoreClient
from celerywharf.routing import AnswerTiming, ConfigurationCache
from celerywharf.structures import Address
from tests.configuration_checks.documents import document

TIMING = AnswerTiming(sent_s=1, received_s=1, store_s=1)
STORE = Address('127.0.0.1', 9)


@pytest.fixture
def watcher():
    return ConfigurationWatcher(
        StoreClient(None, STORE), Random(1), ConfigurationCache(1), Metrics()
    )


def reading(content, version):
    row = Row('config', content, removed=False, version=version)
    return ReadResult((row,), version, TIMING)


@pytest.mark.parametrize('earlier', [None, json.loads(document())['version']])
def test_an_unreadable_configuration_is_logged_with_the_one_that_stays(
    watcher, caplog, earlier
):
    if earlier:
        watcher.apply_all(reading(document(), 5))
    caplog.clear()
    with caplog.at_level(logging.ERROR):
        watcher.apply_all(reading(b'{"version": 9', 6))
    (record,) = caplog.records
    assert record.message == 'configuration unreadable'
    assert (record.row_version, record.in_force) == (6, earlier)
    assert watcher.metrics.total('unreadable_configurations') == 1
