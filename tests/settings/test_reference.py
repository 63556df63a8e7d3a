"""The reference is made from the checked models and stays current."""

from pathlib import Path

from pytest_bdd import scenarios, then, when

from celerywharf import settings
from celerywharf.cli._config import reference

scenarios('reference.feature')

PAGE = Path(__file__).parents[2] / 'docs' / 'settings.ini'
REQUIRED = {
    'name': 'a',
    'region': 'r',
    'availability_zone': 'z',
    'listen': '127.0.0.1:1',
    'inner': '127.0.0.1:2',
    'operator': 'a-key-of-operators',
    'url': 'http://127.0.0.1:3',
}


@when('the reference is printed', target_fixture='lines')
def _printed():
    return list(reference())


@then('it equals docs/settings.ini')
def _current(lines):
    assert PAGE.read_text().splitlines() == lines


@then('it loads once the required keys are filled in')
def _loads(lines):
    section = ''
    filled = []
    for line in lines:
        section = line if line.startswith('[') else section
        name, found, _ = line.partition(' =')
        if found and name in REQUIRED:
            value = REQUIRED[name]
            if section == '[keys]':
                value = f'{value}-{name}-key-for-tests'
            line = f'{name} = {value}'
        filled.append(line)
    loaded = settings.loads('\n'.join(filled))
    assert loaded.host.name == 'a'
