"""Sessions at one agent, and how they end."""

import time
from typing import Callable

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import activations
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import requests
from dunlintide_daemon.agent import sessions

__all__ = [
    'Identity',
    'SessionTable',
]

# Failures of one stage that leave the state of the others usable.
_RECOVERABLE = frozenset(
    (
        outcomes.FailCode.LINK_LOST,
        outcomes.FailCode.ENDPOINT_FAILED,
        outcomes.FailCode.LEAVING,
    )
)


@attrs.frozen
class Identity:
    """Who this agent is in a chain."""

    name: str
    incarnation: int
    model: str
    version: str
    layer_start: int
    layer_end: int

    def matches(self, stage: link_pb2.Stage) -> bool:
        """Return whether a stage of a chain is this agent, in this life."""
        return (
            stage.agent == self.name
            and stage.incarnation in (0, self.incarnation)
            and stage.layer_start == self.layer_start
            and stage.layer_end == self.layer_end
        )


class SessionTable:
    """The newest session of each request; the gate's lock guards it.

    :ivar driver: set before the first use
    :ivar fences: epochs that have ended here
    :ivar kept: what was sent to the next stages
    :ivar note_prompt: called with a session whose prompt's length has
        become known; must not block
    """

    def __init__(
        self,
        identity: Identity,
        gate: gates.Gate,
        peers: peering.Peers,
        counts: counting.Counts,
        activation_store: activations.Store,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.activation_store = activation_store
        self.identity = identity
        self.gate = gate
        self.peers = peers
        self.counts = counts
        self.clock = clock
        self.driver: drivers.Driver | None = None
        self.on_prompt: Callable[[sessions.Session], None] = (
            lambda session: None
        )
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

    def is_current(self, session: sessions.Session) -> bool:
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

    def replace_copy(self, session: sessions.Session) -> None:
        """Put a changed copy in place; late results of the old are lost."""
        self._sessions[session.request_id] = session

    def set_chain(
        self, session: sessions.Session, chain: tuple[link_pb2.Stage, ...]
    ) -> None:
        """Give a head's session another chain."""
        self._count_head(session, -1)
        session.chain = chain
        self._count_head(session, 1)

    def submit(self, job: drivers.Job) -> None:
        """Have the engine run a step."""
        request = job.owner.request
        if request is not None:
            request.steps_under_way += 1
        self.driver.submit(job)

    def free(self, session: sessions.Session) -> None:
        """Drop a session's steps and its KV cache on the engine."""
        dropped = self.driver.free(session.request_id)
        if session.request is not None:
            session.request.steps_under_way -= dropped

    def finish_step(self, session: sessions.Session) -> None:
        """Take note that the engine is done with a step, however."""
        if session.request is not None:
            self.gate.finish_step(session.request)

    def release(self, session: sessions.Session) -> None:
        """Free a session here and in the stages behind."""
        if not self.is_current(session):
            return
        del self._sessions[session.request_id]
        self._count_head(session, -1)
        self.fences.end(session.request_id, session.epoch)
        self.free(session)
        self.activation_store.drop(session.request_id)
        self.cancel_next(session, hold=session.later_stages_hold)

    def cancel_next(
        self, session: sessions.Session, *, hold: bool = False
    ) -> None:
        """Tell the next stage that this epoch has ended.

        :param hold: whether the stage keeps its state for a Resume
        """
        if not session.next_has_setup:
            return
        cancel = link_pb2.Cancel(
            request_id=session.request_id, epoch=session.epoch, hold=hold
        )
        frame = link_pb2.Frame(cancel=cancel)
        self.peers.send(session.next.address, frame)

    def _can_hold(
        self, session: sessions.Session, code: outcomes.FailCode, agent: str
    ) -> bool:
        if code not in _RECOVERABLE or session.is_last:
            return False
        return agent != self.identity.name and session.ran_end > 0

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
        lost = code is outcomes.FailCode.LINK_LOST
        if session.held_since is not None and lost:
            return
        if session.is_head and ran and self._can_hold(session, code, agent):
            if session.held_since is None:
                session.held_since = self.clock()
                self.gate.hold(session.request, code, detail, agent)
            return
        session.later_stages_hold = code in _RECOVERABLE
        if session.is_head:
            # Ending the work stops the session.
            self.gate.fail(session.request, code, detail, agent, ran)
            return
        if lost:
            # Its own state is whole; a Resume may ask for it.
            session.held_since = self.clock()
        else:
            self.release(session)
        frame = requests.build_fail(
            session.request_id,
            session.epoch,
            code,
            detail,
            ran=True,
            agent=agent,
        )
        self.peers.send(session.head.address, frame)
