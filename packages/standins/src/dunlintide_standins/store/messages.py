"""Messages of etcd's v3 JSON gateway.

In JSON, bytes are base64 and 64-bit integers are strings. Field names are
accepted in snake case and in camel case (``range_end``, ``rangeEnd``).
"""

import re
from typing import Any
from typing import Literal

import msgspec

from dunlintide_standins import web

__all__ = [
    'Compare',
    'Delete',
    'Grant',
    'LeaseId',
    'Operation',
    'Put',
    'Range',
    'Txn',
    'Watch',
    'WatchCreate',
    'decode',
]

_CAMEL_CAPITAL = re.compile(r'(?<=[a-z])[A-Z]')


class Range(msgspec.Struct):
    """Read of a key, or of the keys in ``[key, range_end)``."""

    key: bytes = b''
    range_end: bytes = b''
    limit: int = 0
    revision: int = 0
    keys_only: bool = False
    count_only: bool = False
    serializable: bool = False


class Put(msgspec.Struct):
    """Write of a key."""

    key: bytes = b''
    value: bytes = b''
    lease: int = 0
    prev_kv: bool = False


class Delete(msgspec.Struct):
    """Removal of a key, or of the keys in ``[key, range_end)``."""

    key: bytes = b''
    range_end: bytes = b''
    prev_kv: bool = False


class Compare(msgspec.Struct):
    """One condition of a transaction."""

    key: bytes = b''
    result: Literal['EQUAL', 'GREATER', 'LESS', 'NOT_EQUAL'] = 'EQUAL'
    target: Literal['VERSION', 'CREATE', 'MOD', 'VALUE'] = 'VERSION'
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b''


class Operation(msgspec.Struct):
    """Operation of a transaction; exactly one of the fields is set."""

    request_range: Range | None = None
    request_put: Put | None = None
    request_delete_range: Delete | None = None


class Txn(msgspec.Struct):
    """Atomic transaction.

    ``success`` is applied if all conditions of ``compare`` hold, else
    ``failure``.
    """

    compare: list[Compare] = []
    success: list[Operation] = []
    failure: list[Operation] = []


class Grant(msgspec.Struct):
    """Request for a lease of ``TTL`` seconds."""

    TTL: int = 0
    ID: int = 0


class LeaseId(msgspec.Struct):
    """Id of a lease to keep alive or revoke."""

    ID: int = 0


class WatchCreate(msgspec.Struct):
    """Keys to watch, from a revision on; 0 starts with the next one."""

    key: bytes = b''
    range_end: bytes = b''
    start_revision: int = 0
    prev_kv: bool = False


class Watch(msgspec.Struct):
    """Message that opens a watch."""

    create_request: WatchCreate


def _to_snake_case(data: Any) -> Any:
    if isinstance(data, list):
        return [_to_snake_case(item) for item in data]
    if not isinstance(data, dict):
        return data
    return {
        _CAMEL_CAPITAL.sub(
            lambda capital: '_' + capital[0].lower(), name
        ): _to_snake_case(item)
        for name, item in data.items()
    }


def decode(request: web.Request, kind: Any) -> Any:
    """Decode a gateway message.

    :raises msgspec.ValidationError: if the message does not fit the type
    """
    data = _to_snake_case(web.decode_json(request, Any))
    return msgspec.convert(data, kind, strict=False)
