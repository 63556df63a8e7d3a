"""Streams whose answer is complete and brings no event that is new."""

import asyncio
from dataclasses import replace

import pytest

from celerywharf.forwarding._outcomes import Finished, Lost
from celerywharf.forwarding._peer_sends import PeerStreamRelay
from celerywharf.forwarding._relays import Progress, StreamRelay
from celerywharf.forwarding._silence import SilenceDetector
from celerywharf.peers import (
    RELAY_HEADER,
    RelayReport,
    RelayResult,
    write_report,
)
from tests.backends.test_directory import make_server
from tests.forwarding.test_relays import (
    VALID_HEADERS,
    RecordingCaller,
    _make_context,
    _make_request,
)

TOKENS = 30
HEADERS = {
    **VALID_HEADERS,
    RELAY_HEADER: write_report(RelayReport(RelayResult.served)),
}
RELAYS = (StreamRelay, PeerStreamRelay)
EMPTY = ''
REPEATED = ''.join(f'id: {number}\ndata: word\n\n' for number in range(1, 6))


def _relay(kind, progress, tokens):
    request = _make_request()
    headers = replace(request.headers, output_tokens=tokens)
    return kind(
        _make_context(),
        replace(request, headers=headers),
        make_server('e1'),
        RecordingCaller(),
        progress,
        SilenceDetector(0.7, 0),
    )


def _progress(last, written):
    """Return the progress of a stream; ``written`` is of this answer."""
    progress = Progress(last)
    for _ in range(written):
        progress.record_event(0)
    return progress


def _outcome(kind, progress, text=EMPTY, tokens=TOKENS):
    async def run():
        relay = _relay(kind, progress, tokens)
        relay.caller.started = bool(progress.events)
        relay.on_headers(200, HEADERS)
        relay.on_chunk(text.encode())
        relay.on_end(None)
        return relay.done.result(), relay.caller

    return asyncio.run(run())


@pytest.mark.parametrize('kind', RELAYS)
@pytest.mark.parametrize('tokens', [0, TOKENS])
@pytest.mark.parametrize('text', [EMPTY, REPEATED], ids=['empty', 'repeated'])
def test_a_stream_in_progress_is_not_ended_by_an_answer_without_an_event(
    kind, text, tokens
):
    outcome, caller = _outcome(kind, _progress(5, 5), text, tokens)
    assert isinstance(outcome, Lost)
    assert outcome.resumable
    assert not outcome.broken
    assert not caller.text


@pytest.mark.parametrize('kind', RELAYS)
def test_an_end_that_two_engines_leave_open_is_not_asked_of_a_third(kind):
    progress = _progress(5, 5)
    outcomes = [_outcome(kind, progress)[0] for _ in range(2)]
    assert [lost.resumable for lost in outcomes] == [True, False]
    progress.record_event(0)
    assert _outcome(kind, progress)[0].resumable


@pytest.mark.parametrize('kind', RELAYS)
def test_a_stream_that_the_caller_resumed_is_not_ended_by_a_second_engine(kind):
    outcome, _ = _outcome(kind, _progress(8, 3))
    assert isinstance(outcome, Lost)


@pytest.mark.parametrize('kind', RELAYS)
def test_a_stream_with_an_event_for_each_token_needs_no_further_event(kind):
    outcome, _ = _outcome(kind, _progress(TOKENS, TOKENS))
    assert outcome == Finished()


@pytest.mark.parametrize('kind', RELAYS)
@pytest.mark.parametrize('last', [None, 5])
def test_the_only_answer_of_a_stream_may_have_no_event(kind, last):
    outcome, caller = _outcome(kind, _progress(last, 0))
    assert outcome == Finished()
    assert caller.started


@pytest.mark.parametrize('kind', RELAYS)
def test_a_resumed_stream_may_end_after_an_event(kind):
    text = 'id: 6\ndata: word\n\n'
    outcome, caller = _outcome(kind, _progress(5, 5), text)
    assert outcome == Finished()
    assert caller.text == text.encode()
