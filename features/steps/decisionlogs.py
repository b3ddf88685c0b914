"""Steps for the decision log."""

import json
import os
import select
from unittest import mock

import behave
from dunlintide_adapters import decisionlog


@behave.given('a decision log whose reader takes some lines at a time')
def make_log(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.log = decisionlog.DecisionLog('h', writer, rate=1000.0)


@behave.when('{count:d} decisions are logged at once and read bit by bit')
def log_burst(context, count):
    context.count = count
    for index in range(count):
        context.log.write('decided', index=index, detail='x' * 400)
    context.writes, context.read = [], b''
    write = os.write

    def record(output, data):
        written = write(output, data)
        context.writes.append(data[:written])
        return written

    with mock.patch.object(os, 'write', record):
        for _ in range(20):
            context.log.flush()
            context.read += os.read(context.reader, 1 << 20)
            if context.read.count(b'\n') == count:
                break


@behave.then('each write is whole lines that a pipe takes in one piece')
def check_writes(context):
    assert len(context.writes) > 1
    for data in context.writes:
        assert len(data) <= select.PIPE_BUF, len(data)
        assert data.endswith(b'\n'), data[-80:]


@behave.then('every decision is read, once and in order')
def check_read(context):
    lines = [json.loads(line) for line in context.read.splitlines()]
    assert [line['index'] for line in lines] == list(range(context.count))
