"""Cost of the fleet state: store calls, processor time and memory."""

import random
import time
import tracemalloc
from typing import Iterator

from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import peercodec
from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import exchanges
from dunlintide_core import replicas
from dunlintide_trials import figures
from dunlintide_trials import fleets
from dunlintide_trials import network

__all__ = ['CASES']

CPU_BOUND = 0.037
MEMORY_BOUND = 256 << 20
STORE_CALLS_BOUND = 20.0
_STORE_SECONDS = 30
_CALLS = 500
_TEAMS = 5600


def measure_store_calls() -> Iterator[figures.Figure]:
    """Measure the store reads per second and open watches of a fleet."""
    for size in fleets.SIZES:
        net = fleets.make_fleet(size)
        fleets.spread_change(net, fleets.make_document(100, 1))
        before = net.store.reads
        net.run(_STORE_SECONDS)
        reads = (net.store.reads - before) / _STORE_SECONDS
        watching = sum(host.watching for host in net.up())
        yield figures.at_most(
            f'fleet.store_calls.{size}',
            round(reads + watching, 1),
            'calls/s',
            STORE_CALLS_BOUND,
            baseline=float(size),
            note='an open watch counts as one; baseline: one watch a process',
        )


def _make_replica(size: int) -> replicas.Replica:
    peers = network.make_peers(size // 3, size - size // 3, fleets.DOMAINS)
    replica = replicas.Replica(peers[0], random.Random(1))
    for peer in peers[1:]:
        # Decoded from wire format, so that peers share no string objects.
        other = replicas.Replica(peer, random.Random(1))
        request = other.open(0.0, exchanges.Target(''))
        message = peercodec.encode_request(request).SerializeToString()
        decoded = link_pb2.ExchangeRequest.FromString(message)
        replica.handle_request(0.0, peercodec.decode_request(decoded))
    while replica.members.take_deltas(size):
        pass
    return replica


def _time_calls(size: int) -> float:
    """Return the processor seconds of one exchange at both ends."""
    caller, callee = _make_replica(size), _make_replica(size)

    def ignore(*_) -> None:
        pass

    handlers = links.Handlers(ignore, ignore, ignore)
    server = linkserver.LinkServer('127.0.0.1:0', link_pb2.Hello, handlers)
    peer_calls.add_service(
        server.server,
        lambda request, most: callee.answer(time.monotonic(), request, most),
    )
    client = peer_calls.Client()
    target = exchanges.Target(f'127.0.0.1:{server.port}')
    with linkserver.serve(server):
        for turn in range(2):
            start = time.process_time()
            for _ in range(_CALLS):
                now = time.monotonic()
                request = caller.make_request(now, target)
                reply = client.exchange(target.address, request)
                caller.handle_reply(now, target, reply.unwrap())
                caller.expire_suspects(now)
                callee.expire_suspects(now)
            spent = time.process_time() - start
        client.close()
    return spent / _CALLS


def measure_cpu() -> Iterator[figures.Figure]:
    """Measure the share of a core for gossip.

    A process makes one exchange and answers one exchange per second.
    """
    for size in fleets.SIZES:
        yield figures.at_most(
            f'fleet.cpu.{size}',
            round(_time_calls(size), 6),
            'cores',
            CPU_BOUND,
            note='gRPC on loopback, both ends, nothing changed',
        )


def measure_memory() -> Iterator[figures.Figure]:
    """Measure the bytes of a process's view and its configuration."""
    for size in fleets.SIZES:
        tracemalloc.start()
        replica = _make_replica(size)
        view = tracemalloc.get_traced_memory()[0]
        store = network.Store()
        store.apply(fleets.make_document(_TEAMS, 1))
        snapshot = store.snapshot
        replica.apply_stored(snapshot.head, snapshot.document)
        tracemalloc.stop()
        yield figures.plain(f'fleet.memory.{size}.view', view, 'B')
        yield figures.at_most(
            f'fleet.memory.{size}',
            view + replica.configuration.size_bytes,
            'B',
            MEMORY_BOUND,
            note='with the bytes of a configuration of 5,600 teams',
        )


CASES = [measure_store_calls, measure_cpu, measure_memory]
