"""Documents with numbers of more digits than the parser takes."""

import asyncio
import math

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

LONG = '9' * 4301
LONGEST = '9' * 4300
NUMBERS = (LONG, f'-{LONG}', f'{LONG}.5', f'{LONG}e-7', f'{LONG}.5E+7')


def with_number(content, number):
    return content.replace(b'"number"', number.encode())


@pytest.mark.parametrize('number', NUMBERS)
@pytest.mark.parametrize(
    ('changes', 'malformed'),
    [
        ({'routes': [route(priority='number')]}, 1),
        ({'routes': [route(later='number')]}, 0),
        ({'later': ['number']}, 0),
    ],
)
def test_a_long_number_does_not_make_the_whole_configuration_unreadable(
    changes, malformed, number
):
    text = with_number(document(**changes), number)
    configuration = decode_configuration(text)
    assert asyncio.run(decode_large_configuration(text)) == configuration
    assert configuration.malformed_priorities == malformed
    assert configuration.routes == decode_configuration(document()).routes
    assert read_api_keys(text) == {'secret-1'}
    assert configuration_errors(text) == []


@pytest.mark.parametrize('number', NUMBERS)
def test_a_long_number_in_a_required_member_is_an_error_of_that_member(number):
    text = with_number(document(route(timeoutMs='number')), number)
    with pytest.raises(ProtocolError, match='routes.0.timeoutMs'):
        decode_configuration(text)


@pytest.mark.parametrize(
    'number', [f'0{LONG}', f'{LONG}.', f'{LONG}e', f'--{LONG}', f'{LONG} 1']
)
def test_what_is_no_number_stays_malformed(number):
    with pytest.raises(ProtocolError):
        decode_configuration(with_number(document(later='number'), number))


@pytest.mark.parametrize(
    ('text', 'parsed'),
    [
        (f'[-{LONG}, {LONGEST}]', [-math.inf, int(LONGEST)]),
        (f'[{LONG}, 0.{LONG}]', [math.inf, 1]),
        (f'[{LONG}, 1e-{LONG}]', [math.inf, 0]),
        (f'[{LONG}, "{LONG}"]', [math.inf, LONG]),
    ],
)
def test_just_numbers_of_too_many_digits_are_replaced(text, parsed):
    assert parse_json(text.encode()) == parsed
