"""Later stages: what this agent runs for the heads of other chains.

Methods run under the gate's lock and must not block.
"""

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import table as tables

__all__ = [
    'Stages',
]

# An agent that leaves still takes sessions whose head did not know yet.
LEAVING_GRACE_SECONDS = 3.0
# The head ends a request at its deadline; later stages only clean up.
SLACK_SECONDS = 5.0


class Stages:
    """The later stages' part of the stage logic."""

    def __init__(self, table: tables.Table) -> None:
        self._table = table
        self._leaving_since: float | None = None

    def leave(self) -> None:
        """Take no new sessions once heads had time to hear of it."""
        self._leaving_since = self._table.clock()

    def is_open(self) -> bool:
        """Return whether sessions of other heads may still come."""
        since = self._leaving_since
        if since is None:
            return True
        return self._table.clock() - since < LEAVING_GRACE_SECONDS

    def take_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Take activations of the stage before."""
        session = self._table.find(step.request_id)
        if step.HasField('setup'):
            if session is None or step.epoch > session.epoch:
                session = self.set_up(link, step)
        if session is None:
            self._table.counts.drop('unknown-step')
            return
        if session.is_head:
            self._table.counts.drop('misdirected-step')
            return
        verdict = session.cursor.accept(step.epoch, step.position, step.count)
        if verdict.runs:
            job = sessions.build_activation_job(session, step, verdict.trim)
            self._table.submit(job)
            return
        self._table.counts.drop(f'{verdict.action}-step')
        if verdict.action is positions.Action.GAP:
            code = outcomes.FailCode.GAP
            self._table.fail(session, code, 'positions are missing')

    def _build(
        self, link: links.Link, step: link_pb2.Step | link_pb2.Resume
    ) -> sessions.Session:
        setup = step.setup
        return sessions.Session(
            step.request_id,
            step.epoch,
            step.stage,
            tuple(setup.chain),
            setup.terms,
            setup.model,
            setup.version,
            setup.max_tokens,
            self._table.clock() + setup.terms.deadline_ms / 1000,
            positions.Cursor(step.epoch),
            prompt_tokens=setup.prompt_tokens,
            upstream=link,
            known=setup.known_tokens,
            prefixes=setup.prefixes,
        )

    def _find_obstacle(
        self, step: link_pb2.Step | link_pb2.Resume
    ) -> tuple[outcomes.FailCode, str] | None:
        if not self._table.identity.fits(step.setup.chain[step.stage]):
            code = outcomes.FailCode.NO_CAPACITY
            return code, 'the stage is not this agent'
        if not self.is_open():
            return outcomes.FailCode.LEAVING, 'the stage is leaving'
        if self._table.gate.fault:
            code = outcomes.FailCode.ENDPOINT_FAILED
            return code, self._table.gate.fault
        return None

    def set_up(
        self, link: links.Link, step: link_pb2.Step | link_pb2.Resume
    ) -> sessions.Session | None:
        """Begin a session; None when it may not begin here."""
        if self._table.fences.has_ended(step.request_id, step.epoch):
            return None
        if not 0 < step.stage < len(step.setup.chain):
            return None
        session = self._build(link, step)
        self._table.replace(session)
        self._table.note_prompt(session)
        obstacle = self._find_obstacle(step)
        if obstacle is not None:
            self._table.fail(session, *obstacle)
            return None
        if not session.is_last:
            self._table.peers.prepare(session.next.address)
        self._table.peers.prepare(session.head.address)
        return session

    def tick(self, now: float) -> None:
        """Free sessions that nobody ended."""
        for session in self._table.list():
            if session.is_head:
                continue
            if now > session.deadline + SLACK_SECONDS:
                self._table.counts.drop('forgotten-session')
                self._table.release(session)
            elif session.held and now > session.held + gates.HOLD_SECONDS:
                self._table.counts.add('hold-expired')
                self._table.release(session)
