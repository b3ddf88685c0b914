"""Steps for log formatting and for the redaction of API keys."""

import io
import json
import sys
from unittest import mock

from absl import logging
import behave
from dunlintide_adapters import logs

KEY = 'sk-k3y_0f.a+team=='


@behave.given('logs in the format "{name}"')
def configure_logs(context, name):
    context.format = name
    context.stream = io.StringIO()
    with mock.patch.object(sys, 'stderr', context.stream):
        logs.configure('entry-1', 'entry', 'austin-a', format=name)
    logs.mask_keys(KEY.__eq__)
    context.add_cleanup(logs.mask_keys, None)
    context.add_cleanup(logs.configure, 'test', 'test', 'test', 'fatal')


@behave.when('a key is logged in each way that a key can slip in')
def log_key(context):
    logging.info('Authorization: Bearer %s', KEY)
    logging.info('got %s', {'Authorization': f'Bearer {KEY}'})
    logging.info('got %s', [('authorization', f'Basic {KEY}')])
    logging.info('token is bearer %s!', KEY)
    logging.info('bare %s here', KEY)
    logging.info('extra', extra={'headers': {'AUTHORIZATION': KEY}})
    try:
        raise ValueError(f'"Authorization": "{KEY}"')
    except ValueError:
        logging.exception('failed')


@behave.then('each log line names the process and none holds the key')
def check_lines(context):
    text = context.stream.getvalue()
    assert KEY not in text, text
    assert text.count(logs.MASK) >= 6, text
    lines = [line for line in text.splitlines() if 'entry-1' in line]
    assert len(lines) == 7, text
    for line in lines:
        assert 'austin-a' in line, line
        if context.format == 'json':
            assert json.loads(line)['failure_domain'] == 'austin-a'
