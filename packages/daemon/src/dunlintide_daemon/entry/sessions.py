"""Running requests: frames from the links to the threads that wait.

Link readers put frames on a request's own queue and go on; the request's
thread checks epoch and index as it takes them. While that thread waits
with an empty queue, a reader hands tokens to the thread's relay instead,
which saves waking it. No frame passes through an actor, and a slow caller
holds up nobody else.
"""

import queue
import threading
from typing import Callable, Mapping

import attrs

from dunlintide_adapters import links
from dunlintide_adapters import metrics
from dunlintide_adapters.wire import link_pb2

__all__ = [
    'Event',
    'FrameCounts',
    'LinkLost',
    'Relay',
    'Session',
    'Sessions',
]

MAX_EVENTS_PER_TAKE = 256
_ROUTED_BODIES = frozenset(('token', 'done', 'fail', 'reply'))


@attrs.frozen
class LinkLost:
    """The link to a request's head was lost.

    :ivar epoch: the attempt that ran over it
    """

    epoch: int


ObserveDrop = Callable[[metrics.DropReason, int], None]
# Takes a token on the reader's thread without waiting; False leaves it to
# the request's own.
Relay = Callable[[link_pb2.Token], bool]
Event = (
    link_pb2.Token | link_pb2.Done | link_pb2.Fail | link_pb2.Reply | LinkLost
)


@attrs.define
class FrameCounts:
    """Frames that were dropped, by reason.

    :ivar observe: called with each reason and the number of frames

    :ivar stale: of an older epoch
    :ivar duplicate: tokens that had come before
    :ivar orphan: of a request that has ended here
    :ivar gaps: epochs that failed for a missing token
    :ivar relayed: tokens passed on without waking a request's thread
    """

    stale: int = 0
    duplicate: int = 0
    orphan: int = 0
    gaps: int = 0
    relayed: int = 0
    observe: ObserveDrop = lambda reason, count: None

    def count_stale(self, count: int) -> None:
        """Count frames of an older epoch."""
        self.stale += count
        self.observe(metrics.DropReason.STALE_EPOCH, count)

    def count_duplicate(self) -> None:
        """Count a token that had come before."""
        self.duplicate += 1
        self.observe(metrics.DropReason.DUPLICATE, 1)

    def count_orphan(self) -> None:
        """Count a frame of a request that has ended here."""
        self.orphan += 1
        self.observe(metrics.DropReason.UNKNOWN_REQUEST, 1)

    def count_gap(self) -> None:
        """Count an epoch that failed for a missing token."""
        self.gaps += 1
        self.observe(metrics.DropReason.GAP, 1)

    def describe(self) -> dict[str, int]:
        """Return the counts for a dump."""
        return {
            'stale': self.stale,
            'duplicate': self.duplicate,
            'orphan': self.orphan,
            'gaps': self.gaps,
        }


@attrs.define(eq=False)
class Session:
    """One running request.

    :ivar epoch: number of the current attempt
    :ivar link: the link over which it runs
    """

    request_id: str
    team: str
    rule: str
    deadline: float
    counts: FrameCounts
    epoch: int = 0
    link: links.Link | None = None
    _events: queue.SimpleQueue = attrs.field(factory=queue.SimpleQueue)
    _lock: threading.Lock = attrs.field(factory=threading.Lock)
    _relay: Relay | None = None

    def put(self, event: Event) -> None:
        """Queue an event; called by link readers."""
        with self._lock:
            # What follows must not overtake it.
            self._relay = None
            self._events.put(event)

    def put_token(self, token: link_pb2.Token) -> None:
        """Relay a token, or queue it; called by link readers."""
        with self._lock:
            relay = self._relay
            if relay is not None and relay(token):
                self.counts.relayed += 1
                return
            self._relay = None
            self._events.put(token)

    def report_link_loss(self, link: links.Link) -> None:
        """Queue the loss of a link, if the request runs over it."""
        epoch = self.epoch
        if self.link is link:
            self.put(LinkLost(epoch))

    def _wait(self, timeout: float, relay: Relay | None) -> Event | None:
        with self._lock:
            if self._events.empty():
                self._relay = relay
        try:
            return self._events.get(timeout=max(0.0, timeout))
        except queue.Empty:
            return None
        finally:
            with self._lock:
                self._relay = None

    def take(self, timeout: float, relay: Relay | None = None) -> list[Event]:
        """Return what has come for the current epoch.

        :param timeout: longest wait for the first event, in seconds
        :param relay: takes tokens, and only during this call, for as long
            as nothing was queued
        """
        events = self._events
        first = self._wait(timeout, relay)
        if first is None:
            return []
        taken = [first]
        # Only this thread takes, so what the queue holds stays there.
        for _ in range(min(events.qsize(), MAX_EVENTS_PER_TAKE)):
            taken.append(events.get())
        current = [event for event in taken if event.epoch == self.epoch]
        if len(current) < len(taken):
            self.counts.count_stale(len(taken) - len(current))
        return current


class Sessions:
    """All running requests by their ids."""

    def __init__(
        self, observe: ObserveDrop = lambda reason, count: None
    ) -> None:
        self.counts = FrameCounts(observe=observe)
        self._sessions: dict[str, Session] = {}
        self._lock = threading.Lock()

    def add(
        self, request_id: str, team: str, rule: str, deadline: float
    ) -> Session:
        """Begin a request.

        :param deadline: monotonic time in seconds
        """
        session = Session(request_id, team, rule, deadline, self.counts)
        with self._lock:
            self._sessions[request_id] = session
        return session

    def discard(self, session: Session) -> None:
        """Forget a request; later frames of it are dropped."""
        with self._lock:
            self._sessions.pop(session.request_id, None)

    def route(self, link: links.Link, frames: list[link_pb2.Frame]) -> None:
        """Hand frames to the requests that they belong to."""
        find = self._sessions.get
        for frame in frames:
            body = frame.WhichOneof('body')
            if body not in _ROUTED_BODIES:
                continue
            event = getattr(frame, body)
            session = find(event.request_id)
            if session is None:
                self.counts.count_orphan()
            elif body == 'token':
                session.put_token(event)
            else:
                session.put(event)

    def report_link_loss(self, link: links.Link) -> None:
        """Tell the requests that run over a link that it was lost."""
        for session in self.list():
            session.report_link_loss(link)

    def list(self) -> list[Session]:
        """Return the running requests."""
        with self._lock:
            return list(self._sessions.values())

    def describe(self) -> Mapping[str, object]:
        """Return the state for a dump, without content."""
        sessions = [
            {
                'request_id': one.request_id,
                'member': one.team,
                'rule': one.rule,
                'epoch': one.epoch,
                'deadline': one.deadline,
            }
            for one in self.list()
        ]
        return {
            'dropped': self.counts.describe(),
            'relayed': self.counts.relayed,
            'sessions': sessions,
        }
