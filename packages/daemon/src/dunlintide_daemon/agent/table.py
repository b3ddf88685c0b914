"""Sessions at one agent, and how they end."""

import time
from typing import Callable

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import works

__all__ = [
    'Identity',
    'Table',
]


@attrs.frozen
class Identity:
    """Who this agent is in a chain."""

    name: str
    incarnation: int
    model: str
    version: str
    layer_start: int
    layer_end: int

    def fits(self, stage: link_pb2.Stage) -> bool:
        """Return whether a stage of a chain is this agent, in this life."""
        return (
            stage.agent == self.name
            and stage.incarnation in (0, self.incarnation)
            and stage.layer_start == self.layer_start
            and stage.layer_end == self.layer_end
        )


class Table:
    """The newest session of each request; the gate's lock guards it.

    :ivar driver: set before the first use
    :ivar fences: epochs that have ended here
    """

    def __init__(
        self,
        identity: Identity,
        gate: gates.Gate,
        peers: peering.Peers,
        counts: counting.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.identity = identity
        self.gate = gate
        self.peers = peers
        self.counts = counts
        self.clock = clock
        self.driver: drivers.Driver | None = None
        self.fences = positions.Fences()
        self._sessions: dict[str, sessions.Session] = {}
        # Of the sessions that this agent heads over several stages.
        self._heads = 0
        self._head_stages = 0

    def __len__(self) -> int:
        return len(self._sessions)

    def find(self, request_id: str) -> sessions.Session | None:
        """Return the session of a request."""
        return self._sessions.get(request_id)

    def holds(self, session: sessions.Session) -> bool:
        """Return whether a session has not ended."""
        return self._sessions.get(session.request_id) is session

    def list(self) -> list[sessions.Session]:
        """Return all sessions."""
        return list(self._sessions.values())

    def limit_batch(self) -> int:
        """Return how many steps one call to the engine may take.

        A head whose sessions all ran in one batch would leave the other
        stages idle meanwhile, so it makes a batch for each stage.
        """
        heads, stages = self._heads, self._head_stages
        if not heads:
            return drivers.MAX_STEPS
        return -(-heads * heads // stages)

    def _count_head(self, session: sessions.Session, change: int) -> None:
        if session.is_head and not session.is_last:
            self._heads += change
            self._head_stages += change * len(session.chain)

    def replace(self, session: sessions.Session) -> None:
        """Add a session in place of an older one of its request."""
        old = self._sessions.get(session.request_id)
        if old is not None:
            self.release(old)
        self._sessions[session.request_id] = session
        self._count_head(session, 1)

    def release(self, session: sessions.Session) -> None:
        """Free a session here and in the stages behind."""
        if not self.holds(session):
            return
        del self._sessions[session.request_id]
        self._count_head(session, -1)
        self.fences.end(session.request_id, session.epoch)
        self.driver.free(session.request_id)
        if session.announced:
            cancel = link_pb2.Cancel(
                request_id=session.request_id, epoch=session.epoch
            )
            frame = link_pb2.Frame(cancel=cancel)
            self.peers.send(session.next.address, frame)

    def fail(
        self,
        session: sessions.Session,
        code: outcomes.FailCode,
        detail: str,
        agent: str = '',
        ran: bool = True,
    ) -> None:
        """End a session's epoch, and tell the head unless it is here.

        :param agent: agent at fault, this one by default
        :param ran: False only when nothing ran; counts at the head
        """
        agent = agent or self.identity.name
        if session.is_head:
            # Ending the work stops the session.
            self.gate.fail(session.work, code, detail, agent, ran)
            return
        self.release(session)
        frame = works.build_fail(
            session.request_id,
            session.epoch,
            code,
            detail,
            ran=True,
            agent=agent,
        )
        self.peers.send(session.head.address, frame)
