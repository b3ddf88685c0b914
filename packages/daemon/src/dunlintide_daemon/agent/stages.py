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
    'LaterStages',
]

# An agent that leaves still takes sessions whose head did not know yet.
LEAVING_GRACE_SECONDS = 3.0
# The head ends a request at its deadline; later stages only clean up.
DEADLINE_SLACK_SECONDS = 5.0


class LaterStages:
    """The later stages' part of the stage logic."""

    def __init__(self, table: tables.SessionTable) -> None:
        self._table = table
        self._leaving_since: float | None = None

    def start_leaving(self) -> None:
        """Take no new sessions once heads had time to hear of it."""
        self._leaving_since = self._table.clock()

    def accepts_sessions(self) -> bool:
        """Return whether sessions of other heads may still come."""
        since = self._leaving_since
        if since is None:
            return True
        return self._table.clock() - since < LEAVING_GRACE_SECONDS

    def handle_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Take activations of the stage before."""
        session = self._table.find(step.request_id)
        if step.HasField('setup'):
            if session is None or step.epoch > session.epoch:
                session = self.start_session(link, step)
        if session is None:
            self._table.counts.add_drop('unknown-step')
            return
        if session.is_head:
            self._table.counts.add_drop('misdirected-step')
            return
        verdict = session.cursor.accept(step.epoch, step.position, step.count)
        if verdict.runs:
            job = sessions.build_activation_job(session, step, verdict.trim)
            self._table.submit(job)
            return
        self._table.counts.add_drop(f'{verdict.action}-step')
        if verdict.action is positions.Action.GAP:
            code = outcomes.FailCode.GAP
            self._table.fail(session, code, 'positions are missing')

    def _build_session(
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
            known_tokens=setup.known_tokens,
            prefixes=setup.prefixes,
        )

    def _find_rejection(
        self, step: link_pb2.Step | link_pb2.Resume
    ) -> tuple[outcomes.FailCode, str] | None:
        if not self._table.identity.matches(step.setup.chain[step.stage]):
            code = outcomes.FailCode.NO_CAPACITY
            return code, 'the stage is not this agent'
        if not self.accepts_sessions():
            return outcomes.FailCode.LEAVING, 'the stage is leaving'
        if self._table.gate.fault:
            code = outcomes.FailCode.ENDPOINT_FAILED
            return code, self._table.gate.fault
        return None

    def start_session(
        self, link: links.Link, step: link_pb2.Step | link_pb2.Resume
    ) -> sessions.Session | None:
        """Begin a session; None when it may not begin here."""
        if self._table.fences.has_ended(step.request_id, step.epoch):
            return None
        if not 0 < step.stage < len(step.setup.chain):
            return None
        session = self._build_session(link, step)
        self._table.replace(session)
        self._table.on_prompt(session)
        rejection = self._find_rejection(step)
        if rejection is not None:
            self._table.fail(session, *rejection)
            return None
        if not session.is_last:
            self._table.peers.connect(session.next.address)
        self._table.peers.connect(session.head.address)
        return session

    def tick(self, now: float) -> None:
        """Free sessions that nobody ended."""
        for session in self._table.list():
            if session.is_head:
                continue
            if now > session.deadline + DEADLINE_SLACK_SECONDS:
                self._table.counts.add_drop('forgotten-session')
                self._table.release(session)
            elif (
                session.held_since
                and now > session.held_since + gates.HOLD_SECONDS
            ):
                self._table.counts.add('hold-expired')
                self._table.release(session)
