"""The command that checks a configuration."""

import json

import pytest

from celerywharf.cli import main
from tests.configuration_checks.documents import document, route


@pytest.mark.parametrize(
    ('new', 'code'),
    [
        (document(version=8), 0),
        (document(route(service='gone'), version=8), 1),
        (b'[]', 1),
    ],
)
def test_problems_set_the_exit_code(new, code, tmp_path, capsys):
    paths = [tmp_path / 'new.json', tmp_path / 'current.json']
    paths[0].write_bytes(new)
    paths[1].write_bytes(document())

    found = main(
        ['config', 'check-routes', str(paths[0]), f'--against={paths[1]}']
    )

    assert found == code
    assert capsys.readouterr().out


@pytest.mark.parametrize('content', [b'', b'{', b'\xff'])
def test_what_is_not_json_cannot_be_read(content, tmp_path, capsys):
    path = tmp_path / 'new.json'
    path.write_bytes(content)

    found = main(['config', 'check-routes', str(path)])

    assert found == 2
    assert 'JSON' in capsys.readouterr().err


def test_findings_are_printed_as_json(tmp_path, capsys):
    path = tmp_path / 'new.json'
    path.write_bytes(document(route(service='gone')))

    main(['config', 'check-routes', str(path), '--json'])

    printed = json.loads(capsys.readouterr().out)
    assert {record['code'] for record in printed} == {
        'unknown_service',
        'service_without_route',
    }


def test_a_version_in_force_that_cannot_be_read_is_no_finding(tmp_path, capsys):
    paths = [tmp_path / 'new.json', tmp_path / 'current.json']
    paths[0].write_bytes(document())
    paths[1].write_bytes(b'{')

    found = main(
        ['config', 'check-routes', str(paths[0]), f'--against={paths[1]}']
    )

    assert found == 2
    assert 'malformed' not in capsys.readouterr().out
