"""Stand-in of the platform's metadata store, with fault injection."""

import asyncio
import base64
import collections
import copy as copy_module
import json
import time
from typing import Any, Callable

import attrs

from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import wire

__all__ = ['Faults', 'Rewrite', 'Store']

_PAGE_ENTRIES = 50
# Size of values, as they are sent, with which a page ends.
_PAGE_BYTES = 1 << 20
_EXPIRY_POLL_SECONDS = 0.05

Rewrite = Callable[[str, bytes], bytes]


@attrs.define
class Faults:
    """Injected faults of the store.

    :ivar refuse: status with which calls are refused, 0 for none
    :ivar silent: whether calls get no response and have no effect
    :ivar away: whether calls are reset and have no effect
    :ivar slow: delay of each call, in seconds
    :ivar lose: number of further writes that take effect without a response
    :ivar late: delay until such a write takes effect, in seconds
    :ivar pours: bytes without end in place of responses, None for sound ones
    """

    refuse: int = 0
    silent: bool = False
    away: bool = False
    slow: float = 0.0
    lose: int = 0
    late: float = 0.0
    pours: endless.Endless | None = None


@attrs.define
class _Item:
    value: str
    revision: int
    created: int
    lease: int


@attrs.define
class _Lease:
    ttl: float
    expires: float


@attrs.frozen
class _Backup:
    """Data that a restored store starts from."""

    revision: int
    items: dict[str, _Item]
    leases: dict[int, _Lease]
    next_lease: int


def _keep(key: str, value: bytes) -> bytes:
    """Show a value as it is."""
    return value


def _rewrite_row(row: dict[str, Any], rewrite: Rewrite) -> dict[str, Any]:
    if 'value' not in row:
        return row
    value = rewrite(row['key'], base64.b64decode(row['value']))
    return {**row, 'value': base64.b64encode(value).decode()}


def _rewrite_body(body: dict[str, Any], rewrite: Rewrite) -> dict[str, Any]:
    """Rewrite the values in the body of an answer."""
    if rewrite is _keep:
        return body
    changed = _rewrite_row(body, rewrite)
    for name in ('entries', 'events'):
        if name in body:
            changed[name] = [_rewrite_row(row, rewrite) for row in body[name]]
    return changed


class Store:
    """Key-value store with leases and a history of changes.

    :ivar calls: number of calls by method and path, without numbers of leases
    :ivar port: port that the store listens on
    :ivar era: incremented each time that the store is restored from a
        backup
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.port = 0
        self.revision = 5
        self.era = 1
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 100
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 5
        self._changed = asyncio.Condition()
        # Last value that the operator or a runner wrote for each key, None for
        # a removed key; rewrite_platform_keys writes them after a restore.
        self._platform_values: dict[str, str | None] = {}
        self._backup: _Backup | None = None
        self._views: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen, and expire leases in the background."""
        server = await wire.listen(self._handle)
        self.port = server.sockets[0].getsockname()[1]
        self._server = server
        self._expiry_task = asyncio.ensure_future(self._expire_leases())

    async def start_view(self, rewrite: Rewrite) -> int:
        """Listen on another port, whose clients read changed values.

        :param rewrite: returns the value to show, given a key and its value
        :returns: the port
        """

        async def handle(request: wire.Request, channel: wire.Channel) -> None:
            await self._handle(request, channel, rewrite)

        server = await wire.listen(handle)
        self._views.append(server)
        return server.sockets[0].getsockname()[1]

    # Changes by the platform itself, without a call.

    async def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key on behalf of the operator or an endpoint.

        :returns: the new revision
        """
        data = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(data, str):
            data = data.encode()
        value = base64.b64encode(data).decode()
        self._platform_values[key] = value
        async with self._changed:
            self.revision += 1
            self._set(key, value, lease)
            self._changed.notify_all()
        return self.revision

    async def report(self, key: str, entry: dict[str, Any]) -> None:
        """Write the entry of an endpoint, which reports periodically.

        A change of ``seq`` alone does not change the revision.
        """
        item = self._items.get(key)
        if item is not None:
            held = json.loads(base64.b64decode(item.value))
            if {**held, 'seq': 0} == {**entry, 'seq': 0}:
                data = json.dumps(entry).encode()
                item.value = base64.b64encode(data).decode()
                self._platform_values[key] = item.value
                return
        await self.put(key, entry)

    async def expire(self, key: str) -> None:
        """Remove the entry of an endpoint that stopped reporting.

        ``rewrite_platform_keys`` writes the entry again.
        """
        await self._remove(key)

    async def remove(self, key: str) -> None:
        """Remove a key on behalf of the platform."""
        self._platform_values[key] = None
        await self._remove(key)

    async def _remove(self, key: str) -> None:
        async with self._changed:
            if key in self._items:
                self.revision += 1
                self._delete(key)
                self._changed.notify_all()

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, None if it does not exist."""
        item = self._items.get(key)
        return base64.b64decode(item.value) if item else None

    def list_keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def compact(self) -> None:
        """Discard the history."""
        self._history.clear()
        self._compacted_revision = self.revision

    def make_backup(self) -> None:
        """Back up the data for ``restore_backup``."""
        self._backup = _Backup(
            self.revision,
            copy_module.deepcopy(self._items),
            copy_module.deepcopy(self._leases),
            self._next_lease,
        )

    async def restore_backup(self) -> None:
        """Restore the backup, so that revisions and lease ids are reused.

        Calls in progress are reset.
        """
        backup = self._backup
        async with self._changed:
            self.era += 1
            self.revision = self._compacted_revision = backup.revision
            self._items = copy_module.deepcopy(backup.items)
            self._leases = copy_module.deepcopy(backup.leases)
            self._next_lease = backup.next_lease
            self._history.clear()
            self._changed.notify_all()
        now = time.monotonic()
        for lease in self._leases.values():
            lease.expires = max(lease.expires, now + lease.ttl)

    async def rewrite_platform_keys(self) -> None:
        """Write the operator's and the runners' changes that were lost."""
        for key, value in list(self._platform_values.items()):
            item = self._items.get(key)
            if value is None:
                await self._remove(key)
            elif item is None or item.value != value:
                await self.put(key, base64.b64decode(value))

    # Storage.

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self._items.get(key)
        created = old.created if old else self.revision
        self._items[key] = _Item(value, self.revision, created, lease)
        self._history.append(self._describe(key))

    def _delete(self, key: str) -> None:
        del self._items[key]
        self._history.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def _describe(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        return {'key': key, **attrs.asdict(item)}

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_POLL_SECONDS)
            now = time.monotonic()
            ended = [
                number
                for number, lease in self._leases.items()
                if lease.expires <= now
            ]
            for number in ended:
                await self._revoke_lease(number)

    async def _revoke_lease(self, number: int) -> bool:
        if self._leases.pop(number, None) is None:
            return False
        keys = [
            key for key, item in self._items.items() if item.lease == number
        ]
        for key in keys:
            await self._remove(key)
        return True

    # Calls.

    async def _handle(
        self,
        request: wire.Request,
        channel: wire.Channel,
        rewrite: Rewrite = _keep,
    ) -> None:
        kind = request.path.split('/')[1]
        self.calls[f'{request.method} /{kind}'] += 1
        faults = self.faults
        era = self.era
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.away:
            channel.reset()
            return
        if faults.pours is not None:
            await endless.pour(channel, faults.pours, request)
        if faults.slow:
            await asyncio.sleep(faults.slow)
        if faults.refuse:
            await channel.answer(faults.refuse, b'{}', {'Store-Era': str(era)})
            return
        writes = request.method != 'GET'
        if writes and faults.lose > 0:
            faults.lose -= 1
            if faults.late:
                loop = asyncio.get_running_loop()
                loop.call_later(
                    faults.late,
                    lambda: asyncio.ensure_future(self._run(request)),
                )
            else:
                await self._run(request)
            await asyncio.sleep(3600)
        status, body = await self._run(request)
        if self.era != era:
            channel.reset()
            return
        await channel.answer(
            status,
            json.dumps(_rewrite_body(body, rewrite)).encode(),
            {'Content-Type': 'application/json', 'Store-Era': str(era)},
        )

    async def _run(self, request: wire.Request) -> tuple[int, dict]:
        path = request.path
        body = json.loads(request.body) if request.body else {}
        if path == '/kv-key':
            return self._read_key(request.query['key'])
        if path == '/kv-range':
            return self._read_range(request.query)
        if path == '/kv-watch':
            return await self._watch(request.query)
        if path == '/kv-txn':
            return await self._write(body)
        if path == '/kv-lease':
            return self._grant_lease(body)
        number = int(path.rsplit('/', 1)[1])
        if path.startswith('/kv-keep/'):
            return self._renew_lease(number)
        ended = await self._revoke_lease(number)
        return (200, {}) if ended else (404, {})

    def _read_key(self, key: str) -> tuple[int, dict]:
        if key not in self._items:
            return 404, {'current_rev': self.revision}
        return 200, {**self._describe(key), 'current_rev': self.revision}

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query['prefix'], query.get('after')
        keys = [
            key
            for key in self.list_keys(prefix)
            if after is None or key > after
        ]
        entries, size = [], 0
        for key in keys[:_PAGE_ENTRIES]:
            entries.append(self._describe(key))
            size += len(self._items[key].value)
            if size >= _PAGE_BYTES:
                break
        return 200, {
            'entries': entries,
            'truncated': len(keys) > len(entries),
            'current_rev': self.revision,
        }

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query['prefix'], int(query['after'])
        wait = int(query['wait_ms']) / 1000
        is_future = after > self.revision
        if is_future or (
            after < self._compacted_revision and after != self.revision
        ):
            return 410, {}
        era = self.era
        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(
                        lambda: (
                            self.era != era or self._find_events(prefix, after)
                        )
                    )
            except TimeoutError:
                pass
        return 200, {
            'events': self._find_events(prefix, after),
            'current_rev': self.revision,
        }

    async def _write(self, body: dict) -> tuple[int, dict]:
        for condition in body['precondition']:
            item = self._items.get(condition['key'])
            if (item.revision if item else 0) != condition['revision']:
                return 412, {'entries': []}
        for row in body['set_keys']:
            if row['lease'] and row['lease'] not in self._leases:
                return 404, {}
            if row['key'].startswith(('op/', 'servers/')):
                return 403, {}
        async with self._changed:
            self.revision += 1
            for row in body['set_keys']:
                self._set(row['key'], row['value'], row['lease'])
            for key in body['remove']:
                if key in self._items:
                    self._delete(key)
            self._changed.notify_all()
        return 200, {'revision': self.revision}

    def _grant_lease(self, body: dict) -> tuple[int, dict]:
        self._next_lease += 1
        ttl = body['ttl_ms'] / 1000
        self._leases[self._next_lease] = _Lease(ttl, time.monotonic() + ttl)
        return 200, {'lease': self._next_lease, 'ttl_ms': body['ttl_ms']}

    def _renew_lease(self, number: int) -> tuple[int, dict]:
        lease = self._leases.get(number)
        if lease is None:
            return 404, {}
        lease.expires = time.monotonic() + lease.ttl
        return 200, {'ttl_ms': int(lease.ttl * 1000)}
