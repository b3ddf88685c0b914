"""Messages of the etcd v3 JSON gateway that the store client uses.

In JSON, bytes are base64 and 64-bit integers are strings. Answers omit
fields that are zero.
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
    """A key and its value.

    :ivar mod_revision: store revision of its last change
    :ivar lease: id of its lease, 0 for none
    """

    key: bytes = b''
    value: bytes = b''
    mod_revision: int = 0
    lease: int = 0


class RangeAnswer(msgspec.Struct, frozen=True):
    """Answer to a range read."""

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
    """Answer to a lease grant.

    :ivar ID: id of the lease
    :ivar TTL: lifetime without renewal, in seconds
    """

    ID: int = 0
    TTL: int = 0


class KeepAlive(msgspec.Struct, frozen=True):
    """Answer to a lease renewal; a TTL of 0 means that the lease expired."""

    result: Grant = Grant()


class Event(msgspec.Struct, frozen=True):
    """A change of a key."""

    kv: KeyValue = KeyValue()
    type: str = 'PUT'


class WatchResult(msgspec.Struct, frozen=True):
    """Content of one message of a watch.

    :ivar created: whether the watch was opened
    :ivar canceled: whether the store ended the watch
    """

    header: Header = Header()
    created: bool = False
    canceled: bool = False
    events: list[Event] = []


class WatchMessage(msgspec.Struct, frozen=True):
    """One message of a watch."""

    result: WatchResult = WatchResult()


class Expect(msgspec.Struct, frozen=True):
    """Condition of a transaction on the last change of a key.

    :ivar mod_revision: store revision of that change, 0 for no such key
    """

    key: str
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Write of a key.

    :ivar lease: id of the lease whose end removes the key, 0 for none
    """

    key: str
    value: bytes
    lease: int = 0


class Range(msgspec.Struct, frozen=True):
    """Read of a key, or of the keys in ``[key, end)``.

    :ivar limit: maximum number of keys to return, 0 for no limit
    """

    key: str
    end: str = ''
    limit: int = 0


def decode(body: bytes, kind: type):
    """Decode an answer.

    :raises msgspec.MsgspecError: if the body does not match the type
    """
    return msgspec.json.decode(body, type=kind, strict=False)


def get_prefix_end(prefix: str) -> bytes:
    """Return the end of the range of keys that begin with a prefix."""
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
    """Build the read of a key, or of the keys in ``[key, end)``."""
    return msgspec.json.encode(_build_range(key, end, keys_only))


def build_limited_range(key_range: Range) -> dict:
    """Build the body of a read with an optional limit."""
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
    """Build a transaction; if a condition fails, nothing is written.

    :param failure_reads: ranges to read if a condition fails
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
    """Build a call on a lease; zero fields are omitted.

    :param lease: id of the lease
    :param ttl: lifetime without renewal, in seconds
    """
    body = {'ID': str(lease)} if lease else {}
    if ttl:
        body['TTL'] = str(ttl)
    return msgspec.json.encode(body)


def build_watch(prefix: str, start_revision: int) -> bytes:
    """Build the request for a watch.

    :param start_revision: first revision to report, 0 for the next one
    """
    create = {
        'key': prefix.encode(),
        'range_end': get_prefix_end(prefix),
        'progress_notify': True,
    }
    if start_revision:
        create['start_revision'] = str(start_revision)
    return msgspec.json.encode({'create_request': create})
