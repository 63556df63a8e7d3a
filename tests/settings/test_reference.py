"""The settings reference is generated from the models and kept current."""

import re
from pathlib import Path

from pytest_bdd import parsers, scenarios, then, when

from celerywharf import settings
from celerywharf.cli._config import reference

scenarios('reference.feature')

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / 'deploy' / 'front.ini.template'
REQUIRED = {
    'name': 'a',
    'region': 'r',
    'availability_zone': 'z',
    'listen': '127.0.0.1:1',
    'inner': '127.0.0.1:2',
    'operator': 'a-key-of-operators',
    'health': '127.0.0.1:4',
    'address': '127.0.0.1:5',
    'url': 'http://127.0.0.1:3',
}


@when('the reference is printed', target_fixture='lines')
def _print_host_reference():
    return list(reference(settings.HostSettings))


@when('the reference of fronts is printed', target_fixture='lines')
def _print_front_reference():
    return list(reference(settings.FrontSettings))


@when('the deployment template is filled in', target_fixture='text')
def _fill_template():
    return _filled(has_rollouts=False)


@when(
    'the deployment template is filled in with bounds of roll-outs',
    target_fixture='text',
)
def _fill_whole_template():
    return _filled(has_rollouts=True)


def _filled(*, has_rollouts):
    text = TEMPLATE.read_text()
    text = re.sub(r'{{#zones}}.*{{/zones}}', '    z=r', text, flags=re.DOTALL)
    values = {
        'nodeName': 'front-a',
        'zone': 'z',
        'listen.front': '127.0.0.1:1',
        'listen.ready': '127.0.0.1:2',
        'ip': '127.0.0.1',
        'platform.address': '127.0.0.1:3',
        'bounds.exposureShare': '0.1',
    }
    if has_rollouts:
        text = re.sub(
            r'{{#([\w.]+)}}(.*?){{/\1}}',
            lambda section: section[2].replace('.', section[1]),
            text,
            flags=re.DOTALL,
        )
    else:
        text = re.sub(r'{{#([\w.]+)}}.*?{{/\1}}', '', text, flags=re.DOTALL)
    return re.sub(
        r'{{([\w.]+)}}', lambda match: values.get(match[1], '7'), text
    )


@then('it loads as settings of a front')
def _check_template_loads(text):
    loaded = settings.loads(text, model=settings.FrontSettings)
    assert loaded.front.availability_zone == 'z'
    assert loaded.zones.regions == {'z': 'r'}
    assert loaded.bounds.grace_s == 7


@then('services are not rolled out by order')
def _check_no_rollouts(text):
    loaded = settings.loads(text, model=settings.FrontSettings)
    assert loaded.bounds.exposure_share is None


@then('services are rolled out within the bounds')
def _check_rollouts(text):
    bounds = settings.loads(text, model=settings.FrontSettings).bounds
    assert str(bounds.exposure_share) == '0.1'
    assert bounds.exposure_slack == 7
    assert bounds.rollback_ms == 7


@then(parsers.parse('it equals {page}'))
def _check_page(lines, page):
    assert (ROOT / page).read_text().splitlines() == lines


@then('it loads once the required keys are filled in')
def _check_host_reference_loads(lines):
    loaded = settings.loads(_fill_required(lines))
    assert loaded.host.name == 'a'


@then('it loads as settings of a front once the required keys are filled in')
def _check_front_reference_loads(lines):
    loaded = settings.loads(_fill_required(lines), model=settings.FrontSettings)
    assert loaded.front.name == 'a'


def _fill_required(lines):
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
    return '\n'.join(filled)
