"""Fields of which an application's answer has several lines."""

from types import SimpleNamespace

from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine
from tornado.web import Application

from celerywharf.adapters.applications import Answer
from celerywharf.applications._handlers import ApplicationHandler

COOKIES = ['a=1', 'b=2']


def test_all_cookies_of_an_application_reach_the_caller():
    connection = SimpleNamespace(set_close_callback=id)
    start_line = RequestStartLine('GET', '/', 'HTTP/1.1')
    headers = HTTPHeaders({'Host': 'a'})
    request = HTTPServerRequest(
        headers=headers, connection=connection, start_line=start_line
    )
    handler = ApplicationHandler(Application(), request, host=None)
    answer = Answer(200, {'set-cookie': '\n'.join(COOKIES)}, b'')
    handler._write_answer(answer)
    assert handler._headers.get_list('Set-Cookie') == COOKIES
