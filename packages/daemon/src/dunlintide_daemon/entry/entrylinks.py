"""Links between entries, over which they share limits of teams.

Teams are divided into shards, each coordinated by one entry. An entry
dials only the first two candidates of each shard; all entries rank the
candidates in the same order.
"""

import threading
import time
from typing import Callable, Iterable, Protocol

import attrs
import grpc

from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import hashing
from dunlintide_daemon.entry import threads

__all__ = [
    'CANDIDATES_PER_SHARD',
    'SHARD_COUNT',
    'EntryLinks',
    'Host',
    'build_instance_id',
]

SHARD_COUNT = 4
CANDIDATES_PER_SHARD = 2
# Demands are sent about once a second, so pings only matter on links that
# carry no demands.
LINK_TIMING = links.LinkTiming(ping=2.0, silence=6.0, redial=2.0)


# Time for which the first candidate may be unreachable before the next is
# used. Entries that use different coordinators share only among those that
# use the same one.
FAILOVER_DELAY_SECONDS = 4.0


class Host(Protocol):
    """Fields of a host in the platform's list that are used here."""

    name: str
    role: str
    address: str


def build_instance_id(hello: link_pb2.Hello) -> str:
    """Return the id of one incarnation of a process, NAME@INCARNATION."""
    return f'{hello.name}@{hello.incarnation}'


def _rank_candidates(names: Iterable[str], shard: int) -> tuple[str, ...]:
    ranked = sorted(names, key=lambda name: hashing.hash_text(name, shard))
    return tuple(ranked[:CANDIDATES_PER_SHARD])


@attrs.frozen
class _Membership:
    """Entries of the host list.

    :ivar entry_count: number of entries, this one included
    :ivar candidates: names that may coordinate, in order, by shard
    """

    entry_count: int
    candidates: tuple[tuple[str, ...], ...]


class EntryLinks:
    """Accepts links from other entries and dials the coordinators."""

    def __init__(
        self,
        name: str,
        listen: str,
        hello: Callable[[], link_pb2.Hello],
        handle_frames: Callable[[links.Link, list[link_pb2.Frame]], None],
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Bind the address.

        :param name: this entry's name
        :param listen: HOST:PORT to accept links on
        :param hello: builds this entry's hello
        :param handle_frames: called with frames of other entries
        :raises OSError: when the port is taken
        """
        self._name = name
        self._transport = transport
        self._hello = hello
        self._handle_frames = threads.guard_frames(handle_frames)
        self._lock = threading.Lock()
        self._dialers: dict[str, links.Dialer] = {}
        self._links_by_name: dict[str, links.Link] = {}
        self._stopped = False
        self._last_reached = [time.monotonic()] * SHARD_COUNT
        self._membership = self._build_membership(())
        accepted = links.Handlers(
            lambda link: None, self._handle_frames, lambda link, reason: None
        )
        self._server = linkserver.LinkServer(
            listen, hello, accepted, LINK_TIMING, transport=transport
        )

    @property
    def port(self) -> int:
        """Port on which links are accepted."""
        return self._server.port

    @property
    def server(self) -> grpc.aio.Server:
        """The gRPC server, for adding further services before start."""
        return self._server.server

    @property
    def entry_count(self) -> int:
        """Number of entries, this one included."""
        return self._membership.entry_count

    def _build_membership(self, names: Iterable[str]) -> _Membership:
        known = {self._name, *names}
        candidates = tuple(
            _rank_candidates(known, shard) for shard in range(SHARD_COUNT)
        )
        return _Membership(len(known), candidates)

    def update(self, hosts: Iterable[Host]) -> None:
        """Update the membership and the dialers from a new host list."""
        listed = {
            host.name: host.address
            for host in hosts
            if host.role == fleet.Role.ENTRY
        }
        membership = self._build_membership(listed)
        wanted = {
            listed[name]
            for ranked in membership.candidates
            for name in ranked
            if name != self._name
        }
        with self._lock:
            if self._stopped:
                return
            self._membership = membership
            gone = [
                self._dialers.pop(address)
                for address in self._dialers.keys() - wanted
            ]
            added = [
                self._dial(address)
                for address in wanted - self._dialers.keys()
            ]
        for dialer in gone:
            dialer.stop()
        for dialer in added:
            dialer.start()

    def _dial(self, address: str) -> links.Dialer:
        handlers = links.Handlers(
            self._add_link, self._handle_frames, self._remove_link
        )
        dialer = links.Dialer(
            address,
            self._hello,
            handlers,
            LINK_TIMING,
            transport=self._transport,
            role=fleet.Role.ENTRY,
        )
        self._dialers[address] = dialer
        return dialer

    def _add_link(self, link: links.Link) -> None:
        with self._lock:
            self._links_by_name[link.peer.name] = link

    def _remove_link(self, link: links.Link, reason: str) -> None:
        with self._lock:
            if self._links_by_name.get(link.peer.name) is link:
                del self._links_by_name[link.peer.name]

    def choose_coordinator(self, shard: int) -> str:
        """Choose the coordinator of a shard.

        :returns: its instance id; empty while the first candidate is
            unreachable for less than the failover delay, or when no
            candidate is reachable
        """
        now = time.monotonic()
        with self._lock:
            first, *others = self._membership.candidates[shard]
            found = self._find_instance_id(first)
            if found:
                self._last_reached[shard] = now
            if (
                found
                or now < self._last_reached[shard] + FAILOVER_DELAY_SECONDS
            ):
                return found
            return next(filter(None, map(self._find_instance_id, others)), '')

    def _find_instance_id(self, name: str) -> str:
        if name == self._name:
            return self.get_instance_id()
        link = self._links_by_name.get(name)
        return build_instance_id(link.peer) if link is not None else ''

    def get_instance_id(self) -> str:
        """Return the id of this incarnation of this entry."""
        return build_instance_id(self._hello())

    def send(self, coordinator: str, frame: link_pb2.Frame) -> bool:
        """Send a frame to a coordinator.

        :param coordinator: its instance id
        :returns: False when there is no link to that incarnation
        """
        name = coordinator.rpartition('@')[0]
        with self._lock:
            link = self._links_by_name.get(name)
        if link is None or build_instance_id(link.peer) != coordinator:
            return False
        return link.send(frame)

    def start(self) -> None:
        """Accept links."""
        self._server.start()

    def stop(self) -> None:
        """Close all links and free the port."""
        with self._lock:
            self._stopped = True
            dialers = list(self._dialers.values())
            self._dialers.clear()
        for dialer in dialers:
            dialer.stop()
        self._server.stop()
