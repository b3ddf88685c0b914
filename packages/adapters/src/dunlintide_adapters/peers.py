"""Anti-entropy calls between processes over gRPC.

Calls use the same port as links. Each has a time-out and a bounded size, and
a token bucket limits the bytes of configuration chunks sent per second, so
that a restart of many processes at once cannot saturate a network link.
"""

import collections
import threading
import time
from typing import Callable

from absl import logging
import grpc
import result

from dunlintide_adapters import peercodec
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2_grpc
from dunlintide_core import exchanges

__all__ = ['Answer', 'Client', 'add_service']

CALL_TIMEOUT_SECONDS = 1.0
MAX_MESSAGE_BYTES = 1 << 20
MAX_CHANNELS = 24
CHUNK_BYTES_PER_SECOND = 256 << 10
CHUNK_BURST_BYTES = 2 << 20
_MAX_CHUNKS_BYTES = 192 << 10

# Answers a request; the integer is the maximum total bytes of chunks.
Answer = Callable[[exchanges.Request, int], exchanges.Reply]

_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    # A new channel must not reuse the connection of one that stalled.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)


class _TokenBucket:
    """Token bucket of bytes."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._available = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def get_available(self) -> int:
        """Return the number of bytes that can be sent now."""
        with self._lock:
            now = time.monotonic()
            refill = (now - self._refilled_at) * self._rate
            self._available = min(self._burst, self._available + refill)
            self._refilled_at = now
            return max(0, int(self._available))

    def consume(self, amount: int) -> None:
        """Remove tokens; the balance may become negative."""
        with self._lock:
            self._available -= amount


class _Servicer(link_pb2_grpc.PeerServicer):
    def __init__(
        self, answer: Answer, transport: transports.Transport
    ) -> None:
        self._answer = answer
        self._transport = transport
        self._chunk_bucket = _TokenBucket(
            CHUNK_BYTES_PER_SECOND, CHUNK_BURST_BYTES
        )

    def Exchange(self, request, context):
        if request.ByteSize() > MAX_MESSAGE_BYTES:
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, 'too large')
        try:
            decoded = peercodec.decode_request(request)
        except ValueError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        sender = request.sender
        # What a peer reports of itself must match its certificate; what it
        # reports of others is treated as hearsay.
        fault = self._transport.check_caller(context, sender.role, sender.name)
        if fault:
            context.abort(grpc.StatusCode.PERMISSION_DENIED, fault)
        limit = min(_MAX_CHUNKS_BYTES, self._chunk_bucket.get_available())
        reply = self._answer(decoded, limit)
        self._chunk_bucket.consume(sum(map(len, reply.chunks)))
        return peercodec.encode_reply(reply)


def add_service(
    server: grpc.Server,
    answer: Answer,
    transport: transports.Transport = transports.PLAIN,
) -> None:
    """Add anti-entropy to a gRPC server that has not started.

    :param answer: called on the server's threads
    """
    link_pb2_grpc.add_PeerServicer_to_server(
        _Servicer(answer, transport), server
    )


class Client:
    """Calls peers; keeps the most recently used channels.

    Not thread-safe, except for ``close``.
    """

    def __init__(
        self,
        timeout: float = CALL_TIMEOUT_SECONDS,
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Create a client without open channels.

        :param timeout: time-out of one call, in seconds
        """
        self._timeout = timeout
        self._transport = transport
        self._channels: collections.OrderedDict[str, grpc.Channel] = (
            collections.OrderedDict()
        )

    def exchange(
        self, address: str, request: exchanges.Request
    ) -> result.Result[exchanges.Reply, str]:
        """Exchange state with a peer.

        :param address: ``host:port``
        :returns: reply of the peer, or the error
        """
        stub = link_pb2_grpc.PeerStub(self._open(address))
        try:
            reply = stub.Exchange(
                peercodec.encode_request(request), timeout=self._timeout
            )
            return result.Ok(peercodec.decode_reply(reply))
        except (grpc.RpcError, ValueError) as error:
            self._discard(address)
            reason = type(error).__name__
            if isinstance(error, grpc.Call):
                reason = str(error.code())
            logging.debug('exchange with %s: %s', address, reason)
            return result.Err(reason)

    def _open(self, address: str) -> grpc.Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = self._transport.dial(address, _OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    def _discard(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        while self._channels:
            _, channel = self._channels.popitem()
            channel.close()
