"""Documents with values that are nested deeper than the parser goes."""

import asyncio
import json
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    Row,
    configuration_errors,
    decode_backend_server,
    decode_configuration,
    decode_large_configuration,
    decode_order,
    decode_report,
    outlives_copy,
    read_api_keys,
)
from celerywharf.platform._json import RUNS_AT_ONCE, TextReducer
from celerywharf.rollouts import RolloutOrder
from tests.configuration_checks.documents import document, route

DEPTHS = (205, 5000, 40_000, 100_000)
SIZES = (1, 600)
PLACES = (
    ('routes', 0, 'priority'),
    ('tenants', 0, 'priority'),
    ('later',),
    ('routes', 0, 'later'),
    ('tenants', 0, 'later'),
    ('services', 0, 'later'),
    ('limits', 'later'),
)
HOLE = '"replaced"'
ENTRY = {
    'service': 'desk',
    'address': '127.0.0.1:9',
    'zone': 'north-1',
    'state': 'ready',
    'slots': 12,
}
REPORT = {'queued': 0, 'running': 1, 'kvUsed': 9, 'kvTotal': 9, 'runs': []}


def lists(depth):
    return ''.join(('[' * depth, ']' * depth))


def objects(depth):
    return ''.join(('{"a": ' * depth, '[]', '}' * depth))


def mixed(depth):
    return ''.join(('[0, {"]}": ' * depth, r'"\"["', '}, {}, "["]' * depth))


def sized(routes):
    """Return a sound configuration."""
    return json.loads(
        document(*(route(f'r-{number}') for number in range(routes)))
    )


def holding(content, text, *places):
    """Return a document with a text as the value of some members."""
    for *outer, name in places:
        holder = content
        for step in outer:
            holder = holder[step]
        holder[name] = json.loads(HOLE)
    return json.dumps(content).replace(HOLE, text).encode()


def both_ways(text):
    """Return a configuration after both ways to decode it agree."""
    configuration = decode_configuration(text)
    assert asyncio.run(decode_large_configuration(text)) == configuration
    return configuration


@pytest.mark.parametrize('routes', SIZES)
@pytest.mark.parametrize('place', PLACES)
@pytest.mark.parametrize('nested', [lists, objects])
@pytest.mark.parametrize('depth', DEPTHS)
def test_a_deep_value_does_not_make_the_whole_configuration_unreadable(
    depth, nested, place, routes
):
    text = holding(sized(routes), nested(depth), place)
    shallow = holding(sized(routes), nested(1), place)
    configuration = both_ways(text)
    assert configuration == decode_configuration(shallow)
    assert configuration.malformed_priorities == place.count('priority')
    assert read_api_keys(text) == {'secret-1'}
    assert configuration_errors(text) == []


def test_a_newer_deep_configuration_outlives_an_older_copy():
    newer = holding({**sized(1), 'version': 8}, lists(5000), ('later',))
    rows = [
        Row('config', content, removed=False, version=1)
        for content in (newer, document())
    ]
    assert outlives_copy(*rows)
    assert not outlives_copy(*reversed(rows))


def test_a_deep_value_with_siblings_at_each_level_is_read():
    text = holding(sized(1), mixed(5000), ('later',))
    assert both_ways(text) == decode_configuration(document(route('r-0')))


def test_values_of_several_members_are_too_deep():
    configuration = both_ways(holding(sized(2), objects(300), *PLACES))
    assert configuration.version == 7
    assert configuration.malformed_priorities == 2


def test_brackets_and_escapes_in_strings_are_no_nesting():
    key = r'\"[{"\\' * 400
    content = {**sized(1), 'tenants': [{'name': 'shop', 'apiKeys': [key]}]}
    text = holding(content, lists(300), ('later',))
    assert read_api_keys(text) == {key}
    assert decode_configuration(text).accounts == {key: 'shop'}


def test_the_last_of_duplicate_members_counts_beside_a_deep_one():
    members = document().decode().removesuffix('}')
    text = f'{members}, "version": {lists(5000)}, "version": 9}}'
    assert decode_configuration(text.encode()).version == 9


@pytest.mark.parametrize(
    'text',
    [
        lists(5000)[:-1],
        f'{lists(5000)}]',
        objects(5000)[:-1],
        f'{lists(5000)[:5000]}"{"]" * 5000}',
        '[' * 100_000,
        ']' * 100_000,
        '"' * 99_999,
        f'{lists(300)} {lists(300)}',
        f'"\x00{lists(300)}"',
    ],
)
def test_a_deep_text_that_is_not_json_stays_malformed(text):
    for content in (text.encode(), holding(sized(1), text, ('later',))):
        with pytest.raises(ProtocolError):
            decode_configuration(content)
        with pytest.raises(ProtocolError):
            asyncio.run(decode_large_configuration(content))
        with pytest.raises(ProtocolError):
            configuration_errors(content)
        assert read_api_keys(content) is None


@pytest.mark.parametrize('depth', DEPTHS)
def test_a_deep_document_of_a_server_is_malformed(depth):
    with pytest.raises(ProtocolError):
        decode_backend_server(
            'i', holding(dict(ENTRY), objects(depth), ('models',))
        )
    with pytest.raises(ProtocolError):
        decode_report(holding(dict(REPORT), objects(depth), ('models',)))


@pytest.mark.parametrize('depth', DEPTHS)
def test_a_deep_unknown_member_does_not_make_an_order_unreadable(depth):
    content = {'service': 'desk', 'to': 'v2', 'periodS': 60}
    text = holding(content, lists(depth), ('later',))
    order = decode_order(Row('rollout/desk', text, removed=False, version=3), 1)
    assert order == RolloutOrder('desk', 'v2', 60, version=3)


@pytest.mark.parametrize('member', ENTRY)
def test_a_deep_member_of_an_entry_is_malformed(member):
    text = holding(dict(ENTRY), lists(5000), (member,))
    with pytest.raises(ProtocolError):
        decode_backend_server('i', text)


def test_other_work_goes_on_while_a_deep_configuration_is_decoded():
    turns = []

    async def work():
        while True:
            turns.append(None)
            await asyncio.sleep(0)

    async def play():
        working = asyncio.ensure_future(work())
        await decode_large_configuration(text)
        working.cancel()

    levels = 10 * RUNS_AT_ONCE
    deep = ''.join(('[[],' * levels, '0', ']' * levels))
    text = holding(sized(1), deep, ('later',))
    asyncio.run(play())
    assert len(turns) > 10


texts = st.text(st.sampled_from(r'[]{}"\,:aé'), max_size=4)
contents = st.recursive(
    st.none() | st.booleans() | st.integers() | texts,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=20,
)


def cut(content, levels):
    """Return a content with containers below some levels replaced."""
    match content:
        case list():
            return (
                [cut(each, levels - 1) for each in content] if levels else None
            )
        case dict():
            if not levels:
                return None
            return {
                name: cut(each, levels - 1) for name, each in content.items()
            }
    return content


@given(contents, st.integers(1, 5), st.integers(1, 4), st.booleans())
def test_just_the_containers_below_the_depth_are_replaced(
    content, depth, runs, is_ascii
):
    text = json.dumps(content, ensure_ascii=is_ascii).encode()
    reducer = TextReducer(text, depth)
    deque(reducer.steps(runs), maxlen=0)
    assert json.loads(reducer.reduced()) == cut(content, depth)
    whole = TextReducer(text, len(text) + 1)
    deque(whole.steps(), maxlen=0)
    assert whole.reduced() == text
