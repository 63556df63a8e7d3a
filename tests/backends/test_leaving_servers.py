"""Servers that have said that they leave, whatever is heard afterwards."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerywharf.backends import Directory, _directory
from tests.backends.test_directory import SERVICE, make_server

NAMES = ('s1', 's2', 's3')
MAX_STEPS = 30

entries = st.builds(
    make_server,
    st.sampled_from(NAMES),
    born_ms=st.integers(0, 2),
    sequence=st.integers(0, 4),
    draining=st.booleans(),
)
steps = st.one_of(
    st.tuples(st.just('update'), entries),
    st.tuples(st.just('replace_all'), st.lists(entries, max_size=3)),
    st.tuples(st.just('leaving'), entries),
    st.tuples(st.just('replaced'), entries),
    st.tuples(st.just('removed'), st.sampled_from(NAMES)),
    st.tuples(st.just('unreadable'), st.sampled_from(NAMES)),
    st.tuples(
        st.sampled_from(
            ('outage', 'restored', 'store_restored', 'expire', 'watch_anew')
        ),
        st.none(),
    ),
)


def apply(directory, step, content, now_s):
    """Apply a step to a directory."""
    match step:
        case 'update' | 'removed':
            getattr(directory, step)(content, now_s)
        case 'replace_all':
            directory.replace_all(content, now_s)
        case 'leaving':
            directory.leaving(content.incarnation)
        case 'replaced' | 'unreadable':
            getattr(directory, step)(content)
        case 'outage':
            directory.outage()
        case 'watch_anew':
            directory.replace_all(list(directory.servers.values()), now_s)
        case _:
            getattr(directory, step)(now_s)


@given(history=st.lists(steps, max_size=MAX_STEPS))
@settings(max_examples=2000, deadline=None)
def test_nothing_brings_a_server_back_that_has_said_that_it_leaves(history):
    directory = Directory()
    left = set()
    for now_s, (step, content) in enumerate(history):
        apply(directory, step, content, now_s)
        if step in {'leaving', 'replaced'}:
            left.add((content.name, content.born_ms))
        if step == 'update' and content.draining:
            known = directory.servers.get(content.name)
            if known is not None and known.draining:
                left.add((known.name, known.born_ms))
        usable = {
            (server.name, server.born_ms)
            for server in directory.usable(SERVICE)
        }
        assert not usable & left, (step, content)


@pytest.fixture
def few_departed(monkeypatch):
    monkeypatch.setattr(_directory, 'MAX_DEPARTED', 2)


def test_a_full_table_does_not_bring_back_servers_that_are_listed(few_departed):
    directory = Directory()
    for name in NAMES:
        directory.update(make_server(name), 0)
        directory.leaving(f'{name}/1')
    for name in NAMES:
        directory.update(make_server(name, sequence=2), 1)
    assert not directory.usable(SERVICE)
