"""A tour of fronts on stand-ins of the users' platform."""

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
SETTLED_S = 0.5


def say(text: str) -> None:
    """Print a step."""
    print(f'\n== {text}', flush=True)


def show(answer: Answer) -> None:
    """Print what a caller got."""
    end = 'whole' if answer.whole else 'broken'
    print(f'status {answer.status}, {end}, {answer.took_s:.2f} s')


def main() -> None:
    """Run the tour; end what it started."""
    with Fleet() as fleet:
        say('starting a store, two engines, two desks and two fronts')
        rig = PlatformRig(fleet)
        rig.add_server('engine-1', 'narrator', 'north-1')
        rig.add_server('engine-2', 'narrator', 'north-2')
        rig.add_server('desk-1', 'desk')
        rig.add_server('desk-2', 'desk')
        fronts = [rig.add_front(name) for name in ('front-a', 'front-b')]
        say(f'a stream of {EVENTS} events; its engine is killed on the way')
        threading.Timer(KILL_AFTER_S, fleet.kill, ('engine-1',)).start()
        headers = request_headers(Token_Count=TOKENS)
        answer = send(fronts[0], STREAM_PATH, headers=headers)
        show(answer)
        print(f'events {answer.events[0]} to {answer.events[-1]}, each once')
        say('a purchase at each front')
        for front in fronts:
            show(send(front, CALL_PATH, headers=request_headers()))
        say('the key is taken away; both fronts refuse it')
        rig.keys.clear()
        rig.configure()
        time.sleep(SETTLED_S)
        for front in fronts:
            show(send(front, CALL_PATH, headers=request_headers()))


if __name__ == '__main__':
    main()
