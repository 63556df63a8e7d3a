"""Ports for the processes of tests."""

import socket
import subprocess
import sys
from pathlib import Path

from standins.launching import find_free_port
from standins.processes import ROOT

EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


def test_a_free_port_is_none_that_outgoing_connections_use():
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    assert all(find_free_port() < first_ephemeral for _ in range(50))


def test_two_runs_are_given_different_ports():
    chosen = {find_free_port() for _ in range(200)}
    command = (
        'from standins import launching;'
        f'launching.FIRST_PORT, launching.LAST_PORT = {min(chosen)}, '
        f'{max(chosen) + 1};'
        'print(*(launching.find_free_port() for _ in range(200)))'
    )
    printed = subprocess.check_output(
        [sys.executable, '-c', command], cwd=ROOT, text=True
    )
    assert not chosen.intersection(map(int, printed.split()))


def test_a_run_is_not_given_a_port_twice_before_it_is_used():
    command = (
        'from standins import launching;'
        'launching.LAST_PORT = launching.FIRST_PORT + 1000;'
        'print(*(launching.find_free_port() for _ in range(100)))'
    )
    printed = subprocess.check_output(
        [sys.executable, '-c', command], cwd=ROOT, text=True
    )
    ports = printed.split()
    assert len(set(ports)) == len(ports)


def test_a_port_in_use_is_not_returned():
    ports = set()
    held = []
    for _ in range(50):
        port = find_free_port()
        server = socket.create_server(('127.0.0.1', port))
        held.append(server)
        assert port not in ports
        ports.add(port)
    for server in held:
        server.close()
