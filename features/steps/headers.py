"""Steps for headers that the router does not forward."""

import behave
from dunlintide_adapters import hopheaders
from dunlintide_daemon.entry import headers


def pass_on(name):
    variable = 'HTTP_' + name.upper().replace('-', '_')
    passed = headers.read_request_headers({variable: 'x'})
    return {each.lower() for each, _ in passed}


@behave.when('a caller of a service sends the header "{name}"')
def send_header(context, name):
    context.name = name.lower()
    context.passed = pass_on(name)


@behave.then('it is not among the headers that go on')
def check_dropped(context):
    assert context.name not in context.passed, context.passed


@behave.then('it is among the headers that go on')
def check_passed(context):
    assert context.name in context.passed, context.passed


@behave.then(
    'each header of one connection is dropped on the way to a service'
)
def check_connection_headers(context):
    # The entry's own HTTP server consumes the proxy authentication headers.
    for name in hopheaders.HOP_BY_HOP - {'proxy-authenticate'}:
        assert not pass_on(name), name
