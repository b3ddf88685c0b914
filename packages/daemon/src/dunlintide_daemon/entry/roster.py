"""Processes of the fleet, and the agents that an entry keeps links to.

The processes are read from the gossip membership, or from the platform's
host list if the entry does not take part in gossip. In a large fleet an
entry keeps links to a subset of the agents only.
"""

import time
from typing import Callable, Iterable

from absl import logging
import attrs
import result

from dunlintide_adapters import hostlist
from dunlintide_core import fleet
from dunlintide_core import records
from dunlintide_core import subset

__all__ = [
    'Host',
    'Roster',
    'Source',
    'mark_leaving_hosts',
    'poll_host_list',
    'poll_membership',
]

# Every entry reads the platform's host list, since only the platform knows
# which hosts it is about to stop. All entries together stay below this
# rate, and each one keeps the minimum interval.
LIST_READS_PER_SECOND = 50.0
MIN_LIST_INTERVAL_SECONDS = 2.0

# Minimum interval of computing the subset, as a multiple of the processor
# time of the last computation, which limits it to 1 % of a core.
_INTERVAL_TO_CPU_TIME = 100.0


@attrs.frozen
class Host:
    """One process of the fleet.

    :ivar state: state in the membership, or ``live`` or ``leaving`` if the
        host list is the source
    :ivar peer: None if the host list is the source
    :ivar witnesses: names of processes that reported it unreachable
    """

    name: str
    role: str
    address: str
    state: str
    failure_domain: str = ''
    peer: fleet.Peer | None = None
    witnesses: tuple[str, ...] = ()

    @property
    def is_leaving(self) -> bool:
        """Whether the process takes no new work."""
        return self.state == records.State.LEAVING


# Returns all processes, or None if nothing changed since the last call.
Source = Callable[[], list[Host] | None]


def poll_host_list(
    read: Callable[[], result.Result[Iterable[object], object]],
) -> Source:
    """Build a source that reads the platform's host list at each call."""

    def poll() -> list[Host] | None:
        listed = read()
        if isinstance(listed, result.Err):
            logging.warning(
                'failed to read the host list: %s', listed.err_value
            )
            return None
        return [
            Host(
                each.name,
                each.role,
                each.address,
                each.state,
                each.failure_domain,
            )
            for each in listed.ok_value
        ]

    return poll


def poll_membership(
    list_present: Callable[[int], tuple[int, list[records.Record]] | None],
) -> Source:
    """Build a source that reads the gossip membership.

    :param list_present: ``FleetState.list_present``
    """
    version = -1

    def poll() -> list[Host] | None:
        nonlocal version
        changed = list_present(version)
        if changed is None:
            return None
        version, present = changed
        return [
            Host(
                each.peer.name,
                each.peer.role,
                each.peer.address,
                each.state,
                each.peer.failure_domain,
                each.peer,
                each.witnesses,
            )
            for each in present
        ]

    return poll


def mark_leaving_hosts(
    source: Source,
    read: Callable[[], result.Result[Iterable[hostlist.Host], object]],
    clock: Callable[[], float] = time.monotonic,
) -> Source:
    """Wrap a source to mark hosts that the platform is about to stop.

    The mark is local and lasts as long as the host list says so. It is not
    gossiped, since the list lags behind and may refer to an earlier
    incarnation of the host.

    :param source: source to wrap
    :param read: reads the platform's host list
    :param clock: monotonic time in seconds
    """
    hosts: list[Host] = []
    leaving: frozenset[str] = frozenset()
    next_read = float('-inf')

    def read_leaving() -> frozenset[str]:
        nonlocal next_read
        entries = sum(host.role == fleet.Role.ENTRY for host in hosts)
        next_read = clock() + max(
            MIN_LIST_INTERVAL_SECONDS, entries / LIST_READS_PER_SECOND
        )
        listed = read()
        if isinstance(listed, result.Err):
            return leaving
        return frozenset(
            host.name
            for host in listed.ok_value
            if host.state == hostlist.HostState.LEAVING
        )

    def mark(host: Host) -> Host:
        if host.name in leaving and host.state == records.State.ALIVE:
            return attrs.evolve(host, state=records.State.LEAVING)
        return host

    def poll() -> list[Host] | None:
        nonlocal hosts, leaving
        changed = source()
        if changed is not None:
            hosts = changed
        listed_leaving = read_leaving() if clock() >= next_read else leaving
        if changed is None and listed_leaving == leaving:
            return None
        leaving = listed_leaving
        return [mark(host) for host in hosts]

    return poll


class Roster:
    """Current processes of the fleet, and the subset of agents to link to.

    :ivar hosts: all processes that the source lists
    :ivar wanted: names of the agents to keep links to, None for all
    """

    def __init__(
        self,
        name: str,
        source: Source,
        full_mesh: int = subset.FULL_MESH_AGENTS,
        target: int = subset.DEFAULT_AGENTS,
    ) -> None:
        """Initialize without processes.

        :param name: name of this entry
        :param source: returns the processes of the fleet
        :param full_mesh: maximum number of agents up to which the entry
            links to all of them
        :param target: number of agents to link to in a larger fleet
        """
        self.hosts: tuple[Host, ...] = ()
        self.wanted: frozenset[str] | None = None
        self._name = name
        self._source = source
        self._full_mesh = full_mesh
        self._target = target
        self._stale = False
        self._next_computation = 0.0

    def map_entries(self) -> dict[str, str]:
        """Return the address of each entry by name."""
        return {
            host.name: host.address
            for host in self.hosts
            if host.role == fleet.Role.ENTRY
        }

    def refresh(self, now: float) -> bool:
        """Read the source and compute the subset anew if necessary.

        :param now: monotonic time in seconds
        :returns: whether ``hosts`` or ``wanted`` may have changed
        """
        hosts = self._source()
        if hosts is not None:
            self.hosts = tuple(hosts)
            self._stale = True
        if not self._stale:
            return False
        if now >= self._next_computation:
            self._choose_subset(now)
        return hosts is not None or not self._stale

    def _choose_subset(self, now: float) -> None:
        self._stale = False
        peers = [host.peer for host in self.hosts if host.peer is not None]
        entries = [each for each in peers if each.role is fleet.Role.ENTRY]
        agents = [
            host.peer
            for host in self.hosts
            if host.role == fleet.Role.AGENT
            and host.peer is not None
            and host.state == records.State.ALIVE
        ]
        is_member = any(each.name == self._name for each in entries)
        if not is_member or len(agents) <= self._full_mesh:
            self.wanted = None
            return
        start = time.thread_time()
        assigned = subset.assign(entries, agents, self._target)
        self._next_computation = (
            now + (time.thread_time() - start) * _INTERVAL_TO_CPU_TIME
        )
        own_agents = assigned[self._name]
        self.wanted = frozenset(agent.name for agent in own_agents)
