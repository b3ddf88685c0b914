"""Stage logic: runs this agent's layers and forwards the results.

Methods are called by link readers, driver threads and the ticker thread.
Each takes the gate's lock, and none blocks.
"""

import attrs

from dunlintide_adapters import engine as engines
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_core import placement
from dunlintide_core import poison
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import heads
from dunlintide_daemon.agent import recovery
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import stages
from dunlintide_daemon.agent import table as tables
from dunlintide_daemon import crashevidence as suspicions

__all__ = [
    'Pipeline',
]

_KV_FULL_ERROR = 'kv-full'
# The engine has not run the step and expects it to be submitted again.
_RETRY_ERROR = 'kv-wait'


def _list_suspects(jobs: list[drivers.Job]) -> list[poison.Suspect]:
    return [
        poison.Suspect(
            job.owner.terms.fingerprint,
            job.owner.terms.team,
            job.step.position,
        )
        for job in jobs
        if job.owner.terms.fingerprint
    ]


class Pipeline:
    """Sessions of all requests that pass through this agent."""

    def __init__(
        self,
        table: tables.SessionTable,
        suspicion: suspicions.CrashEvidence,
    ) -> None:
        """Build the handlers of stages that share a session table."""
        self._table = table
        self._suspicion = suspicion
        self._stages = stages.LaterStages(table)
        self._recovery = recovery.Recovery(table, self._stages)
        self._heads = heads.HeadStages(table, self._recovery)
        self._lock = table.gate.lock

    def __len__(self) -> int:
        return len(self._table)

    @property
    def _layer_range(self) -> poison.LayerRange:
        identity = self._table.identity
        return poison.LayerRange(
            identity.model, identity.layer_start, identity.layer_end
        )

    def count_stages(self) -> dict[str, int]:
        """Return the numbers of sessions by kind of stage."""
        with self._lock:
            count = sum(session.is_head for session in self._table.list())
            return {'head': count, 'later': len(self._table) - count}

    def list_addresses(self) -> set[str]:
        """Return the addresses of agents that the sessions depend on."""
        with self._lock:
            addresses = set()
            for session in self._table.list():
                if not session.is_last:
                    addresses.add(session.next.address)
                if not session.is_head:
                    addresses.add(session.head.address)
            return addresses

    def set_holding(self, holding: placement.Holding) -> None:
        """Set the layers for which new sessions are accepted."""
        with self._lock:
            self._table.identity = attrs.evolve(
                self._table.identity, **attrs.asdict(holding)
            )

    def limit_batch(self) -> int:
        """Return the maximum number of steps in one call to the engine."""
        return self._table.limit_batch()

    def start_leaving(self) -> None:
        """Accept no new sessions once the grace time has passed."""
        with self._lock:
            self._stages.start_leaving()

    def accepts_sessions(self) -> bool:
        """Return whether sessions of other heads are still accepted."""
        with self._lock:
            return self._stages.accepts_sessions()

    # Results of the engine.

    def handle_results(
        self, pairs: list[tuple[drivers.Job, engines.StepResult]]
    ) -> None:
        """Forward the results of a call to the engine."""
        self._suspicion.record_steps(
            self._layer_range,
            [
                suspicions.CompletedStep(
                    job.owner.terms.fingerprint,
                    step_result.position,
                    step_result.position + step_result.count,
                )
                for job, step_result in pairs
                if not step_result.error
            ],
        )
        with self._lock:
            for job, step_result in pairs:
                session = job.owner
                self._table.finish_step(session)
                if not self._table.is_current(session):
                    self._table.counts.add_drop('late-result')
                elif step_result.error == _RETRY_ERROR:
                    self._table.submit(job)
                elif step_result.error:
                    self._handle_error(session, step_result.error)
                else:
                    self._handle_result(session, step_result)

    def _handle_error(self, session: sessions.Session, error: str) -> None:
        code = outcomes.FailCode.ENDPOINT_FAILED
        ran = True
        if error == _KV_FULL_ERROR:
            code = outcomes.FailCode.NO_CAPACITY
            ran = session.ran
        detail = f'the engine refused a step: {error}'
        self._table.fail(session, code, detail, ran=ran)

    def _handle_result(
        self, session: sessions.Session, step_result: engines.StepResult
    ) -> None:
        session.ran = True
        session.ran_end = step_result.position + step_result.count
        if session.is_head and not session.cursor.next_position:
            session.prompt_tokens = step_result.count - session.generated
            session.cursor.accept(session.epoch, 0, step_result.count)
            self._table.on_prompt(session)
        if not session.is_last:
            self._forward_step(session, step_result)
        elif step_result.token is None:
            self._handle_error(session, 'no-token')
        else:
            end = step_result.position + step_result.count
            index = end - session.prompt_tokens
            self._forward_token(session, index, step_result.token)

    def _forward_step(
        self, session: sessions.Session, step_result: engines.StepResult
    ) -> None:
        self._recovery.keep_activations(session, step_result)
        if session.held_since is not None or session.awaits_reply:
            return
        if session.resuming and not session.next_has_setup:
            self._recovery.send_resume(session)
            return
        step = link_pb2.Step(
            request_id=session.request_id,
            epoch=session.epoch,
            stage=session.stage + 1,
            position=step_result.position,
            count=step_result.count,
            activations=step_result.activations,
        )
        if not session.next_has_setup:
            setup = sessions.build_setup(session, self._table.clock())
            step.setup.CopyFrom(setup)
            session.next_has_setup = True
        frame = link_pb2.Frame(step=step)
        if not self._table.peers.send(session.next.address, frame):
            code = outcomes.FailCode.LINK_LOST
            detail = 'the link to the next stage is backed up'
            self._table.fail(session, code, detail, session.next.agent)

    def _forward_token(
        self,
        session: sessions.Session,
        index: int,
        sampled: engines.SampledToken,
    ) -> None:
        if index < session.known_tokens:
            self._table.counts.add_drop('replayed-token')
            return
        session.sampled.append((index, sampled))
        if session.held_since is None:
            self._send_token(session, index, sampled)

    def _send_token(
        self,
        session: sessions.Session,
        index: int,
        sampled: engines.SampledToken,
    ) -> None:
        token = sessions.build_token(session, index, sampled)
        done = sessions.build_done(session, index, sampled)
        if session.is_head:
            self._heads.handle_token(token)
            if token.final:
                self._heads.handle_done(done)
            return
        address = session.head.address
        frame = link_pb2.Frame(token=token)
        sent = self._table.peers.send(address, frame)
        if sent and token.final:
            frame = link_pb2.Frame(done=done)
            sent = self._table.peers.send(address, frame)
        if not sent:
            code = outcomes.FailCode.LINK_LOST
            detail = 'the link to the head is backed up'
            self._table.fail(session, code, detail)
        elif token.final:
            self._table.release(session)

    def fail_jobs(
        self, jobs: list[drivers.Job], error: engines.EngineError
    ) -> None:
        """Fail the sessions of a call that the engine did not answer."""
        code = outcomes.FailCode.ENDPOINT_FAILED
        if error.connection_lost:
            code = outcomes.FailCode.LINK_LOST
        with self._lock:
            for job in jobs:
                session = job.owner
                self._table.finish_step(session)
                if self._table.is_current(session):
                    ran = error.sent or session.ran
                    self._table.fail(session, code, error.detail, ran=ran)

    # Crashes.

    def report_crash(self, failed: list[drivers.Job] | None = None) -> None:
        """Report the requests under way in a crash of the engine as suspects.

        :param failed: jobs of the call that revealed the crash
        """
        suspects = _list_suspects(self._table.driver.collect_suspects(failed))
        if suspects:
            identity = self._table.identity
            self._suspicion.report_crash(
                identity.name,
                identity.incarnation,
                self._layer_range,
                suspects,
            )
            self.fail_quarantined()

    def runs_alone(self, job: drivers.Job) -> bool:
        """Return whether a step must run while no other does."""
        terms = job.owner.terms
        return self._suspicion.must_run_alone(
            terms.fingerprint, terms.team, self._layer_range
        )

    def fail_quarantined(self) -> None:
        """Fail queued and running requests that are quarantined now."""
        is_quarantined = self._suspicion.is_quarantined
        code = outcomes.FailCode.QUARANTINED
        detail = 'the request has crashed endpoints'
        with self._lock:
            self._table.gate.fail_quarantined()
            for session in self._table.list():
                if is_quarantined(session.terms.fingerprint):
                    ran = session.first_job is None
                    self._table.fail(session, code, detail, ran=ran)

    def fail_all(self, detail: str) -> None:
        """Fail all sessions, since the engine has lost their state."""
        code = outcomes.FailCode.ENDPOINT_FAILED
        with self._lock:
            for session in self._table.list():
                ran = session.first_job is None
                self._table.fail(session, code, detail, ran=ran)

    # Frames of entries and other agents.

    def open(self, link: links.Link, message: link_pb2.Open) -> None:
        """Admit a request to run as head."""
        with self._lock:
            self._heads.open(link, message)

    def handle_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Handle activations of the previous stage."""
        with self._lock:
            self._stages.handle_step(link, step)

    def handle_resume(self, link: links.Link, resume: link_pb2.Resume) -> None:
        """Handle a new chain of the previous stage, or a reply to one."""
        with self._lock:
            if resume.reply:
                self._recovery.handle_reply(resume)
                return
            session = self._recovery.handle_resume(link, resume)
            if session is not None:
                for index, sampled in tuple(session.sampled):
                    self._send_token(session, index, sampled)

    def handle_token(self, token: link_pb2.Token) -> None:
        """Handle a token of the last stage."""
        with self._lock:
            self._heads.handle_token(token)

    def handle_done(self, done: link_pb2.Done) -> None:
        """Handle the end of an answer from the last stage."""
        with self._lock:
            self._heads.handle_done(done)

    def handle_fail(self, fail: link_pb2.Fail) -> None:
        """Handle the failure of a later stage."""
        with self._lock:
            self._heads.handle_fail(fail)

    def handle_cancel(self, link: links.Link, cancel: link_pb2.Cancel) -> None:
        """Cancel a session for a caller or the previous stage."""
        with self._lock:
            session = self._table.find(cancel.request_id)
            if session is None or session.is_head:
                gate = self._table.gate
                gate.cancel(cancel.request_id, cancel.epoch, link)
            elif cancel.epoch < session.epoch:
                self._table.counts.add_drop('stale-cancel')
            elif cancel.hold:
                self._recovery.hold(session)
            else:
                self._table.release(session)

    # Links and time.

    def handle_peer_up(self, address: str) -> None:
        """Start the sessions that waited for a link that is up now."""
        with self._lock:
            self._heads.handle_peer_up(address)

    def handle_peer_loss(self, address: str, reason: str) -> None:
        """Fail the sessions that used a link opened by this agent."""
        code = outcomes.FailCode.LINK_LOST
        detail = f'the link to an agent was lost: {reason}'
        with self._lock:
            for session in self._table.list():
                if session.next_has_setup and session.next.address == address:
                    agent = session.next.agent
                elif not session.is_head and session.head.address == address:
                    agent = session.head.agent
                else:
                    continue
                self._table.fail(session, code, detail, agent)

    def handle_link_loss(self, link: links.Link) -> None:
        """Fail the sessions that used a link opened by another agent."""
        code = outcomes.FailCode.LINK_LOST
        detail = 'the link from an agent was lost'
        name = link.peer.name
        with self._lock:
            for session in self._table.list():
                if session.upstream is link:
                    agent = session.chain[session.stage - 1].agent
                elif session.next_has_setup and session.is_head:
                    if session.last.agent != name:
                        continue
                    agent = name
                else:
                    continue
                self._table.fail(session, code, detail, agent)

    def tick(self) -> None:
        """Enforce time limits; to be called a few times a second."""
        now = self._table.clock()
        with self._lock:
            self._heads.tick(now)
            self._stages.tick(now)
