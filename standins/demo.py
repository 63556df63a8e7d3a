"""A demonstration of fronts with stand-ins of the users' platform."""

import threading
import time

from standins.fronts import (
    CALL_PATH,
    STREAM_PATH,
    Answer,
    PlatformRig,
    request_headers,
    send,
)
from standins.launching import Fleet

EVENTS = 40
TOKENS = '100,280'
KILL_AFTER_S = 0.5
CONFIGURATION_DELAY_S = 0.5


def print_step(text: str) -> None:
    """Print a step."""
    print(f'\n== {text}', flush=True)


def print_answer(answer: Answer) -> None:
    """Print status, completeness and duration of an answer."""
    end = 'complete' if answer.whole else 'incomplete'
    print(f'status {answer.status}, {end}, {answer.took_s:.2f} s')


def main() -> None:
    """Run the demonstration; end all processes that it started."""
    with Fleet() as fleet:
        print_step('starting a store, two engines, two desks and two fronts')
        rig = PlatformRig(fleet)
        rig.add_server('engine-1', 'narrator', 'north-1')
        rig.add_server('engine-2', 'narrator', 'north-2')
        rig.add_server('desk-1', 'desk')
        rig.add_server('desk-2', 'desk')
        fronts = [rig.add_front(name) for name in ('front-a', 'front-b')]
        print_step(
            f'a stream of {EVENTS} events; its engine is killed meanwhile'
        )
        threading.Timer(KILL_AFTER_S, fleet.kill, ('engine-1',)).start()
        headers = request_headers(Token_Count=TOKENS)
        answer = send(fronts[0], STREAM_PATH, headers=headers)
        print_answer(answer)
        print(f'events {answer.events[0]} to {answer.events[-1]}, each once')
        print_step('a purchase at each front')
        for front in fronts:
            print_answer(send(front, CALL_PATH, headers=request_headers()))
        print_step('the API key is revoked; both fronts refuse it')
        rig.keys.clear()
        rig.configure()
        time.sleep(CONFIGURATION_DELAY_S)
        for front in fronts:
            print_answer(send(front, CALL_PATH, headers=request_headers()))


if __name__ == '__main__':
    main()
