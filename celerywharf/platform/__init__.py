"""Protocol of the users' platform: documents, headers, events, store calls.

No other package depends on the names and formats that the platform uses.
"""

from celerywharf.platform._documents import (
    configuration_errors,
    decode_backend_server,
    decode_configuration,
    decode_large_configuration,
    decode_lease,
    decode_report,
    list_configuration,
    outlives_copy,
    read_api_keys,
)
from celerywharf.platform._eras import Position, StoreEra
from celerywharf.platform._events import Event, EventSplitter
from celerywharf.platform._headers import (
    PROBE_PATH,
    READY_PATH,
    AnswerHeaders,
    EngineAdmission,
    RequestHeaders,
    Resumption,
    read_answer_headers,
    read_request_headers,
    server_headers,
)
from celerywharf.platform._json import parse_json
from celerywharf.platform._leases import (
    LEASE_PATH,
    lease_demand,
    lease_release_path,
)
from celerywharf.platform._peer_headers import peer_headers
from celerywharf.platform._rollouts import (
    MAX_PERIOD_S,
    STATUS_TABLE,
    decode_order,
    encode_status,
    order_key,
    ordered_service,
    status_key,
)
from celerywharf.platform._store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVER_TABLE,
    CallRejectedError,
    HistoryGoneError,
    ReadResult,
    Row,
    RowChange,
    StoreClient,
    TransactionResult,
    WriteResult,
    boot_time_s,
)
from celerywharf.platform._unusable_entries import (
    without_unusable_content,
)

__all__ = (
    'CONFIGURATION_KEY',
    'CONFIGURATION_TABLE',
    'LEASE_PATH',
    'MAX_PERIOD_S',
    'PROBE_PATH',
    'READY_PATH',
    'SERVER_TABLE',
    'STATUS_TABLE',
    'AnswerHeaders',
    'EngineAdmission',
    'Event',
    'EventSplitter',
    'CallRejectedError',
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
    'configuration_errors',
    'decode_backend_server',
    'decode_configuration',
    'decode_large_configuration',
    'decode_lease',
    'decode_order',
    'decode_report',
    'encode_status',
    'lease_demand',
    'lease_release_path',
    'list_configuration',
    'order_key',
    'ordered_service',
    'outlives_copy',
    'parse_json',
    'peer_headers',
    'read_answer_headers',
    'read_api_keys',
    'read_request_headers',
    'server_headers',
    'status_key',
    'without_unusable_content',
)
