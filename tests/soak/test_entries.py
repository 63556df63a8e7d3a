"""Documents that a soak writes to the store."""

import json
from random import Random

import pytest

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import decode_backend_server
from soak.entries import (
    MAX_ENTRY_BYTES,
    EnlargeEntries,
    MalformPriority,
    draw_entries,
    draw_writing,
)
from soak.writers import WritingRig

ROW_BYTES = 65536
SEEDS = 40


def test_entries_of_another_writer_fit_a_row_and_name_no_server():
    for seed in range(SEEDS):
        for text in draw_entries(draw_writing(Random(seed))).values():
            assert len(text) <= ROW_BYTES
            with pytest.raises(ProtocolError):
                decode_backend_server('x1', text.encode())


def test_an_enlarged_entry_names_its_server(fleet):
    rig = WritingRig(fleet)
    rig.add_server('d1', 'desk')
    rig.enlarge_entries(EnlargeEntries(MAX_ENTRY_BYTES))
    entry = rig.content('servers', 'd1')
    assert len(entry['notes']) == MAX_ENTRY_BYTES
    server = decode_backend_server('d1', json.dumps(entry).encode())
    assert server.service == 'desk'


def test_a_configuration_gets_a_malformed_priority(fleet):
    rig = WritingRig(fleet)
    rig.malform_priority(MalformPriority('tenants', 'list', with_key=True))
    assert rig.content('op', 'config')['tenants'] == [
        {'name': 'lakeshore', 'apiKeys': rig.keys[-1:], 'priority': [1]}
    ]
