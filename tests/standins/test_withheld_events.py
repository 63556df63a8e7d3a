"""A backend server that withholds events of a stream for a moment."""

import threading
import time

from standins.fronts import STREAM_PATH, request_headers, send


def test_a_stream_whose_events_were_withheld_does_not_end_as_complete(fleet):
    address = fleet.start_model_server('e1').address
    fleet.control('e1', silent=True, event_ms=50)
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(
            send(
                address,
                STREAM_PATH,
                headers=request_headers(Token_Count='10,56'),
            )
        )
    )
    caller.start()
    time.sleep(0.5)
    fleet.control('e1', silent=False)
    caller.join()
    assert not answers[0].whole
    assert fleet.record('e1')['runs'][0]['state'] == 'broken'


def test_a_stream_whose_first_events_were_withheld_is_broken_off(fleet):
    address = fleet.start_model_server('e1').address
    fleet.control('e1', silent=True, event_ms=100)
    timer = threading.Timer(0.3, fleet.control, ('e1',), {'silent': False})
    timer.start()
    answer = send(
        address, STREAM_PATH, headers=request_headers(Token_Count='10,56')
    )
    timer.join()
    assert not answer.whole
