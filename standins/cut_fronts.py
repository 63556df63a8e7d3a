"""Runs a front whose paths to backend servers can be cut.

Usage:
  cut_fronts front --config FILE

The cut is read from the file next to the settings with the suffix `.cut`: a
JSON object with the addresses in ``servers`` that are out of reach and ``how``:

- ``refuse``: connections are reset, new ones are refused;
- ``hang``: connections and connects fall silent;
- ``live``: connections live on, new ones are refused.

The front copies the content to the suffix `.applied` when the cut is in force.
"""

import json
import socket
from dataclasses import dataclass, replace
from pathlib import Path
from urllib.parse import urlsplit

from docopt import docopt

from celerywharf.adapters import CurlTransport
from celerywharf.exceptions import TransportError
from celerywharf.fronts import _front, serve_front

CHECK_PERIOD_S = 0.02
FILLERS = 4  # connections that fill the queue of a listener that accepts none


@dataclass(frozen=True, slots=True)
class Cut:
    """What is out of reach; nothing if there are no servers."""

    how: str = ''
    servers: frozenset[str] = frozenset()


class CuttableTransport(CurlTransport):
    """A transport that applies the cut to the connections of this process."""

    path = Path()

    def __init__(self) -> None:
        super().__init__()
        self.cut = Cut()
        self.content = ''
        closed = socket.socket()
        closed.bind(('127.0.0.1', 0))  # bound and not listening: it refuses
        silent = socket.socket()
        silent.bind(('127.0.0.1', 0))
        silent.listen(0)
        fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(silent.getsockname())
        self.sockets = [closed, silent, *fillers]
        self.loop.call_later(CHECK_PERIOD_S, self._follow)

    def stream(self, request, sink):
        """Send a request, to a dead address if its server is out of reach."""
        if urlsplit(request.url).netloc in self.cut.servers:
            dead = self.sockets[self.cut.how == 'hang'].getsockname()
            request = replace(request, url=f'http://{dead[0]}:{dead[1]}/')
        return super().stream(request, sink)

    def _follow(self) -> None:
        self.loop.call_later(CHECK_PERIOD_S, self._follow)
        content = self.path.read_text() if self.path.exists() else ''
        if content == self.content:
            return
        self.content = content
        self._apply(json.loads(content))
        applied = self.path.with_suffix('.applied')
        whole = applied.with_suffix('.applying')
        whole.write_text(content)
        whole.replace(applied)

    def _apply(self, fields) -> None:
        previous = self.cut
        cut = Cut(fields['how'], frozenset(fields['servers']))
        self.cut = cut
        for transfer in tuple(self.transfers.values()):
            address = urlsplit(transfer.request.url).netloc
            if address in cut.servers:
                self._break_off(transfer)
            elif address in previous.servers and previous.how == 'hang':
                transfer.resume()

    def _break_off(self, transfer) -> None:
        if self.cut.how == 'hang':
            transfer.pause()
        elif self.cut.how == 'refuse':
            transfer.cancel()
            transfer.sink.on_end(TransportError('connection reset'))


def main() -> None:
    """Run the front."""
    config = Path(docopt(__doc__)['FILE'])
    CuttableTransport.path = config.with_suffix('.cut')
    _front.CurlTransport = CuttableTransport
    serve_front(config)


if __name__ == '__main__':
    main()
