"""Steps for what members leave to each other."""

from concurrent import futures
import threading
import time

import behave
from dunlintide_adapters import httpserver
import urllib3

WAIT_SECONDS = 20.0


class Grouped:
    """Holds the requests that may run, by group, until it is released."""

    def __init__(self):
        self.release = threading.Event()
        self.running = threading.Semaphore(0)

    def __call__(self, environ, start_response):
        if not environ[httpserver.JOIN](environ['PATH_INFO']):
            start_response('429 Too Many Requests', [])
            return [b'']
        start_response('200 OK', [])
        self.running.release()
        self.release.wait(WAIT_SECONDS)
        return [b'']


@behave.given(
    'an HTTP server of {threads:d} threads whose requests name their groups'
)
def serve_groups(context, threads):
    context.grouped = Grouped()
    pool = context.stack.enter_context(futures.ThreadPoolExecutor(threads))
    server = httpserver.HttpServer.from_config(
        context.grouped, '127.0.0.1:0', threads
    )
    server.start()
    context.stack.callback(server.stop, 0)
    context.stack.callback(context.grouped.release.set)
    http = context.stack.enter_context(urllib3.PoolManager(maxsize=threads))
    url = f'http://127.0.0.1:{server.port}'
    context.send_grouped = lambda group: pool.submit(
        http.request, 'GET', f'{url}/{group}', retries=False
    )
    context.grouped_server = server
    context.held = []


def wait_until(condition):
    """Wait until the condition holds, or fail."""
    end = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, 'condition not met in time'
        time.sleep(0.01)


def open_request(context, group):
    """Send one; true when it runs, false when it was refused."""
    running = [one for one in context.held if not one.done()]
    wait_until(lambda: context.grouped_server.in_flight == len(running))
    sent = context.send_grouped(group)
    while not sent.done():
        if context.grouped.running.acquire(timeout=0.02):
            context.held.append(sent)
            return True
    assert sent.result().status == 429, sent.result().status
    return False


@behave.when('{count:d} requests of group "{group}" are open')
def open_requests(context, count, group):
    context.ran = [open_request(context, group) for _ in range(count)]


@behave.then(
    '{count:d} of them run and the others are refused by the ' 'application'
)
def check_ran(context, count):
    expected = [number < count for number in range(len(context.ran))]
    assert context.ran == expected, context.ran


@behave.when('a request of group "{group}" is sent')
def send_one(context, group):
    context.beside = open_request(context, group)


@behave.then('it runs beside them')
def check_beside(context):
    assert context.beside


@behave.when('all of them have ended')
def end_all(context):
    context.grouped.release.set()
    for sent in context.held:
        assert sent.result(WAIT_SECONDS).status == 200


@behave.then('no group holds a thread')
def check_free(context):
    context.grouped.release.clear()
    open_requests(context, 20, 'other')
    check_ran(context, 8)
