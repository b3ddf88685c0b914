"""Steps for the stand-in callers of a fleet."""

import socket

import behave
from dunlintide_standins.fleet import callers

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n'


@behave.when('a process ends after {sent:d} of the 9 bytes of its answer')
def answer(context, sent):
    with socket.create_server(('127.0.0.1', 0)) as server:
        caller = callers.Caller(f'127.0.0.1:{server.getsockname()[1]}')
        context.stack.callback(caller.close)
        connection, _ = server.accept()
        with connection:
            connection.sendall(HEAD + b'truncated'[:sent])
    context.answer = caller.read_answer()


@behave.then('its caller has {sent:d} bytes of an answer that is {state}')
def check_answer(context, sent, state):
    assert len(context.answer.body) == sent, context.answer
    assert context.answer.is_complete == (state == 'whole'), context.answer
