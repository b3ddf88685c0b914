"""Routing of claims to the entry that owns their bucket.

A single writer per bucket avoids conflicting transactions. This is only an
optimisation: if the owner cannot be reached, this entry commits the claim
itself, and the compare of the bucket head lets only one of two concurrent
commits succeed.
"""

import threading
import time
from typing import Callable

import attrs
import grpc
import result

from dunlintide_adapters import claims as writers
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_adapters.wire import link_pb2_grpc
from dunlintide_core import claims
from dunlintide_core import fleet

__all__ = [
    'OwnerLookup',
    'RoutedWriter',
    'RouteTiming',
    'add_service',
]

MAX_BATCH = 1000
_CHANNEL_OPTIONS = (
    # Only the local writer retries a claim; gRPC must not retry as well.
    ('grpc.enable_retries', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)

# Returns the address of the entry that owns a bucket, None for this entry.
OwnerLookup = Callable[[int], str | None]

_Status = link_pb2.BindOutcome.Status


@attrs.frozen
class RouteTiming:
    """Time constants of a route, in seconds.

    :ivar timeout: longest wait for the owner before this entry commits
        the claim itself
    :ivar backoff: time after a failed call during which no claim is sent
        to that owner
    """

    timeout: float = 1.0
    backoff: float = 2.0


def _encode(outcome: writers.Outcome) -> link_pb2.BindOutcome:
    if isinstance(outcome, result.Ok):
        data = claims.encode_binding(outcome.ok_value)
        return link_pb2.BindOutcome(status=_Status.BOUND, binding=data)
    error = outcome.err_value
    if isinstance(error, claims.ReusedKey):
        data = claims.encode_binding(error.binding)
        return link_pb2.BindOutcome(status=_Status.REUSED, binding=data)
    return link_pb2.BindOutcome(status=_Status.UNBOUND, detail=error.detail)


def _decode(answer: link_pb2.BindOutcome) -> writers.Outcome:
    if answer.status == _Status.BOUND:
        return result.Ok(claims.decode_binding(answer.binding))
    if answer.status == _Status.REUSED:
        binding = claims.decode_binding(answer.binding)
        return result.Err(claims.ReusedKey(binding))
    return result.Err(writers.Unbound(answer.detail))


class _Servicer(link_pb2_grpc.ClaimsServicer):
    """Commits the claims that other entries send."""

    def __init__(
        self, writer: writers.ClaimWriter, transport: transports.Transport
    ) -> None:
        self._writer = writer
        self._transport = transport

    def Bind(self, request, context):
        fault = self._transport.check_caller(context, fleet.Role.ENTRY)
        if fault:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, fault)
        timeout = request.timeout_ms / 1000
        waiting = [
            self._writer.submit(claims.decode_binding(data), timeout)
            for data in request.bindings
        ]
        outcomes = [_encode(pending.wait()) for pending in waiting]
        return link_pb2.BindReply(outcomes=outcomes)


def add_service(
    server: grpc.Server,
    writer: writers.ClaimWriter,
    transport: transports.Transport = transports.PLAIN,
) -> None:
    """Add the service that accepts claims of other entries to a server.

    :param server: server that has not been started yet
    """
    servicer = _Servicer(writer, transport)
    link_pb2_grpc.add_ClaimsServicer_to_server(servicer, server)


class _Route:
    """Sends claims to one owner, one call at a time.

    Claims queued while a call is open are sent with the next call.
    """

    def __init__(
        self,
        address: str,
        timing: RouteTiming,
        divert: Callable[[writers.Pending], None],
        transport: transports.Transport,
    ) -> None:
        self._timing = timing
        self._divert = divert
        self._channel = transport.dial(address, _CHANNEL_OPTIONS)
        self._stub = link_pb2_grpc.ClaimsStub(self._channel)
        self._lock = threading.Lock()
        self._queue: list[writers.Pending] = []
        self._has_open_call = False
        self._backoff_until = 0.0

    def put(self, pending: writers.Pending) -> None:
        """Send a claim, or divert it during the backoff."""
        with self._lock:
            is_backing_off = time.monotonic() < self._backoff_until
            if not is_backing_off:
                self._queue.append(pending)
        if is_backing_off:
            self._divert(pending)
        else:
            self._send()

    def close(self) -> None:
        """Close the channel; claims of open calls are diverted."""
        self._channel.close()

    def _take_batch(self) -> list[writers.Pending]:
        with self._lock:
            if self._has_open_call:
                return []
            batch = self._queue[:MAX_BATCH]
            del self._queue[:MAX_BATCH]
            self._has_open_call = bool(batch)
            return batch

    def _send(self) -> None:
        batch = self._take_batch()
        if not batch:
            return
        request = link_pb2.BindRequest(
            bindings=[
                claims.encode_binding(pending.wanted) for pending in batch
            ],
            timeout_ms=int(self._timing.timeout * 1000),
        )
        try:
            call = self._stub.Bind.future(
                request, timeout=self._timing.timeout
            )
        except ValueError:
            # The channel was closed after the claim was queued.
            self._settle_batch(batch, None)
            return
        call.add_done_callback(lambda done: self._handle_reply(batch, done))

    def _handle_reply(self, batch: list[writers.Pending], call) -> None:
        answered = call.code() is grpc.StatusCode.OK
        self._settle_batch(batch, call.result() if answered else None)
        self._send()

    def _settle_batch(
        self,
        batch: list[writers.Pending],
        reply: link_pb2.BindReply | None,
    ) -> None:
        with self._lock:
            self._has_open_call = False
            if reply is None:
                self._backoff_until = time.monotonic() + self._timing.backoff
                batch = batch + self._queue
                self._queue = []
        if reply is None:
            for pending in batch:
                self._divert(pending)
            return
        for pending, answer in zip(batch, reply.outcomes, strict=True):
            if answer.status == _Status.UNBOUND:
                self._divert(pending)
            else:
                pending.settle(_decode(answer))


class RoutedWriter:
    """Commits claims through the owners of their buckets, or locally.

    :ivar diverted: claims committed locally as their owner confirmed none
    """

    def __init__(
        self,
        writer: writers.ClaimWriter,
        owner: OwnerLookup,
        timing: RouteTiming = RouteTiming(),
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Set up routing; connections are opened on demand.

        :param writer: commits the claims of this entry's own buckets
        :param owner: returns the owner of a bucket
        """
        self.diverted = 0
        self._writer = writer
        self._owner = owner
        self._timing = timing
        self._transport = transport
        self._lock = threading.Lock()
        self._routes: dict[str, _Route] = {}

    def bind(self, wanted: claims.Binding, timeout: float) -> writers.Outcome:
        """Commit a claim, or return the existing one.

        :param timeout: longest wait in seconds
        """
        address = self._find_owner(wanted)
        if address is None:
            return self._writer.bind(wanted, timeout)
        return self._send(address, wanted, timeout)

    def release(
        self, binding: claims.Binding, timeout: float
    ) -> writers.Outcome:
        """Free the key of a claim that its executor sealed without running.

        :param timeout: longest wait in seconds
        """
        address = self._find_owner(binding)
        if address is None:
            return self._writer.release(binding, timeout)
        return self._send(address, claims.build_release(binding), timeout)

    def update_owners(self, addresses: set[str]) -> None:
        """Update the commit rate and close routes to former owners.

        :param addresses: addresses of the other entries that own buckets
        """
        self._writer.set_writer_count(len(addresses) + 1)
        self._close_others(addresses)

    def _close_others(self, addresses: set[str]) -> None:
        with self._lock:
            closed = [
                self._routes.pop(address)
                for address in self._routes.keys() - addresses
            ]
        for route in closed:
            route.close()

    def close(self) -> None:
        """Close all routes."""
        self._close_others(set())

    def dump(self) -> dict:
        """Return the state for diagnostics, without keys."""
        writer_state = self._writer.dump()
        return writer_state | {
            'routes': len(self._routes),
            'diverted': self.diverted,
        }

    def _find_owner(self, binding: claims.Binding) -> str | None:
        return self._owner(claims.choose_bucket(binding.key_digest))

    def _send(
        self, address: str, wanted: claims.Binding, timeout: float
    ) -> writers.Outcome:
        pending = writers.Pending(wanted, time.monotonic() + timeout)
        self._find_route(address).put(pending)
        return pending.wait()

    def _find_route(self, address: str) -> _Route:
        with self._lock:
            route = self._routes.get(address)
            if route is None:
                route = _Route(
                    address, self._timing, self._divert, self._transport
                )
                self._routes[address] = route
            return route

    def _divert(self, pending: writers.Pending) -> None:
        """Commit a claim locally that the owner did not confirm.

        If the owner committed it after all, the local writer finds that
        claim.
        """
        self.diverted += 1
        self._writer.put(pending)
