"""Errors of settings name section, key, value and allowed values."""

import configparser
import io

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf import settings
from celerywharf.exceptions import SettingsError

scenarios('settings.feature')

VALID = """
[host]
name = a
region = r1
availability_zone = z1
listen = 127.0.0.1:8100
inner = 127.0.0.1:8200
[keys]
inner = inner-key-of-the-test
operator = operator-key-of-test
[platform]
url = http://127.0.0.1:8000
"""


@given('valid settings', target_fixture='parser')
def _parse_valid():
    settings.loads(VALID)
    parser = configparser.ConfigParser()
    parser.read_string(VALID)
    return parser


@when(
    parsers.parse('[{section}] {key} is set to "{text}"'),
    target_fixture='message',
)
def _load_changed(parser, section, key, text):
    if not parser.has_section(section):
        parser.add_section(section)
    parser.set(section, key, text)
    written = io.StringIO()
    parser.write(written)
    with pytest.raises(SettingsError) as raised:
        settings.loads(written.getvalue())
    return raised.value.message


@when('a file that does not exist is loaded', target_fixture='message')
def _load_absent(tmp_path):
    with pytest.raises(SettingsError) as raised:
        settings.load(tmp_path / 'absent.ini')
    return raised.value.message


@then(parsers.parse('the error names "{first}" and "{second}"'))
def _check_message(message, first, second):
    assert first in message
    assert second in message


@then(parsers.parse('the error does not contain "{text}"'))
def _check_hidden(message, text):
    assert text not in message
