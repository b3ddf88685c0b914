"""Later stages: sessions that this agent runs for other agents' heads.

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

# A leaving agent accepts sessions until other agents must have heard of it.
LEAVING_GRACE_SECONDS = 3.0
# The head enforces the deadline; later stages only clean up after it.
DEADLINE_SLACK_SECONDS = 5.0


class LaterStages:
    """Handles messages as a later stage of a chain."""

    def __init__(self, table: tables.SessionTable) -> None:
        self._table = table
        self._leaving_since: float | None = None

    def start_leaving(self) -> None:
        """Accept no new sessions once the grace time has passed."""
        self._leaving_since = self._table.clock()

    def accepts_sessions(self) -> bool:
        """Return whether new sessions are still accepted."""
        since = self._leaving_since
        if since is None:
            return True
        return self._table.clock() - since < LEAVING_GRACE_SECONDS

    def handle_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Run the activations of the previous stage."""
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
            detail = f'positions are missing before {step.position}'
            self._table.fail(session, code, detail)

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
            return code, 'the stage does not name this agent and its layers'
        if not self.accepts_sessions():
            return outcomes.FailCode.LEAVING, 'the stage is leaving'
        if self._table.gate.fault:
            code = outcomes.FailCode.ENDPOINT_FAILED
            return code, self._table.gate.fault
        return None

    def start_session(
        self, link: links.Link, step: link_pb2.Step | link_pb2.Resume
    ) -> sessions.Session | None:
        """Start a session; return None if it cannot start here."""
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
        """Release sessions whose end message has not come in time."""
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
