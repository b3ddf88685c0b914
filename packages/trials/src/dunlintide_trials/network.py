"""Simulation of a fleet's gossip in one process, on a virtual clock.

The replicas run the product's code; calls, time and the store are
simulated, so that hundreds of replicas can be tested on one machine.
"""

import heapq
import itertools
import random
from typing import Callable

import attrs

from dunlintide_core import configreplica
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import replicas
from dunlintide_core import revisions

__all__ = ['Host', 'Network', 'Store', 'make_peers']

CALL_TIMEOUT = 1.0
UPKEEP_SECONDS = 1.0
READ_SECONDS = 10.0
MAX_FOLLOW_UPS = 8
# HTTP/2 frames and compressed headers of one gRPC call in both directions.
CALL_OVERHEAD_BYTES = 160
_SAME_REGION_SECONDS = 0.0005
_OTHER_REGION_SECONDS = 0.010
_STORE_SECONDS = 0.005


@attrs.define
class Host:
    """A simulated process and its traffic counters.

    :ivar up: whether the process runs
    :ivar partition: number of its network partition; hosts in different
        partitions cannot reach each other
    :ivar watching: whether it watches the store
    :ivar round_number: number of the scheduled gossip round; older rounds
        are void
    :ivar read_at: simulated time of its next periodic store read
    :ivar calls: calls that it made
    :ivar adopted: simulated time of adoption by revision
    :ivar rollbacks: number of times that its revision went back
    :ivar highest: highest revision that it has had
    """

    peer: fleet.Peer
    replica: replicas.Replica
    up: bool = True
    partition: int = 0
    watching: bool = False
    round_number: int = 0
    read_at: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    calls: int = 0
    adopted: dict[int, float] = attrs.field(factory=dict)
    rollbacks: int = 0
    highest: int = 0


@attrs.define
class Store:
    """A minimal model of the platform's store.

    :ivar up: whether it responds
    :ivar snapshot: configuration in force
    :ivar chunks: bodies of configuration chunks by digest
    :ivar reads: number of values that were read
    :ivar watches: number of watches that were opened
    :ivar notices: number of change notifications that were sent
    """

    up: bool = True
    snapshot: configreplica.Snapshot | None = None
    chunks: dict[str, bytes] = attrs.field(factory=dict)
    reads: int = 0
    watches: int = 0
    notices: int = 0

    def apply(self, document: bytes, author: str = 'trial') -> None:
        """Store a document as the revision after the current one."""
        parent = self.snapshot.head if self.snapshot else None
        chunks = revisions.split(document).unwrap()
        revision = parent.revision + 1 if parent else 1
        head = revisions.make_head(
            parent, chunks, f'{author}-{revision}', author, '', 0.0
        )
        self.chunks |= {chunk.digest: chunk.body for chunk in chunks}
        body = revisions.encode_head(head)
        self.snapshot = configreplica.Snapshot(head, body, document)


class Network:
    """Simulated hosts, their calls and the store on one virtual clock.

    :ivar now: simulated time in seconds
    :ivar hosts: the latest incarnation of each host, by name
    :ivar calls: number of calls between hosts
    :ivar failed_calls: number of calls that timed out
    """

    def __init__(
        self,
        seed: int,
        size_of: Callable[[object], int] | None = None,
    ) -> None:
        """Start at time 0 without hosts.

        :param seed: seed of all random choices
        :param size_of: returns the encoded size of a message in bytes,
            None to count no bytes
        """
        self.now = 0.0
        self.hosts: dict[str, Host] = {}
        self.store = Store()
        self.calls = 0
        self.failed_calls = 0
        self._addresses: dict[str, Host] = {}
        self._rng = random.Random(seed)
        self._size_of = size_of
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in simulated seconds."""
        event = (self.now + delay, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advance the clock by simulated seconds."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Advance the clock until a condition holds.

        :param done: condition, evaluated ten times per simulated second
        :param seconds: timeout in simulated seconds
        :returns: whether the condition held before the timeout
        """
        end = self.now + seconds
        while not done():
            if self.now >= end:
                return False
            step = min(end, self.now + 0.1)
            while self._events and self._events[0][0] <= step:
                self.now, _, action = heapq.heappop(self._events)
                action()
            self.now = step
        return True

    def add(
        self,
        peer: fleet.Peer,
        seeds: list[str],
        timing: replicas.Timing = replicas.Timing(),
    ) -> Host:
        """Start a host.

        :param seeds: addresses that it knows at its start
        """
        rng = random.Random(self._rng.random())
        replica = replicas.Replica(peer, rng, timing)
        replica.add_seeds(seeds)
        host = Host(peer, replica, partition=self._find_partition(peer))
        self.hosts[peer.name] = host
        self._addresses[peer.address] = host
        self._schedule(host, rng.random())
        self.after(rng.random(), lambda: self._run_upkeep(host))
        return host

    def _find_partition(self, peer: fleet.Peer) -> int:
        partitions = [
            host.partition
            for host in self.hosts.values()
            if host.peer.failure_domain == peer.failure_domain
        ]
        return partitions[0] if partitions else 0

    def share_membership(self) -> None:
        """Give every host the records of all hosts, with gossip settled."""
        everyone = [
            host.replica.members.own_record for host in self.hosts.values()
        ]
        for host in self.hosts.values():
            for record in everyone:
                host.replica.members.merge(self.now, record)
            for _ in range(len(everyone)):
                host.replica.members.take_deltas(len(everyone))

    def up(self) -> list[Host]:
        """List the running hosts."""
        return [host for host in self.hosts.values() if host.up]

    def restart(self, host: Host) -> Host:
        """Replace a host by a new incarnation that knows only seeds."""
        host.up = False
        incarnation = host.peer.incarnation + 1
        peer = attrs.evolve(host.peer, incarnation=incarnation)
        others = [h.peer.address for h in self.up()]
        seeds = self._rng.sample(others, min(3, len(others)))
        return self.add(peer, seeds)

    def _is_gone(self, host: Host) -> bool:
        return not host.up or self.hosts.get(host.peer.name) is not host

    def resume(self, host: Host) -> None:
        """Resume a host that was down, with its state kept."""
        host.up = True
        self._schedule(host, 0.0)
        self._run_upkeep(host)

    def _schedule(
        self, host: Host, delay: float, round_number: int | None = None
    ) -> None:
        """Schedule the next gossip round.

        :param round_number: number of the round that ended; nothing is
            scheduled when a later round has been scheduled since
        """
        if round_number is not None and round_number != host.round_number:
            return
        host.round_number += 1
        round_number = host.round_number
        self.after(delay, lambda: self._round(host, round_number))

    def _wake(self, host: Host) -> None:
        if host.replica.is_urgent and not self._is_gone(host):
            self._schedule(host, host.replica.draw_pause())

    def _round(self, host: Host, round_number: int) -> None:
        if self._is_gone(host) or round_number != host.round_number:
            return
        target = host.replica.choose_target()
        if target is None:
            self._schedule(host, host.replica.draw_pause(), round_number)
            return
        request = host.replica.make_request(self.now, target)
        self._call(host, target, request, round_number)

    def _call(
        self,
        host: Host,
        target: exchanges.Target,
        request: exchanges.Request,
        round_number: int,
        calls_left: int = MAX_FOLLOW_UPS,
    ) -> None:
        other = self._addresses.get(target.address)
        self.calls += 1
        if other is None or not other.up or other.partition != host.partition:
            self.failed_calls += 1
            self.after(
                CALL_TIMEOUT, lambda: self._fail(host, target, round_number)
            )
            return
        same_region = other.peer.region == host.peer.region
        delay = _SAME_REGION_SECONDS if same_region else _OTHER_REGION_SECONDS
        self.after(
            delay,
            lambda: self._deliver(
                host, other, target, request, round_number, calls_left
            ),
        )

    def _deliver(
        self, host, other, target, request, round_number, calls_left
    ) -> None:
        if not other.up:
            self.after(
                CALL_TIMEOUT, lambda: self._fail(host, target, round_number)
            )
            return
        reply = other.replica.handle_request(self.now, request)
        self._count_bytes(host, other, request)
        self._count_bytes(other, host, reply)
        self._wake(other)
        self.after(
            _SAME_REGION_SECONDS,
            lambda: self._receive_reply(
                host, target, reply, round_number, calls_left
            ),
        )

    def _count_bytes(self, source: Host, sink: Host, message: object) -> None:
        if self._size_of is None:
            return
        size = self._size_of(message) + CALL_OVERHEAD_BYTES // 2
        source.sent_bytes += size
        sink.received_bytes += size

    def _receive_reply(
        self, host, target, reply, round_number, calls_left
    ) -> None:
        if self._is_gone(host):
            return
        follow = host.replica.handle_reply(self.now, target, reply)
        self._record_revision(host)
        if follow is not None and calls_left > 0:
            self._call(host, target, follow, round_number, calls_left - 1)
            return
        self._schedule(host, host.replica.draw_pause(), round_number)

    def _fail(
        self, host: Host, target: exchanges.Target, round_number: int
    ) -> None:
        if self._is_gone(host):
            return
        host.replica.note_failure(self.now, target)
        self._schedule(host, host.replica.draw_pause(), round_number)

    def _record_revision(self, host: Host) -> None:
        revision = host.replica.configuration.revision
        if revision < host.highest:
            host.rollbacks += 1
        host.highest = max(host.highest, revision)
        host.adopted.setdefault(revision, self.now)

    def _run_upkeep(self, host: Host) -> None:
        if self._is_gone(host):
            return
        host.replica.expire_suspects(self.now)
        self._watch(host)
        self.after(UPKEEP_SECONDS, lambda: self._run_upkeep(host))

    def _watch(self, host: Host) -> None:
        watcher = host.replica.is_watcher
        if watcher and not host.watching:
            self.store.watches += 1
            host.read_at = self.now
        host.watching = watcher
        if watcher and self.now >= host.read_at:
            host.read_at = self.now + READ_SECONDS
            self._read(host)

    def publish(self, document: bytes) -> int:
        """Store a document, notify the watchers and return its revision."""
        self._adopt_newest()
        self.store.apply(document)
        self._notify()
        return self.store.snapshot.head.revision

    def restore(self, snapshot: configreplica.Snapshot) -> None:
        """Restore an old snapshot in the store and notify its watchers."""
        self.store.snapshot = snapshot
        self._notify()

    def _notify(self) -> None:
        for host in self.up():
            if host.watching and self.store.up:
                self.store.notices += 1
                self.after(_STORE_SECONDS, lambda h=host: self._read(h))

    def _adopt_newest(self) -> None:
        """Bring the store to the newest revision of any running host.

        Operators have to base a change on the newest revision, also after
        the store was restored from an older one.
        """
        for host in self.up():
            newest = host.replica.configuration.snapshot
            held = self.store.snapshot
            if newest is None:
                continue
            if held is None or newest.head.revision > held.head.revision:
                self.store.snapshot = newest

    def _read(self, host: Host) -> None:
        if self._is_gone(host) or not self.store.up:
            return
        self.store.reads += 1
        snapshot = self.store.snapshot
        if snapshot is None:
            return
        configuration = host.replica.configuration
        configuration.note_store_revision(snapshot.head.revision)
        if configuration.accept_head(snapshot.body):
            missing = configuration.list_missing()
            self.store.reads += len(missing)
            configuration.accept_chunks(self.store.chunks[d] for d in missing)
            host.replica.activate_pending()
            self._record_revision(host)
            self._wake(host)


def make_peers(entries: int, agents: int, domains: int) -> list[fleet.Peer]:
    """Make peers, spread evenly over failure domains in two regions."""
    peers = []
    for index in range(entries + agents):
        domain = index % domains
        role = fleet.Role.ENTRY if index < entries else fleet.Role.AGENT
        endpoint = None
        if role is fleet.Role.AGENT:
            endpoint = _make_endpoint(index - entries, domains)
        peers.append(
            fleet.Peer(
                name=f'{role}-{index}',
                role=role,
                incarnation=1_900_000_000_000 + index,
                failure_domain=f'domain-{domain}',
                region='north' if 2 * domain < domains else 'south',
                address=f'10.0.{index // 250}.{index % 250}:7080',
                endpoint=endpoint,
            )
        )
    return peers


_MODELS = 5
_RANGES = 3
_RANGE_LAYERS = 8


def _make_endpoint(index: int, domains: int) -> fleet.Endpoint:
    kind = index // domains % (_MODELS * _RANGES)
    start = kind % _RANGES * _RANGE_LAYERS
    return fleet.Endpoint(
        kind=fleet.EndpointKind.ENGINE,
        model=f'model-{kind // _RANGES}',
        version='1',
        layer_start=start,
        layer_end=start + _RANGE_LAYERS,
        layer_count=_RANGES * _RANGE_LAYERS,
        accelerator='a100',
        tokens_per_second=4000.0,
    )
