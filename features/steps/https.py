"""Steps for TLS on the operators' port and the platform's clients."""

import os
from unittest import mock

import behave
from dunlintide_adapters import admin
from dunlintide_adapters import engine
from dunlintide_adapters import hostlist
from dunlintide_adapters import store
import prometheus_client
import urllib3


@behave.given("an operators' port with TLS")
def start_port(context):
    context.admin = admin.AdminServer.from_config(
        '127.0.0.1:0',
        lambda: {'revision': 7},
        lambda: admin.Readiness(()),
        lambda: None,
        prometheus_client.CollectorRegistry(),
        context.secure,
    )
    context.admin.start()
    context.add_cleanup(context.admin.stop)


@behave.then('its state is read over TLS, and not without')
def check_state(context):
    place = f'127.0.0.1:{context.admin.port}/debug/state'
    answer = context.http.request('GET', f'https://{place}')
    assert answer.json() == {'revision': 7}
    try:
        urllib3.request('GET', f'http://{place}', retries=False)
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError('answered without TLS')


def ask_hosts(context):
    client = hostlist.HostList.from_url(f'{context.url}/hosts')
    context.add_cleanup(client.close)
    client.poll()


def ask_store(context):
    client = store.Store.from_url(context.url)
    context.add_cleanup(client.close)
    client.get('/key')


def ask_engine(context):
    client = engine.Engine(context.url, 2.0)
    context.add_cleanup(client.close)
    client.check_health()


ASK = {'host list': ask_hosts, 'store': ask_store, 'engine': ask_engine}


@behave.when('the {client} asks the HTTPS server, whose authority is {named}')
def ask(context, client, named):
    path = context.folder / 'entry-1.authorities.pem'
    known = {'SSL_CERT_FILE': str(path)} if 'SSL' in named else {}
    with mock.patch.dict(os.environ, known):
        ASK[client](context)


@behave.then('the client gets an answer')
def check_answer(context):
    assert context.application.runs == 1, context.application.runs


@behave.then('the client fails and sends none')
def check_none(context):
    assert context.application.runs == 0, context.application.runs
