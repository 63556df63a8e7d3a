"""Records of engines whose runs begin at any time."""

import json
from pathlib import Path

from standins import launching


def test_a_run_that_begins_while_the_record_is_read_is_not_rebuilt(
    fleet, monkeypatch
):
    engine = fleet.start_engine('e1')
    start = {'nonce': 1, 'prefix': [], 'max_tokens': 2}
    line = json.dumps(start)
    path = Path(engine.record_path)
    call = launching.call

    def call_then_begin(*arguments):
        answer = call(*arguments)
        with path.open('a') as records:
            records.write(f'{line}\n')
        return answer

    monkeypatch.setattr(launching, 'call', call_then_begin)
    assert fleet.record('e1')['runs'] == []
