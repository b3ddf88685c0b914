"""Table of the sessions at one agent, and the ways in which they end."""

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

# Failures of one stage after which the state of the others is usable.
_RECOVERABLE = frozenset(
    (
        outcomes.FailCode.LINK_LOST,
        outcomes.FailCode.ENDPOINT_FAILED,
        outcomes.FailCode.LEAVING,
    )
)


@attrs.frozen
class Identity:
    """Name, incarnation and layers of this agent as a stage of a chain."""

    name: str
    incarnation: int
    model: str
    version: str
    layer_start: int
    layer_end: int

    def matches(self, stage: link_pb2.Stage) -> bool:
        """Return whether a stage of a chain names this agent process."""
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
    :ivar activation_store: activations sent to the next stages
    :ivar on_prompt: called with a session once the length of its prompt is
        known; must not block
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
        # Number and total chain length of the sessions with several stages
        # that this agent heads.
        self._heads = 0
        self._head_stages = 0

    def __len__(self) -> int:
        return len(self._sessions)

    def find(self, request_id: str) -> sessions.Session | None:
        """Return the session of a request."""
        return self._sessions.get(request_id)

    def is_current(self, session: sessions.Session) -> bool:
        """Return whether a session is the current one of its request."""
        return self._sessions.get(session.request_id) is session

    def list(self) -> list[sessions.Session]:
        """Return all sessions."""
        return list(self._sessions.values())

    def limit_batch(self) -> int:
        """Return the maximum number of steps in one call to the engine.

        If all sessions of a head ran in one batch, the other stages would be
        idle meanwhile. Its sessions are split into one batch per stage.
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
        """Replace a session by a copy, so that late results are dropped."""
        self._sessions[session.request_id] = session

    def set_chain(
        self, session: sessions.Session, chain: tuple[link_pb2.Stage, ...]
    ) -> None:
        """Set the chain of a session."""
        self._count_head(session, -1)
        session.chain = chain
        self._count_head(session, 1)

    def submit(self, job: drivers.Job) -> None:
        """Submit a step to the engine."""
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
        """Record that a step is finished, with or without a result."""
        if session.request is not None:
            self.gate.finish_step(session.request)

    def release(self, session: sessions.Session) -> None:
        """End a session here and at the later stages."""
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
        """Cancel this epoch at the next stage.

        :param hold: whether the stage holds its state for a Resume
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
        """End an epoch of a session and report the failure to the head.

        If only another stage was lost, the session is held for a Resume
        instead of being released.

        :param agent: agent at fault, this one by default
        :param ran: False only when no step ran; used at the head only
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
            # The gate stops the session through ``Request.stop``.
            self.gate.fail(session.request, code, detail, agent, ran)
            return
        if lost:
            # The state of this stage is intact and may be resumed.
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
