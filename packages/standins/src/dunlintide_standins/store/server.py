"""HTTP server and settings of the store."""

import collections
from collections.abc import Callable
from typing import Any

import attrs

from dunlintide_standins import faults
from dunlintide_standins import process
from dunlintide_standins.store import calls
from dunlintide_standins.store import leases
from dunlintide_standins.store import messages
from dunlintide_standins.store import state as states
from dunlintide_standins.store import watches
from dunlintide_standins import web

__all__ = ['Config', 'Store']

_INVALID_ARGUMENT = 3
_NOT_FOUND = 5
_FAILED_PRECONDITION = 9
_UNIMPLEMENTED = 12
_NO_LEASE = 'etcdserver: requested lease not found'
_NO_OLD_REVISIONS = 'reads of older revisions are not offered'
_LEASE_EXISTS = 'etcdserver: lease already exists'


@attrs.frozen
class Config:
    """Settings of the store."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')


class _Control(faults.Fault):
    """Faults, and whether to silence the open watches."""

    silence_watches: bool = False


def _refuse(text: str, code: int, status: int = 400) -> web.Answer:
    body = {'error': text, 'code': code, 'message': text}
    return web.json_answer(body, status)


class Store:
    """A key-value store with a subset of etcd's JSON gateway.

    :ivar port: port that the store listens on
    """

    def __init__(self, listen: str) -> None:
        self.state = states.State()
        self.fault_injector = faults.FaultInjector()
        self._leases = leases.Leases(self.state)
        self._watches = watches.Watches(self.state, self.fault_injector)
        self._counts: collections.Counter[str] = collections.Counter()
        self._routes: dict[str, tuple[str, Callable]] = {
            '/v3/kv/range': ('range', self._range),
            '/v3/kv/put': ('put', self._put),
            '/v3/kv/deleterange': ('delete', self._delete),
            '/v3/kv/txn': ('txn', self._txn),
            '/v3/lease/grant': ('lease', self._grant),
            '/v3/lease/keepalive': ('lease', self._keep_alive),
            '/v3/lease/revoke': ('lease', self._revoke),
            '/v3/kv/lease/revoke': ('lease', self._revoke),
            '/v3/watch': ('watch', self._watch),
        }
        self._server = web.Server(listen, self._handle)
        self.port = self._server.port

    @classmethod
    def from_config(cls, config: Config) -> 'Store':
        """Build a store and bind its port."""
        return cls(config.listen)

    def start(self) -> None:
        """Start to serve requests."""
        self._leases.start()
        self._server.start()

    def stop(self) -> None:
        """Stop at once and close every connection."""
        self._leases.stop()
        self._watches.stop()
        self._server.stop()

    def report(self) -> dict[str, Any]:
        """Return the current faults, call counts and open watches."""
        kinds = {kind for kind, _ in self._routes.values()}
        counts = {kind: self._counts[kind] for kind in sorted(kinds)}
        watching = self._watches.open
        return self.fault_injector.state() | {
            'counts': counts,
            'watching': watching,
        }

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path.startswith('/control'):
            return self._control(request)
        route = self._routes.get(request.path)
        if route is None:
            return _refuse('Not Found', _NOT_FOUND, 404)
        kind, answer = route
        with self.state.changed:
            self._counts[kind] += 1
        intercepted = self.fault_injector.intercept()
        return intercepted or answer(request)

    def _control(self, request: web.Request) -> web.Answer:
        with self.state.changed:
            if request.path == '/control/save':
                self.state.save()
            elif request.path == '/control/restore':
                self.state.restore()
            elif request.method == 'POST':
                control = web.decode_json(request, _Control)
                self.fault_injector.change(control)
                if control.silence_watches:
                    self._watches.silence()
                self.state.changed.notify_all()
            return web.json_answer(self.report())

    def _range(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Range)
        if call.revision:
            return _refuse(_NO_OLD_REVISIONS, _UNIMPLEMENTED, 501)
        with self.state.changed:
            return web.json_answer(calls.read(self.state, call))

    def _write(
        self, call: Any, apply: Callable[[states.State, Any, int], calls.Body]
    ) -> web.Answer:
        with self.state.changed:
            before = self.state.revision
            body = apply(self.state, call, before + 1)
            self.state.commit(before + 1)
            body['header'] = calls.header(self.state)
            changed = self.state.revision > before
        if changed and self.fault_injector.should_drop_answer():
            return web.drop_connection()
        return web.json_answer(body)

    def _has_unknown_lease(self, *puts: messages.Put | None) -> bool:
        named = {put.lease for put in puts if put is not None and put.lease}
        return not all(self._leases.exists(lease) for lease in named)

    def _put(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Put)
        checked = calls.check(call)
        if checked.is_err():
            return _refuse(checked.unwrap_err(), _INVALID_ARGUMENT)
        with self.state.changed:
            if self._has_unknown_lease(call):
                return _refuse(_NO_LEASE, _NOT_FOUND, 404)
            return self._write(call, calls.put)

    def _delete(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Delete)
        return self._write(call, calls.delete)

    def _txn(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Txn)
        checked = calls.check(call)
        if checked.is_err():
            return _refuse(checked.unwrap_err(), _INVALID_ARGUMENT)
        puts = [step.request_put for step in call.success + call.failure]
        with self.state.changed:
            if self._has_unknown_lease(*puts):
                return _refuse(_NO_LEASE, _NOT_FOUND, 404)
            return self._write(call, calls.run_txn)

    def _grant(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Grant)
        lease_id = self._leases.grant(call.ID, call.TTL)
        if lease_id is None:
            return _refuse(_LEASE_EXISTS, _FAILED_PRECONDITION)
        body = {'ID': str(lease_id), 'TTL': str(call.TTL)}
        return web.json_answer({'header': calls.header(self.state)} | body)

    def _keep_alive(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.LeaseId)
        ttl = self._leases.keep_alive(call.ID)
        body = {'header': calls.header(self.state), 'ID': str(call.ID)}
        if ttl:
            body['TTL'] = str(ttl)
        return web.json_answer({'result': body})

    def _revoke(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.LeaseId)
        if not self._leases.revoke(call.ID):
            return _refuse(_NO_LEASE, _NOT_FOUND, 404)
        return web.json_answer({'header': calls.header(self.state)})

    def _watch(self, request: web.Request) -> web.Answer:
        call = messages.decode(request, messages.Watch)
        return web.Answer(parts=self._watches.stream(call.create_request))
