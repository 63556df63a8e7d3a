"""What a front loads into its memory."""

import subprocess
import sys

ENTRY_HOST_PACKAGES = (
    'admissions',
    'applications',
    'edge',
    'generations',
    'hosts',
    'membership',
    'operators',
    'orders',
    'tables',
    'usage',
)
LIST_MODULES = 'import celerywharf.fronts, sys; print(*sys.modules)'


def test_a_front_loads_no_part_of_an_entry_host():
    listed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    unwanted = {f'celerywharf.{name}' for name in ENTRY_HOST_PACKAGES}
    assert not unwanted & set(listed)
