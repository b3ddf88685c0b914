"""Steps for the admin server's HTTP endpoints."""

import threading

import behave
from dunlintide_adapters import admin
from dunlintide_adapters import metrics
import prometheus_client
import urllib3

WAIT_SECONDS = 20.0


@behave.given("an operators' port whose process is not ready for \"{reason}\"")
def start_port(context, reason):
    registry = prometheus_client.CollectorRegistry()
    entry_metrics = metrics.Metrics.from_registry(registry, 'entry')
    entry_metrics.config_revision.set(7)
    context.drained = threading.Event()
    context.admin = admin.AdminServer.from_config(
        '127.0.0.1:0',
        lambda: {'revision': 7},
        lambda: admin.Readiness((reason,)),
        context.drained.set,
        registry,
    )
    context.admin.start()
    context.add_cleanup(context.admin.stop)


def request(context, method, path):
    url = f'http://127.0.0.1:{context.admin.port}{path}'
    return urllib3.request(method, url, retries=False)


@behave.then('asking it for "{path}" gives {status:d} with "{text}"')
def check_page(context, path, status, text):
    answer = request(context, 'GET', path)
    assert answer.status == status, answer.status
    shown = answer.data.decode() + answer.headers['Content-Type']
    assert text in shown, shown


@behave.then('telling it to drain gives {status:d} and begins the drain')
def check_drain(context, status):
    assert request(context, 'POST', '/drain').status == status
    assert context.drained.wait(WAIT_SECONDS)
