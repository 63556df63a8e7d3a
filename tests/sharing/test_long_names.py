"""Names as long as the entry of a server may have, in messages and rows."""

import json

from celerywharf.limits import LimitStatement
from celerywharf.origins import StreamOrigin
from celerywharf.platform import Row, decode_backend_server
from celerywharf.quarantine import Loss, LossRecord
from celerywharf.sharing import _limit_messages, _origin_messages
from celerywharf.sharing._quarantine_rows import (
    decode_record,
    encode_record,
    from_state,
    to_state,
)
from celerywharf.units import MAX_EXACT_INTEGER
from celerywharf.wire.origins import OriginAnswer

ENTRY = {
    'service': 's' * 200,
    'address': '127.0.0.1:1',
    'zone': 'z' * 200,
    'version': 'v' * 200,
    'state': 'ready',
    'slots': 1,
    'born': MAX_EXACT_INTEGER,
}
SERVER = decode_backend_server('i' * 200, json.dumps(ENTRY).encode())


def test_the_limit_of_a_server_with_a_long_name_is_granted():
    statement = LimitStatement(
        SERVER.incarnation, SERVER.availability_zone, 5, 1
    )
    message = _limit_messages.to_message(statement)
    assert _limit_messages.from_message(message) == statement


def test_the_loss_of_a_server_with_a_long_name_is_shared():
    loss = Loss(1, SERVER.incarnation, SERVER.availability_zone, begun=True)
    record = LossRecord('part', 1, (loss,))
    assert from_state(to_state(record)) == record
    row = Row('part', encode_record(record), removed=False, version=1)
    assert decode_record(row) == record


def test_a_stream_of_a_service_with_a_long_name_is_shared():
    origin = StreamOrigin('r1', SERVER.service, SERVER.software_version, 30)
    entry = _origin_messages.to_entry(origin, 0)
    assert _origin_messages.from_entry(entry, 0) == origin
    answer = OriginAnswer([], [SERVER.software_version, 'v2'])
    known = _origin_messages.to_knowledge(answer, 0)
    assert known.versions == {SERVER.software_version, 'v2'}
