"""Protocol of the users' platform: documents, headers, events, store calls.

No other package depends on the names and formats that the platform uses.
"""

from celerywharf.platform._documents import (
    decode_backend_server,
    decode_configuration,
    decode_large_configuration,
    decode_report,
    outlives_copy,
    read_api_keys,
)
from celerywharf.platform._eras import Position, StoreEra
from celerywharf.platform._events import Event, EventSplitter
from celerywharf.platform._headers import (
    PROBE_PATH,
    READY_PATH,
    AnswerHeaders,
    RequestHeaders,
    Resumption,
    read_answer_headers,
    read_request_headers,
    server_headers,
)
from celerywharf.platform._peer_headers import peer_headers
from celerywharf.platform._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    HistoryGoneError,
    ReadResult,
    Row,
    RowChange,
    StoreClient,
    TransactionResult,
    WriteResult,
    boot_time_s,
)

__all__ = (
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'PROBE_PATH',
    'READY_PATH',
    'SERVER_TABLE',
    'AnswerHeaders',
    'Event',
    'EventSplitter',
    'HistoryGoneError',
    'Position',
    'ReadResult',
    'RequestHeaders',
    'Resumption',
    'Row',
    'RowChange',
    'StoreClient',
    'StoreEra',
    'TransactionResult',
    'WriteResult',
    'boot_time_s',
    'decode_backend_server',
    'decode_configuration',
    'decode_large_configuration',
    'decode_report',
    'outlives_copy',
    'read_api_keys',
    'peer_headers',
    'read_answer_headers',
    'read_request_headers',
    'server_headers',
)
