"""Documents and headers of other writers, with anything in them."""

import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerywharf.backends import ServerLoad
from celerywharf.exceptions import ProtocolError
from celerywharf.peers import RELAY_HEADER, read_report
from celerywharf.platform import (
    Row,
    decode_backend_server,
    decode_configuration,
    decode_report,
    read_answer_headers,
    read_request_headers,
)
from celerywharf.sharing._entries import decode_reader
from celerywharf.sharing._origin_rows import decode_versions
from celerywharf.sharing._quarantine_rows import decode_record
from celerywharf.structures import Address

NAME = 'i-7f3a91c2'
ENTRY = {
    'service': 'narrator',
    'address': '10.1.2.3:8000',
    'zone': 'north-1',
    'state': 'ready',
    'slots': 12,
    'seq': 3,
    'born': 1_796_444_103_282,
    'coldLeftMs': 0.5,
    'version': 4,
}
REPORT = {'queued': 0, 'running': 1, 'kvUsed': 9, 'kvTotal': 9, 'runs': [[]]}
READER = {'host': 'f1', 'address': '10.1.2.3:1', 'key': '00', 'settled_era': 1}
MAX_EXAMPLES = 500

texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(
        ('10.1.2.3:99999', '10.1.2.3:-1', '\x00:1', 'é:1', 'a@10.1.2.3:1')
    ),
)
numbers = st.one_of(
    st.integers(-10, 10),
    st.integers(-(10**400), 10**400),
    st.floats(),
)
contents = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, texts),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3)
    ),
    max_leaves=6,
)


def documents(sound):
    """Return a strategy for documents with some fields replaced."""
    changes = st.dictionaries(
        st.sampled_from(tuple(sound)), contents, max_size=3
    )
    return st.one_of(
        changes.map(lambda fields: json.dumps({**sound, **fields}).encode()),
        contents.map(lambda content: json.dumps(content).encode()),
        st.binary(max_size=40),
    )


def headers_of(names):
    """Return a strategy for header values, as decoded from Latin-1."""
    values = st.one_of(
        st.text(st.characters(max_codepoint=255), max_size=30),
        numbers.map(str),
        st.lists(numbers.map(str), min_size=2, max_size=3).map(','.join),
    )
    return st.dictionaries(st.sampled_from(names), values)


@given(name=texts | st.just(NAME), text=documents(ENTRY))
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_an_entry_names_a_usable_server_or_is_malformed(name, text):
    try:
        server = decode_backend_server(name, text)
    except ProtocolError as error:
        assert len(error.message) < 2000
        return
    assert server.name.isascii()
    assert server.name.isprintable()
    assert str(server.address).isascii()
    assert Address.parse(str(server.address)) == server.address
    assert 0 <= server.address.port < 65536
    assert 0 < server.slots < 10**7
    assert 0 <= server.warm_up_left_s < math.inf
    assert len(server.software_version + server.availability_zone) < 500


def test_a_sound_entry_is_decoded():
    server = decode_backend_server(NAME, json.dumps(ENTRY).encode())
    assert server.address == Address('10.1.2.3', 8000)
    assert server.software_version == '4'


@pytest.mark.parametrize(
    'text',
    [
        '10.1.2.3:99999',
        '10.1.2.3:-1',
        '10.1.2.3: 80',
        '10.1.2.3:80\r\n',
        '10.1.2.3:٨٠',
        '10.1.2.3:',
        '10.1.2.3',
        '1.2.3:80',
        'a@10.1.2.3:80',
        'engine.example:80',
        '10.1.2.3\x00:80',
        '::1:80',
        '[::1%lo]:80',
        '',
    ],
)
def test_a_malformed_address_is_not_parsed(text):
    with pytest.raises(ValueError, match='.'):
        Address.parse(text)


@pytest.mark.parametrize('text', ['10.1.2.3:80', '[::1]:65535'])
def test_an_address_is_parsed(text):
    assert str(Address.parse(text)) == text


@given(text=documents(REPORT))
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_a_report_states_a_load_or_is_malformed(text):
    try:
        report = decode_report(text)
    except ProtocolError:
        return
    assert 0 <= report.running / max(report.capacity_tokens, 1) < math.inf


@given(text=contents.map(lambda content: json.dumps(content).encode()))
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_a_configuration_is_complete_or_malformed(text):
    with pytest.raises(ProtocolError):
        decode_configuration(text)


@given(text=documents(READER))
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_rows_of_other_hosts_are_decoded_or_left_out(text):
    row = Row('k', text, removed=False, version=1)
    reader = decode_reader(row)
    assert reader is None or str(reader.address).isascii()
    decode_versions(text)
    decode_record(row)


@given(text=st.one_of(st.text(), contents.map(json.dumps)))
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_reports_on_passed_on_requests_are_decoded_or_left_out(text):
    read_report({RELAY_HEADER: text})


@given(
    headers=headers_of(
        (
            'engine-load',
            'server-limit',
            'server-brittle',
            'server-leaving',
            'retry-after',
            'not-run',
            'attempt-id',
            'connection',
        )
    )
)
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_headers_of_an_answer_state_finite_numbers(headers):
    answer = read_answer_headers(headers)
    load = answer.load or ServerLoad(0, 0, 1)
    assert load.pace is None or 0 < load.pace < math.inf
    assert load.slots is None or load.slots > 0
    for number in (
        load.running,
        load.waiting,
        load.slots,
        answer.limit_per_s,
        answer.pause_s,
        answer.refusals_per_s,
    ):
        assert number is None or 0 <= number < math.inf


@given(
    headers=headers_of(
        (
            'Token-Count',
            'Deadline-Ms',
            'Last-Event-Id',
            'Prompt-Prefix',
            'Authorization',
        )
    )
)
@settings(max_examples=MAX_EXAMPLES, deadline=None)
def test_headers_of_a_request_state_numbers_or_are_malformed(headers):
    try:
        request = read_request_headers(headers.items())
    except ValueError:
        return
    total = request.prompt_tokens + request.output_tokens
    assert 0 <= total / 3 < math.inf
