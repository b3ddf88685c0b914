"""Agents as this entry sees them: listed, linked, loaded or leaving.

A view behind a lock rather than an actor: link readers write to it and
request threads read from it, and neither may wait for a mailbox. Readers
get immutable records, so they never hold the lock while they decide.
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

_CONTROL = frozenset(('hello', 'load', 'leaving', 'order_reply'))
# Links outside the subset stay open for so long after their last use.
IDLE_SECONDS = 60.0
# Beyond so many of them the longest unused one makes room.
MAX_SPARE = 32
# Bound on opening a link that one request needs.
REACH_SECONDS = 1.0


class Host(Protocol):
    """One process of the fleet, as far as it matters here."""

    name: str
    role: str
    address: str
    is_leaving: bool


@attrs.frozen(eq=False)
class Agent:
    """One agent in one life of it, at one moment.

    :ivar link: the open link to it
    :ivar load: its last report
    :ivar heard: monotonic time of that report, in seconds
    :ivar outstanding: work of this entry that it has not finished
    :ivar leaving: whether it takes no new work
    """

    peer: fleet.Peer
    link: links.Link
    load: fleet.LoadReport = fleet.LoadReport()
    heard: float = 0.0
    outstanding: int = 0
    leaving: bool = False


@attrs.frozen
class Listeners:
    """What the rest of the entry wants to hear of links.

    :ivar frames: called with frames that belong to requests
    :ivar down: called with a link that was lost
    :ivar load: called with an agent that has just told its load
    :ivar reply: called with an agent's answer to an order
    :ivar cache: called with an agent's name and news of its engine's cache
    :ivar up: called with a link to an agent that has just opened
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
    """Keeps a link to each listed agent and tells which are usable."""

    def __init__(
        self,
        hello: Callable[[], link_pb2.Hello],
        listeners: Listeners,
        timing: links.LinkTiming = links.LinkTiming(),
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Begin with no agents.

        :param hello: builds what this entry says of itself
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
        # Links outside the subset: address to the time of the last use.
        self._spare: dict[str, float] = {}
        self._changed = threading.Condition(self._lock)
        self._stopped = False

    def update(
        self,
        hosts: Iterable[Host],
        wanted: Collection[str] | None = None,
    ) -> None:
        """Take in the fleet: dial new agents, drop the gone ones.

        What is known of it lags, so an agent that is gone by it stays
        while its link is open.

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
            known = {host.address for host in listed.values()}
            for address in known & self._dialers.keys() - addresses:
                self._spare.setdefault(address, now)
            for address in addresses & self._spare.keys():
                del self._spare[address]
            started = self._add(addresses)
            dropped = self._drop(addresses | self._spare.keys())
        for dialer in started:
            dialer.start()
        for dialer in dropped:
            dialer.stop()

    def drop_idle(self, now: float) -> None:
        """Close links outside the subset that nothing has used for long.

        :param now: monotonic time in seconds
        """
        with self._lock:
            self._note_busy(now)
            idle = [
                address
                for address, used in self._spare.items()
                if now - used > IDLE_SECONDS
            ]
            dropped = self._take_spare(idle)
        for dialer in dropped:
            dialer.stop()

    def _note_busy(self, now: float) -> None:
        busy = {
            agent.link for agent in self._agents.values() if agent.outstanding
        }
        for address in self._spare:
            if self._dialers[address].link in busy:
                self._spare[address] = now

    def _take_spare(self, addresses: Iterable[str]) -> list[links.Dialer]:
        taken = []
        for address in addresses:
            del self._spare[address]
            taken.append(self._dialers.pop(address))
        return taken

    def _make_room(self, now: float) -> list[links.Dialer]:
        """Give up the longest unused link when there are many."""
        self._note_busy(now)
        free = [address for address, used in self._spare.items() if used < now]
        if len(self._spare) < MAX_SPARE or not free:
            return []
        return self._take_spare([min(free, key=self._spare.__getitem__)])

    def reach(self, name: str, incarnation: int | None) -> Agent | None:
        """Return an agent, dialling it when it is outside the subset.

        :param incarnation: the life of it that is meant, None for any
        :returns: None when that life of it is not reached in time
        """
        now = time.monotonic()
        end = now + REACH_SECONDS
        with self._changed:
            host = self._listed.get(name)
            if host is None or name in self._agents:
                return self._find(name, incarnation)
            if host.address not in self._dialers:
                self._open_spare(host.address, now)
            # One of the subset without a link is being dialled anyway.
            if host.address in self._spare:
                self._changed.wait_for(
                    lambda: name in self._agents, end - time.monotonic()
                )
            return self._find(name, incarnation)

    def _open_spare(self, address: str, now: float) -> None:
        for dialer in self._make_room(now):
            dialer.stop()
        for dialer in self._add({address}):
            self._spare[address] = now + REACH_SECONDS
            dialer.start()

    def touch(self, names: Iterable[str]) -> None:
        """Count agents as used now, so that their links stay open."""
        now = time.monotonic()
        with self._lock:
            for name in names:
                host = self._listed.get(name)
                if host is not None and host.address in self._spare:
                    self._spare[host.address] = now

    def list_unreached(self) -> frozenset[str]:
        """Return the names of listed agents that are dialled in vain."""
        with self._lock:
            return frozenset(
                name
                for name, host in self._listed.items()
                if name not in self._agents and host.address in self._dialers
            )

    def _add(self, addresses: set[str]) -> list[links.Dialer]:
        if self._stopped:
            return []
        take = threads.guard_frames(self._take)
        handlers = links.Handlers(self._greet, take, self._down)
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

    def _drop(self, addresses: set[str]) -> list[links.Dialer]:
        gone = [
            address
            for address, dialer in self._dialers.items()
            if address not in addresses and dialer.link is None
        ]
        return [self._dialers.pop(address) for address in gone]

    def _greet(self, link: links.Link) -> None:
        self._up(link)
        self._listeners.up(link)

    def _up(self, link: links.Link) -> None:
        peer = hellos.read_peer(link.peer)
        if peer is None:
            return
        with self._lock:
            known = self._agents.get(peer.name)
            if known is None or known.peer.incarnation != peer.incarnation:
                agent = Agent(peer, link, leaving=peer.leaving)
            else:
                leaving = known.leaving or peer.leaving
                agent = attrs.evolve(
                    known, peer=peer, link=link, leaving=leaving
                )
            self._agents[peer.name] = agent
            self._changed.notify_all()

    def _down(self, link: links.Link, reason: str) -> None:
        with self._lock:
            name = link.peer.name
            agent = self._agents.get(name)
            if agent is not None and agent.link is link:
                del self._agents[name]
        self._listeners.down(link)

    def _take(self, link: links.Link, frames: list[link_pb2.Frame]) -> None:
        rest = []
        for frame in frames:
            if frame.WhichOneof('body') in _CONTROL:
                self._apply(link, frame)
            else:
                rest.append(frame)
        if rest:
            self._listeners.frames(link, rest)

    def _apply(self, link: links.Link, frame: link_pb2.Frame) -> None:
        body = frame.WhichOneof('body')
        if body == 'hello':
            self._up(link)
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
                agent = attrs.evolve(agent, load=load, heard=time.monotonic())
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
        """Return the agents that may get new work."""
        with self._lock:
            return [
                agent
                for name, agent in self._agents.items()
                if not agent.leaving
                and not agent.load.away
                and name not in self._listed_leaving
            ]

    def list_engines(self, model: str, version: str) -> list[Agent]:
        """Return usable agents that hold layers of a model version."""
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
        """Return an agent, leaving or not, in that life of it."""
        with self._lock:
            return self._find(name, incarnation)

    def _find(self, name: str, incarnation: int | None) -> Agent | None:
        agent = self._agents.get(name)
        if agent is None:
            return None
        same = incarnation in (None, agent.peer.incarnation)
        return agent if same else None

    def pick_usable(self, names: Iterable[str]) -> tuple[Agent, ...] | None:
        """Return the named agents, or None unless all are usable."""
        usable = {agent.peer.name: agent for agent in self.list_usable()}
        picked = [usable.get(name) for name in names]
        return None if None in picked else tuple(picked)

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Add to the outstanding work of agents; negative when it ends."""
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
        """Tell all agents anew what this entry is."""
        for agent in self.list_agents():
            agent.link.send(link_pb2.Frame(hello=hello))

    def describe(self) -> Mapping[str, object]:
        """Return the state for a dump."""
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
                'load_age': round(now - agent.heard, 3),
            }
            for agent in self.list_agents()
        ]
        with self._lock:
            dialled = sorted(self._dialers)
        return {'agents': agents, 'dialled': dialled}

    def stop(self) -> None:
        """Close all links."""
        with self._lock:
            self._stopped = True
            dialers = list(self._dialers.values())
            self._dialers.clear()
            self._spare.clear()
        for dialer in dialers:
            dialer.stop()
