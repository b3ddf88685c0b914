"""Running requests, and delivery of frames from links to their threads.

A link reader puts frames on the request's own queue without blocking; the
request's thread checks epoch and index as it takes them. While that thread
waits with an empty queue, the reader calls the thread's relay with tokens
instead, which saves waking the thread. Frames pass through no actor, and
each request has its own queue, so a slow caller delays no other request.
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

    :ivar epoch: number of the attempt that used the link
    """

    epoch: int


ObserveDrop = Callable[[metrics.DropReason, int], None]
# Takes a token on the reader's thread without blocking; False leaves the
# token to the request's thread.
Relay = Callable[[link_pb2.Token], bool]
Event = (
    link_pb2.Token | link_pb2.Done | link_pb2.Fail | link_pb2.Reply | LinkLost
)


@attrs.define
class FrameCounts:
    """Counts of dropped frames by reason, and of relayed tokens.

    :ivar stale: of an older epoch
    :ivar duplicate: tokens that had come before
    :ivar orphan: of a request that has ended here
    :ivar gaps: epochs that failed for a missing token
    :ivar relayed: tokens relayed without waking a request's thread
    :ivar observe: called with each drop reason and the number of frames
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
        """Return the counts of drops for a dump."""
        return {
            'stale': self.stale,
            'duplicate': self.duplicate,
            'orphan': self.orphan,
            'gaps': self.gaps,
        }


@attrs.define(eq=False)
class Session:
    """One running request.

    :ivar rule: name of the rule that applies
    :ivar deadline: monotonic time in seconds
    :ivar epoch: number of the current attempt
    :ivar link: link to the current attempt's head
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
            # A relayed token must not overtake the queued event.
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
        """Queue the loss of a link if the current attempt uses it."""
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
        """Return the queued events of the current epoch.

        :param timeout: longest wait for the first event, in seconds
        :param relay: takes tokens during this call, until an event is
            queued
        """
        events = self._events
        first = self._wait(timeout, relay)
        if first is None:
            return []
        taken = [first]
        # Only this thread takes from the queue, so these gets cannot block.
        for _ in range(min(events.qsize(), MAX_EVENTS_PER_TAKE)):
            taken.append(events.get())
        current = [event for event in taken if event.epoch == self.epoch]
        if len(current) < len(taken):
            self.counts.count_stale(len(taken) - len(current))
        return current


class Sessions:
    """All running requests by id.

    :ivar counts: counts of all requests together
    """

    def __init__(
        self, observe: ObserveDrop = lambda reason, count: None
    ) -> None:
        self.counts = FrameCounts(observe=observe)
        self._sessions: dict[str, Session] = {}
        self._lock = threading.Lock()

    def add(
        self, request_id: str, team: str, rule: str, deadline: float
    ) -> Session:
        """Create the session of a request.

        :param deadline: monotonic time in seconds
        """
        session = Session(request_id, team, rule, deadline, self.counts)
        with self._lock:
            self._sessions[request_id] = session
        return session

    def discard(self, session: Session) -> None:
        """Remove a request; its later frames are dropped."""
        with self._lock:
            self._sessions.pop(session.request_id, None)

    def route(self, link: links.Link, frames: list[link_pb2.Frame]) -> None:
        """Deliver frames to the requests that they belong to."""
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
        """Queue the loss of a link for the requests that use it."""
        for session in self.list():
            session.report_link_loss(link)

    def list(self) -> list[Session]:
        """Return the running requests."""
        with self._lock:
            return list(self._sessions.values())

    def describe(self) -> Mapping[str, object]:
        """Return the state for a dump, without content of requests."""
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
