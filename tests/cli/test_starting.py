"""The command line before and while a command is imported."""

import signal
import subprocess
import sys
import types

import pytest

from celerywharf.cli import _main

HOSTS_PACKAGE = 'celerywharf.hosts'


@pytest.fixture
def sighup_handler():
    before = signal.getsignal(signal.SIGHUP)
    yield before
    signal.signal(signal.SIGHUP, before)


def record_handler_on_import(monkeypatch, handlers):
    def import_module(_name):
        handlers.append(signal.getsignal(signal.SIGHUP))
        return types.SimpleNamespace(run=lambda _argv: 0)

    monkeypatch.setattr(_main.importlib, 'import_module', import_module)


def test_a_front_ignores_sighup_before_it_is_imported(
    monkeypatch, sighup_handler
):
    handlers = []
    record_handler_on_import(monkeypatch, handlers)
    assert _main.main(['front', '--config', 'x.ini']) == 0
    assert handlers == [signal.SIG_IGN]


def test_other_commands_keep_the_sighup_handler(monkeypatch, sighup_handler):
    handlers = []
    record_handler_on_import(monkeypatch, handlers)
    assert _main.main(['status']) == 0
    assert handlers == [sighup_handler]


def test_a_front_imports_no_module_of_an_entry_host():
    code = (
        'import sys, celerywharf.cli._front as f; '
        f'sys.exit(any(n.startswith("{HOSTS_PACKAGE}") for n in sys.modules))'
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0


def test_all_public_names_can_be_imported():
    code = 'import celerywharf; from celerywharf import *; celerywharf.Host'
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
