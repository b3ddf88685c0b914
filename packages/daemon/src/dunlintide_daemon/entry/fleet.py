"""Links to agents, and the last reported state of each agent.

The state is guarded by a lock rather than owned by an actor: link readers
write it and request threads read it, and neither may wait for a mailbox.
Readers get immutable records, so they don't hold the lock while they
choose an agent.
"""

import threading
import time
from typing import Callable, Collection, Iterable, Mapping, Protocol

import attrs

from dunlintide_adapters import links
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_daemon.entry import hellos
from dunlintide_daemon.entry import threads

__all__ = [
    'Agent',
    'Fleet',
    'Host',
    'Listeners',
]

# Bodies of frames that update the state of an agent or answer an order; all
# others belong to requests.
_CONTROL_BODIES = frozenset(('hello', 'load', 'leaving', 'order_reply'))
# An on-demand link, to an agent outside this entry's subset, is closed when
# it has been unused for this long.
IDLE_SECONDS = 60.0
# At this many on-demand links, a new one replaces the least recently used.
MAX_ON_DEMAND_LINKS = 32
# Bound on the wait of a request for an on-demand link to open.
CONNECT_SECONDS = 1.0


class Host(Protocol):
    """Fields of a fleet member that links depend on."""

    name: str
    role: str
    address: str
    is_leaving: bool


@attrs.frozen(eq=False)
class Agent:
    """Immutable state of one incarnation of a linked agent.

    :ivar link: open link to the agent
    :ivar load: last load report
    :ivar reported_at: monotonic time of the last load report, in seconds
    :ivar outstanding: number of unfinished requests of this entry
    :ivar leaving: whether the agent takes no new work
    """

    peer: fleet.Peer
    link: links.Link
    load: fleet.LoadReport = fleet.LoadReport()
    reported_at: float = 0.0
    outstanding: int = 0
    leaving: bool = False


@attrs.frozen
class Listeners:
    """Callbacks for frames and link events.

    :ivar frames: called with frames that belong to requests
    :ivar down: called with a lost link
    :ivar load: called with an agent after each of its load reports
    :ivar reply: called with an agent's answer to a placement order
    :ivar up: called with a newly opened link to an agent
    :ivar cache: called with an agent's name and a prefix cache update of
        its engine
    """

    frames: Callable[[links.Link, list[link_pb2.Frame]], None]
    down: Callable[[links.Link], None]
    load: Callable[['Agent'], None] = lambda agent: None
    reply: Callable[[links.Link, link_pb2.OrderReply], None] = (
        lambda link, reply: None
    )
    up: Callable[[links.Link], None] = lambda link: None
    cache: Callable[[str, link_pb2.CacheNews], None] = lambda name, news: None


class Fleet:
    """Keeps links to the agents of the subset and lists usable agents."""

    def __init__(
        self,
        hello: Callable[[], link_pb2.Hello],
        listeners: Listeners,
        timing: links.LinkTiming = links.LinkTiming(),
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Initialize without agents.

        :param hello: builds the hello message of this entry
        :param listeners: callbacks for frames and link events
        """
        self._hello = hello
        self._listeners = listeners
        self._timing = timing
        self._transport = transport
        self._lock = threading.Lock()
        self._dialers: dict[str, links.Dialer] = {}
        self._agents: dict[str, Agent] = {}
        self._listed: dict[str, Host] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        # On-demand links: address to the monotonic time of the last use.
        self._on_demand: dict[str, float] = {}
        self._agent_linked = threading.Condition(self._lock)
        self._stopped = False

    def update(
        self,
        hosts: Iterable[Host],
        wanted: Collection[str] | None = None,
    ) -> None:
        """Apply a new member list: dial new agents, drop unlisted ones.

        The list lags behind, so an unlisted agent is kept while its link
        is open.

        :param hosts: all members of the fleet
        :param wanted: names of the agents to keep links to, None for all
        """
        listed = {
            host.name: host for host in hosts if host.role == fleet.Role.AGENT
        }
        addresses = {
            host.address
            for name, host in listed.items()
            if wanted is None or name in wanted
        }
        leaving = frozenset(
            name for name, host in listed.items() if host.is_leaving
        )
        now = time.monotonic()
        with self._lock:
            self._listed = listed
            self._listed_leaving = leaving
            listed_addresses = {host.address for host in listed.values()}
            for address in listed_addresses & self._dialers.keys() - addresses:
                self._on_demand.setdefault(address, now)
            for address in addresses & self._on_demand.keys():
                del self._on_demand[address]
            started = self._add_dialers(addresses)
            dropped = self._remove_unlisted(addresses | self._on_demand.keys())
        for dialer in started:
            dialer.start()
        for dialer in dropped:
            dialer.stop()

    def drop_idle(self, now: float) -> None:
        """Close on-demand links that have been idle for too long.

        :param now: monotonic time in seconds
        """
        with self._lock:
            self._touch_busy(now)
            idle = [
                address
                for address, used in self._on_demand.items()
                if now - used > IDLE_SECONDS
            ]
            dropped = self._remove_on_demand(idle)
        for dialer in dropped:
            dialer.stop()

    def _touch_busy(self, now: float) -> None:
        busy = {
            agent.link for agent in self._agents.values() if agent.outstanding
        }
        for address in self._on_demand:
            if self._dialers[address].link in busy:
                self._on_demand[address] = now

    def _remove_on_demand(
        self, addresses: Iterable[str]
    ) -> list[links.Dialer]:
        removed = []
        for address in addresses:
            del self._on_demand[address]
            removed.append(self._dialers.pop(address))
        return removed

    def _evict_least_recent(self, now: float) -> list[links.Dialer]:
        """Remove the least recently used on-demand link if at the limit."""
        self._touch_busy(now)
        free = [
            address for address, used in self._on_demand.items() if used < now
        ]
        if len(self._on_demand) < MAX_ON_DEMAND_LINKS or not free:
            return []
        return self._remove_on_demand(
            [min(free, key=self._on_demand.__getitem__)]
        )

    def connect(self, name: str, incarnation: int | None) -> Agent | None:
        """Return an agent, dialling it if it is outside the subset.

        :param incarnation: required incarnation, None for any
        :returns: None if that incarnation is not linked; waits up to
            ``CONNECT_SECONDS``, for an on-demand link only
        """
        now = time.monotonic()
        end = now + CONNECT_SECONDS
        with self._agent_linked:
            host = self._listed.get(name)
            if host is None or name in self._agents:
                return self._find(name, incarnation)
            if host.address not in self._dialers:
                self._open_on_demand(host.address, now)
            # An unlinked agent of the subset is redialled in the background;
            # the request does not wait for it.
            if host.address in self._on_demand:
                self._agent_linked.wait_for(
                    lambda: name in self._agents, end - time.monotonic()
                )
            return self._find(name, incarnation)

    def _open_on_demand(self, address: str, now: float) -> None:
        for dialer in self._evict_least_recent(now):
            dialer.stop()
        for dialer in self._add_dialers({address}):
            # A time ahead protects the link from eviction while it opens.
            self._on_demand[address] = now + CONNECT_SECONDS
            dialer.start()

    def touch(self, names: Iterable[str]) -> None:
        """Mark on-demand links as used now, so that they stay open."""
        now = time.monotonic()
        with self._lock:
            for name in names:
                host = self._listed.get(name)
                if host is not None and host.address in self._on_demand:
                    self._on_demand[host.address] = now

    def list_unconnected(self) -> frozenset[str]:
        """Return names of listed agents that are dialled but not linked."""
        with self._lock:
            return frozenset(
                name
                for name, host in self._listed.items()
                if name not in self._agents and host.address in self._dialers
            )

    def _add_dialers(self, addresses: set[str]) -> list[links.Dialer]:
        if self._stopped:
            return []
        handle = threads.guard_frames(self._handle_frames)
        handlers = links.Handlers(self._handle_open, handle, self._handle_loss)
        added = []
        for address in addresses - self._dialers.keys():
            dialer = links.Dialer(
                address,
                self._hello,
                handlers,
                self._timing,
                transport=self._transport,
                role=fleet.Role.AGENT,
            )
            self._dialers[address] = dialer
            added.append(dialer)
        return added

    def _remove_unlisted(self, addresses: set[str]) -> list[links.Dialer]:
        unlisted = [
            address
            for address, dialer in self._dialers.items()
            if address not in addresses and dialer.link is None
        ]
        return [self._dialers.pop(address) for address in unlisted]

    def _handle_open(self, link: links.Link) -> None:
        self._record_agent(link)
        self._listeners.up(link)

    def _record_agent(self, link: links.Link) -> None:
        peer = hellos.read_peer(link.peer)
        if peer is None:
            return
        with self._lock:
            previous = self._agents.get(peer.name)
            if (
                previous is None
                or previous.peer.incarnation != peer.incarnation
            ):
                agent = Agent(peer, link, leaving=peer.leaving)
            else:
                leaving = previous.leaving or peer.leaving
                agent = attrs.evolve(
                    previous, peer=peer, link=link, leaving=leaving
                )
            self._agents[peer.name] = agent
            self._agent_linked.notify_all()

    def _handle_loss(self, link: links.Link, reason: str) -> None:
        with self._lock:
            name = link.peer.name
            agent = self._agents.get(name)
            if agent is not None and agent.link is link:
                del self._agents[name]
        self._listeners.down(link)

    def _handle_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        request_frames = []
        for frame in frames:
            if frame.WhichOneof('body') in _CONTROL_BODIES:
                self._handle_control(link, frame)
            else:
                request_frames.append(frame)
        if request_frames:
            self._listeners.frames(link, request_frames)

    def _handle_control(self, link: links.Link, frame: link_pb2.Frame) -> None:
        body = frame.WhichOneof('body')
        if body == 'hello':
            self._record_agent(link)
            return
        if body == 'order_reply':
            self._listeners.reply(link, frame.order_reply)
            return
        with self._lock:
            agent = self._agents.get(link.peer.name)
            if agent is None or agent.link is not link:
                return
            if body == 'leaving':
                agent = attrs.evolve(agent, leaving=True)
            else:
                load = hellos.read_load(frame.load)
                agent = attrs.evolve(
                    agent, load=load, reported_at=time.monotonic()
                )
            self._agents[link.peer.name] = agent
        if body == 'load':
            self._listeners.load(agent)
            if frame.load.HasField('cache'):
                self._listeners.cache(agent.peer.name, frame.load.cache)

    def list_agents(self) -> list[Agent]:
        """Return all agents with an open link."""
        with self._lock:
            return list(self._agents.values())

    def list_usable(self) -> list[Agent]:
        """Return linked agents that may get new work."""
        with self._lock:
            return [
                agent
                for name, agent in self._agents.items()
                if not agent.leaving
                and not agent.load.away
                and name not in self._listed_leaving
            ]

    def list_engines(self, model: str, version: str) -> list[Agent]:
        """Return usable agents that serve layers of a model version."""
        return [
            agent
            for agent in self.list_usable()
            if agent.peer.endpoint.kind is fleet.EndpointKind.ENGINE
            and not agent.peer.endpoint.is_spare
            and agent.peer.endpoint.model == model
            and agent.peer.endpoint.version == version
        ]

    def list_services(self, service: str) -> list[Agent]:
        """Return usable agents of a plain service."""
        return [
            agent
            for agent in self.list_usable()
            if agent.peer.endpoint.kind is fleet.EndpointKind.SERVICE
            and agent.peer.endpoint.service == service
        ]

    def find(self, name: str, incarnation: int) -> Agent | None:
        """Return one incarnation of a linked agent, even if it is leaving."""
        with self._lock:
            return self._find(name, incarnation)

    def _find(self, name: str, incarnation: int | None) -> Agent | None:
        agent = self._agents.get(name)
        if agent is None:
            return None
        is_match = incarnation in (None, agent.peer.incarnation)
        return agent if is_match else None

    def pick_usable(self, names: Iterable[str]) -> tuple[Agent, ...] | None:
        """Return the named agents, or None unless all are usable."""
        usable = {agent.peer.name: agent for agent in self.list_usable()}
        picked = [usable.get(name) for name in names]
        return None if None in picked else tuple(picked)

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Add to the outstanding requests of agents.

        :param amount: 1 when a request starts, -1 when it ends
        """
        with self._lock:
            for name in names:
                agent = self._agents.get(name)
                if agent is None:
                    continue
                outstanding = max(0, agent.outstanding + amount)
                self._agents[name] = attrs.evolve(
                    agent, outstanding=outstanding
                )

    def announce(self, hello: link_pb2.Hello) -> None:
        """Send an updated hello to all agents."""
        for agent in self.list_agents():
            agent.link.send(link_pb2.Frame(hello=hello))

    def describe(self) -> Mapping[str, object]:
        """Return the state for a dump as JSON-compatible values."""
        now = time.monotonic()
        agents = [
            {
                'name': agent.peer.name,
                'incarnation': agent.peer.incarnation,
                'address': agent.peer.address,
                'endpoint': attrs.asdict(agent.peer.endpoint),
                'leaving': agent.leaving,
                'away': agent.load.away,
                'outstanding': agent.outstanding,
                'running': agent.load.running,
                'queued': agent.load.queued,
                'load_age': round(now - agent.reported_at, 3),
            }
            for agent in self.list_agents()
        ]
        with self._lock:
            dialled = sorted(self._dialers)
        return {'agents': agents, 'dialled': dialled}

    def stop(self) -> None:
        """Close all links and dial no more."""
        with self._lock:
            self._stopped = True
            dialers = list(self._dialers.values())
            self._dialers.clear()
            self._on_demand.clear()
        for dialer in dialers:
            dialer.stop()
