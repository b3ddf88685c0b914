"""Operations on keys: range, put, delete and transactions.

Each takes a decoded message and returns the body of the response. The
caller must hold ``state.changed``.
"""

import operator
from typing import Any

from result import Err
from result import Ok
from result import Result

from dunlintide_standins.store import messages
from dunlintide_standins.store import state as states

__all__ = [
    'check',
    'delete',
    'describe',
    'header',
    'put',
    'read',
    'run_txn',
]

MAX_VALUE_BYTES = 1_000_000
TOO_LARGE = 'etcdserver: request is too large'
NO_KEY = 'etcdserver: key is not provided'

_COMPARE = {
    'EQUAL': operator.eq,
    'GREATER': operator.gt,
    'LESS': operator.lt,
    'NOT_EQUAL': operator.ne,
}
_TARGET = {
    'VERSION': 'version',
    'CREATE': 'create_revision',
    'MOD': 'mod_revision',
    'VALUE': 'value',
}

Body = dict[str, Any]


def header(state: states.State) -> Body:
    """Build the header of a response."""
    return {
        'cluster_id': '1',
        'member_id': '1',
        'revision': str(state.revision),
        'raft_term': '1',
    }


def describe(pair: states.KeyValue) -> Body:
    """Build the JSON form of a key, which omits zero fields."""
    body: Body = {'key': pair.key}
    numbers = {
        'create_revision': pair.create_revision,
        'mod_revision': pair.mod_revision,
        'version': pair.version,
        'lease': pair.lease,
    }
    body |= {name: str(number) for name, number in numbers.items() if number}
    if pair.value:
        body['value'] = pair.value
    return body


def read(state: states.State, call: messages.Range) -> Body:
    """Read a range."""
    found = state.find(call.key, call.range_end)
    body: Body = {'header': header(state)}
    if found:
        body['count'] = str(len(found))
    if call.limit and len(found) > call.limit:
        found = found[: call.limit]
        body['more'] = True
    if found and not call.count_only:
        body['kvs'] = [describe(pair) for pair in found]
        if call.keys_only:
            for pair in body['kvs']:
                pair.pop('value', None)
    return body


def put(state: states.State, call: messages.Put, revision: int) -> Body:
    """Write a key as part of a revision."""
    previous = state.put(call.key, call.value, call.lease, revision)
    body: Body = {}
    if call.prev_kv and previous:
        body['prev_kv'] = describe(previous)
    return body


def delete(state: states.State, call: messages.Delete, revision: int) -> Body:
    """Remove keys as part of a revision."""
    removed = state.delete(call.key, call.range_end, revision)
    body: Body = {}
    if removed:
        body['deleted'] = str(len(removed))
        if call.prev_kv:
            body['prev_kvs'] = [describe(pair) for pair in removed]
    return body


def _is_satisfied(state: states.State, compare: messages.Compare) -> bool:
    name = _TARGET[compare.target]
    actual = getattr(state.get(compare.key), name)
    return _COMPARE[compare.result](actual, getattr(compare, name))


def _run(
    state: states.State, operation: messages.Operation, revision: int
) -> Body:
    if operation.request_put is not None:
        body = put(state, operation.request_put, revision)
        return {'response_put': body}
    if operation.request_delete_range is not None:
        body = delete(state, operation.request_delete_range, revision)
        return {'response_delete_range': body}
    return {'response_range': read(state, operation.request_range)}


def run_txn(state: states.State, call: messages.Txn, revision: int) -> Body:
    """Run a transaction as one revision."""
    satisfied = all(_is_satisfied(state, compare) for compare in call.compare)
    operations = call.success if satisfied else call.failure
    responses = [_run(state, step, revision) for step in operations]
    state.commit(revision)
    body: Body = {}
    if satisfied:
        body['succeeded'] = True
    if responses:
        # Headers of responses within a transaction have only the revision.
        inner = {'revision': str(state.revision)}
        for response in responses:
            for part in response.values():
                part['header'] = inner
        body['responses'] = responses
    return body


def _check_put(call: messages.Put) -> Result[None, str]:
    if not call.key:
        return Err(NO_KEY)
    if len(call.value) > MAX_VALUE_BYTES:
        return Err(TOO_LARGE)
    return Ok(None)


def check(call: messages.Put | messages.Txn) -> Result[None, str]:
    """Validate keys and sizes before any part of a call is applied."""
    if isinstance(call, messages.Put):
        return _check_put(call)
    for operation in call.success + call.failure:
        if operation.request_put is not None:
            checked = _check_put(operation.request_put)
            if checked.is_err():
                return checked
        elif operation.request_range is operation.request_delete_range:
            return Err('etcdserver: operation is not provided')
    return Ok(None)
