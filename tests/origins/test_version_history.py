"""Which versions may have begun a stream that nobody knows."""

from celerywharf.origins import (
    MAX_VERSIONS,
    Recorder,
    VersionEntry,
    VersionHistory,
)

SERVICE = 'narrator'
OLD = Recorder('f1/1', 'north-1', 0)
NEW = Recorder('f1/2', 'north-1', 100)
OTHER = Recorder('f3/1', 'north-2', 100)


def record(history, recorder, now_s, *present):
    """Record what a reader sees, unless it is recorded."""
    entries = history.merged(SERVICE, present, recorder, now_s)
    if entries is not None:
        history.replace(SERVICE, entries)
    return entries


def possible(history, now_s, *alive):
    return history.possible(SERVICE, {each.name for each in alive}, now_s)


def test_a_set_of_versions_is_written_once():
    history = VersionHistory()
    assert record(history, OLD, 1, 'v1')
    assert record(history, OLD, 50, 'v1') is None
    assert record(history, NEW, 101, 'v1') is None


def test_one_version_began_every_stream():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    assert possible(history, 2, OLD) == {'v1'}
    assert possible(history, 101, NEW) == {'v1'}


def test_a_version_seen_first_after_a_loss_began_no_unknown_stream():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, NEW, 101, 'v1', 'v2')
    assert possible(history, 102, NEW) == {'v1'}


def test_a_version_that_replaced_another_during_a_loss_began_none_either():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, NEW, 101, 'v2')
    assert possible(history, 102, NEW) == {'v1'}


def test_two_versions_before_a_loss_may_both_have_begun_a_stream():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, OLD, 50, 'v1', 'v2')
    assert possible(history, 102, NEW) == {'v1', 'v2'}


def test_streams_of_a_mixed_time_without_a_loss_may_be_of_either():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, NEW, 200, 'v1', 'v2')
    assert possible(history, 201, NEW) == {'v1', 'v2'}


def test_an_unknown_stream_may_be_of_either_once_a_host_was_lost():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, NEW, 101, 'v1', 'v2')
    assert possible(history, 102) == {'v1', 'v2'}


def test_a_version_that_a_lost_reader_saw_after_another_zone_may_have_begun():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, OTHER, 101, 'v1', 'v2')
    record(history, NEW, 102, 'v1', 'v2')
    replacement = Recorder('f2/1', 'north-1', 103)
    record(history, replacement, 104, 'v1', 'v2')
    assert possible(history, 105, replacement, OTHER) == {'v1', 'v2'}
    assert possible(history, 105, NEW, OTHER) == {'v1'}


def test_what_an_older_copy_of_the_store_lacks_is_recorded_again():
    history = VersionHistory()
    first = record(history, OLD, 1, 'v1')
    record(history, NEW, 101, 'v1', 'v2')
    history.store_restored()
    history.load({SERVICE: first})
    replacement = Recorder('f2/1', 'north-1', 103)
    assert record(history, replacement, 104, 'v1')
    assert record(history, replacement, 105, 'v1') is None
    assert history.entries[SERVICE]['v2'].recorders == (NEW,)
    assert history.recent(SERVICE, 224) == {'v1', 'v2'}
    assert history.recent(SERVICE, 225) == {'v1'}


def test_a_service_that_an_older_copy_lacks_is_recorded_again():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    history.store_restored()
    history.load({})
    assert record(history, OLD, 2, 'v1')
    assert record(history, OLD, 3, 'v1') is None


def test_what_has_expired_meanwhile_is_not_recorded_again():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, OLD, 2, 'v2')
    history.store_restored()
    history.load({})
    record(history, OLD, 200, 'v2')
    assert record(history, OLD, 201, 'v2') is None
    assert set(history.entries[SERVICE]) == {'v2'}


def test_a_version_that_is_gone_is_kept_for_a_while():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, OLD, 2, 'v1', 'v2')
    record(history, OLD, 10, 'v2')
    assert history.recent(SERVICE, 129) == {'v1', 'v2'}
    assert history.recent(SERVICE, 131) == {'v2'}


def test_a_version_that_returns_is_not_gone():
    history = VersionHistory()
    record(history, OLD, 1, 'v1')
    record(history, OLD, 2, 'v2')
    record(history, OLD, 3, 'v1', 'v2')
    assert history.recent(SERVICE, 500) == {'v1', 'v2'}


def test_what_is_recorded_of_a_service_is_bounded():
    history = VersionHistory()
    for number in range(100):
        record(history, OLD, number, f'v{number}')
    entries = history.entries[SERVICE]
    assert len(entries) == 32
    assert entries['v99'] == VersionEntry('v99', None, (OLD,))


def test_nothing_recorded_tells_nothing():
    assert possible(VersionHistory(), 1, NEW) == frozenset()


def test_more_versions_than_are_kept_are_not_written_again_and_again():
    history = VersionHistory()
    present = [f'v{number}' for number in range(MAX_VERSIONS + 8)]
    assert record(history, OLD, 1, *present)
    assert record(history, OLD, 2, *present) is None
