"""Steps for reading the platform's list of hosts."""

import json

import behave
from dunlintide_adapters import hostlist
from dunlintide_adapters import httpserver


@behave.given('a host list with "{live}" live and "{leaving}" leaving')
def serve_list(context, live, leaving):
    states = {live: 'live', leaving: 'leaving'}
    hosts = [
        {'name': name, 'role': 'entry', 'address': 'h:1', 'state': state}
        for name, state in states.items()
    ]

    def answer(environ, start_response):
        start_response('200 OK', [])
        return [json.dumps({'hosts': hosts}).encode()]

    context.states = states
    context.server = httpserver.HttpServer.from_config(
        answer, '127.0.0.1:0', 1
    )
    context.server.start()
    context.add_cleanup(context.server.stop, 0)
    url = f'http://127.0.0.1:{context.server.port}/hosts'
    context.host_list = hostlist.HostList.from_url(url)


def check_states(context):
    states = {host.name: host.state for host in context.host_list.hosts}
    assert states == context.states, states


@behave.then('reading the host list gives both with their states')
def check_list(context):
    assert context.host_list.poll().is_ok()
    check_states(context)


@behave.when('the host list goes away')
def stop_list(context):
    context.server.stop(0)


@behave.then('reading the host list fails and the last one stays')
def check_last(context):
    assert context.host_list.poll().is_err()
    check_states(context)
