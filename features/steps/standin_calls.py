"""HTTP calls to stand-ins, for the steps that test them."""

import json

import urllib3
import waiting

WAIT_SECONDS = 20.0
wait_until = waiting.make_wait(WAIT_SECONDS)
HTTP = urllib3.PoolManager(
    retries=False, timeout=urllib3.Timeout(WAIT_SECONDS)
)


def start(context, standin):
    standin.start()
    context.stack.callback(standin.stop)
    return standin


def call(standin, method, path, data=None, **options):
    url = f'http://127.0.0.1:{standin.port}{path}'
    body = None if data is None else json.dumps(data)
    return HTTP.request(method, url, body=body, **options)


def post(standin, path, data):
    answer = call(standin, 'POST', path, data)
    assert answer.status == 200, answer.data
    return answer.json()


def expect_no_answer(*arguments):
    try:
        answer = call(*arguments)
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError(f'answered {answer.status}')
