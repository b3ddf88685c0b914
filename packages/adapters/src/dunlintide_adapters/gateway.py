"""Messages of the etcd v3 JSON gateway that the store client uses.

Bytes are base64 in JSON and 64-bit integers are strings; fields that are
zero are left out of answers.
"""

from typing import Iterable

import msgspec

__all__ = [
    'Expect',
    'Grant',
    'KeepAlive',
    'KeyValue',
    'Put',
    'Range',
    'RangeAnswer',
    'TxnAnswer',
    'WatchMessage',
    'build_lease',
    'build_limited_range',
    'build_range',
    'build_txn',
    'build_watch',
    'decode',
    'get_prefix_end',
]


class Header(msgspec.Struct, frozen=True):
    """Header of an answer.

    :ivar revision: revision of the whole store
    """

    revision: int = 0


class KeyValue(msgspec.Struct, frozen=True):
    """A key as the store holds it."""

    key: bytes = b''
    value: bytes = b''
    mod_revision: int = 0
    lease: int = 0


class RangeAnswer(msgspec.Struct, frozen=True):
    """Answer to a range."""

    header: Header = Header()
    kvs: list[KeyValue] = []


class Response(msgspec.Struct, frozen=True):
    """Answer to one operation of a transaction."""

    response_range: RangeAnswer | None = None


class TxnAnswer(msgspec.Struct, frozen=True):
    """Answer to a transaction."""

    header: Header = Header()
    succeeded: bool = False
    responses: list[Response] = []


class Grant(msgspec.Struct, frozen=True):
    """Answer to a lease grant."""

    ID: int = 0
    TTL: int = 0


class KeepAlive(msgspec.Struct, frozen=True):
    """Answer to a lease renewal; a TTL of 0 means that it lapsed."""

    result: Grant = Grant()


class Event(msgspec.Struct, frozen=True):
    """A change of a key."""

    kv: KeyValue = KeyValue()
    type: str = 'PUT'


class WatchResult(msgspec.Struct, frozen=True):
    """Content of one message of a watch."""

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    events: list[Event] = []


class WatchMessage(msgspec.Struct, frozen=True):
    """One message of a watch."""

    result: WatchResult = WatchResult()


class Expect(msgspec.Struct, frozen=True):
    """Condition of a transaction: a key's last change.

    :ivar mod_revision: revision of its last change, 0 when absent
    """

    key: str
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Write of a key.

    :ivar lease: lease whose end removes the key, 0 for none
    """

    key: str
    value: bytes
    lease: int = 0


class Range(msgspec.Struct, frozen=True):
    """Read of a key, or of the keys in ``[key, end)``.

    :ivar limit: most keys to return, 0 for no limit
    """

    key: str
    end: str = ''
    limit: int = 0


def decode(body: bytes, kind: type):
    """Decode an answer.

    :raises msgspec.MsgspecError: when the body does not fit
    """
    return msgspec.json.decode(body, type=kind, strict=False)


def get_prefix_end(prefix: str) -> bytes:
    """Give the end of the range of keys that begin with a prefix."""
    start = prefix.encode()
    return start[:-1] + bytes((start[-1] + 1,))


def _build_range(key: str, end: bytes, keys_only: bool) -> dict:
    body: dict = {'key': key.encode()}
    if end:
        body['range_end'] = end
    if keys_only:
        body['keys_only'] = True
    return body


def build_range(key: str, end: bytes = b'', keys_only: bool = False) -> bytes:
    """Build a read of a key, or of the keys in ``[key, end)``."""
    return msgspec.json.encode(_build_range(key, end, keys_only))


def build_limited_range(key_range: Range) -> dict:
    """Build the body of a read that may be limited."""
    body = _build_range(key_range.key, key_range.end.encode(), False)
    if key_range.limit:
        body['limit'] = str(key_range.limit)
    return body


def _build_compare(expect: Expect) -> dict:
    return {
        'key': expect.key.encode(),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expect.mod_revision),
    }


def _build_put(put: Put) -> dict:
    body = {'key': put.key.encode(), 'value': put.value}
    if put.lease:
        body['lease'] = str(put.lease)
    return {'request_put': body}


def build_txn(
    expects: Iterable[Expect] = (),
    puts: Iterable[Put] = (),
    deletes: Iterable[str] = (),
    reads: Iterable[str] = (),
    failure_reads: Iterable[Range] = (),
) -> bytes:
    """Build a transaction; a failed condition leaves all undone.

    :param otherwise: what to read when a condition fails
    """
    operations = [_build_put(put) for put in puts]
    operations += [
        {'request_delete_range': {'key': key.encode()}} for key in deletes
    ]
    operations += [
        {'request_range': _build_range(key, b'', False)} for key in reads
    ]
    body = {
        'compare': [_build_compare(expect) for expect in expects],
        'success': operations,
        'failure': [
            {'request_range': build_limited_range(key_range)}
            for key_range in failure_reads
        ],
    }
    return msgspec.json.encode(body)


def build_lease(lease: int = 0, ttl: int = 0) -> bytes:
    """Build a call on a lease; a zero field is left out."""
    body = {'ID': str(lease)} if lease else {}
    if ttl:
        body['TTL'] = str(ttl)
    return msgspec.json.encode(body)


def build_watch(prefix: str, start_revision: int) -> bytes:
    """Build the request for a watch.

    :param start_revision: first revision to show, 0 for the next one
    """
    create = {
        'key': prefix.encode(),
        'range_end': get_prefix_end(prefix),
        'progress_notify': True,
    }
    if start_revision:
        create['start_revision'] = str(start_revision)
    return msgspec.json.encode({'create_request': create})
