"""Documents with escapes that stand for no character."""

import asyncio

import pytest

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    configuration_errors,
    decode_configuration,
    decode_large_configuration,
    parse_json,
    read_api_keys,
)
from tests.configuration_checks.documents import document, route

HALVES = (
    r'\ud800',
    r'\uDFFF',
    r'a\udc00\ud800z',
    r'\ud800\ud800\udc00',
    r'\ud800\u0041',
    r'\\\ud800\\',
)


def with_text(content, text):
    return content.replace(b'HOLE', text.encode())


@pytest.mark.parametrize('half', HALVES)
def test_an_api_key_that_is_no_text_does_not_make_the_others_unreadable(half):
    tenants = [{'name': 'shop', 'apiKeys': ['HOLE', 'secret-1']}]
    text = with_text(document(tenants=tenants), half)
    configuration = decode_configuration(text)
    assert asyncio.run(decode_large_configuration(text)) == configuration
    assert configuration.accounts['secret-1'] == 'shop'
    assert read_api_keys(text) == configuration.accounts.keys()
    assert configuration_errors(text) == []


@pytest.mark.parametrize('half', HALVES)
def test_an_api_key_that_is_no_text_matches_no_header(half):
    tenants = [{'name': 'shop', 'apiKeys': ['HOLE']}]
    (key,) = read_api_keys(with_text(document(tenants=tenants), half))
    with pytest.raises(UnicodeEncodeError):
        key.encode('latin-1')


@pytest.mark.parametrize('half', HALVES)
def test_other_members_than_keys_may_be_no_text(half):
    text = with_text(document(route(later='HOLE', HOLE=[])), half)
    assert decode_configuration(text) == decode_configuration(document())


@pytest.mark.parametrize(
    ('text', 'parsed'),
    [
        (r'\ud83d\ude00\udc00', '\U0001f600\ufffd'),
        (r'\\ud800\ud800', f'{chr(92)}ud800\ufffd'),
        (r'\\\ud800\"', f'{chr(92)}\ufffd"'),
        (r'\uD800\ud83d\uDE00', '\ufffd\U0001f600'),
    ],
)
def test_just_the_halves_of_pairs_are_replaced(text, parsed):
    assert parse_json(f'"{text}"'.encode()) == parsed


@pytest.mark.parametrize(
    'text',
    [r'\ud800\u12', r'\ud8zz', r'\ud800\q', r'\ud800"', '\\'],
)
def test_malformed_escapes_stay_malformed(text):
    with pytest.raises(ProtocolError):
        decode_configuration(with_text(document(later='HOLE'), text))
