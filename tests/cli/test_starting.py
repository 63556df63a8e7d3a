"""What happens before a command is loaded."""

import signal
import subprocess
import sys
import types

import pytest

from celerywharf.cli import _main

ENTRY_HOST = 'celerywharf.hosts'


@pytest.fixture
def handler():
    before = signal.getsignal(signal.SIGHUP)
    yield before
    signal.signal(signal.SIGHUP, before)


def load_and_note(monkeypatch, noted):
    def load(_name):
        noted.append(signal.getsignal(signal.SIGHUP))
        return types.SimpleNamespace(run=lambda _words: 0)

    monkeypatch.setattr(_main.importlib, 'import_module', load)


def test_a_front_ignores_hangups_before_it_loads(monkeypatch, handler):
    noted = []
    load_and_note(monkeypatch, noted)
    assert _main.main(['front', '--config', 'x.ini']) == 0
    assert noted == [signal.SIG_IGN]


def test_other_commands_end_with_their_terminal(monkeypatch, handler):
    noted = []
    load_and_note(monkeypatch, noted)
    assert _main.main(['status']) == 0
    assert noted == [handler]


def test_a_front_loads_no_part_of_an_entry_host():
    code = (
        'import sys, celerywharf.cli._front as f; '
        f'sys.exit(any(n.startswith("{ENTRY_HOST}") for n in sys.modules))'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0


def test_the_flat_surface_is_whole():
    code = 'import celerywharf; from celerywharf import *; celerywharf.Host'
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
