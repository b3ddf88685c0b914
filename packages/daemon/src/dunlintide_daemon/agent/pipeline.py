"""Stage logic: runs this agent's layers and passes results on.

The callers are link readers, driver threads and the ticker; each method
takes the gate's lock, and none blocks.
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
from dunlintide_daemon import suspicion as suspicions

__all__ = [
    'Pipeline',
]

_NO_ROOM = 'kv-full'
# The engine has not run the step and wants to be asked again.
_WAIT = 'kv-wait'


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
        table: tables.Table,
        suspicion: suspicions.Suspicion,
    ) -> None:
        """Remember what to work with."""
        self._table = table
        self._suspicion = suspicion
        self._stages = stages.Stages(table)
        self._recovery = recovery.Recovery(table, self._stages)
        self._heads = heads.Heads(table, self._recovery)
        self._lock = table.gate.lock

    def __len__(self) -> int:
        return len(self._table)

    @property
    def _place(self) -> poison.LayerRange:
        identity = self._table.identity
        return poison.LayerRange(
            identity.model, identity.layer_start, identity.layer_end
        )

    def count_stages(self) -> dict[str, int]:
        """Return how many sessions are here as head and as later stage."""
        with self._lock:
            count = sum(one.is_head for one in self._table.list())
            return {'head': count, 'later': len(self._table) - count}

    def list_addresses(self) -> set[str]:
        """Return the addresses of agents that the sessions rely on."""
        with self._lock:
            found = set()
            for session in self._table.list():
                if not session.is_last:
                    found.add(session.next.address)
                if not session.is_head:
                    found.add(session.head.address)
            return found

    def adopt(self, holding: placement.Holding) -> None:
        """Take new sessions for other layers than before."""
        with self._lock:
            self._table.identity = attrs.evolve(
                self._table.identity, **attrs.asdict(holding)
            )

    def limit_batch(self) -> int:
        """Return how many steps one call to the engine may take."""
        return self._table.limit_batch()

    def leave(self) -> None:
        """Take no new sessions once heads had time to hear of it."""
        with self._lock:
            self._stages.leave()

    def is_open(self) -> bool:
        """Return whether sessions of other heads may still come."""
        with self._lock:
            return self._stages.is_open()

    # Results of the engine.

    def take_results(
        self, pairs: list[tuple[drivers.Job, engines.StepResult]]
    ) -> None:
        """Pass on what the engine has run."""
        self._suspicion.note_steps(
            self._place,
            [
                suspicions.Passed(
                    job.owner.terms.fingerprint,
                    found.position,
                    found.position + found.count,
                )
                for job, found in pairs
                if not found.error
            ],
        )
        with self._lock:
            for job, found in pairs:
                session = job.owner
                self._table.note_back(session)
                if not self._table.holds(session):
                    self._table.counts.drop('late-result')
                elif found.error == _WAIT:
                    self._table.submit(job)
                elif found.error:
                    self._take_error(session, found.error)
                else:
                    self._take_result(session, found)

    def _take_error(self, session: sessions.Session, error: str) -> None:
        code = outcomes.FailCode.ENDPOINT_FAILED
        ran = True
        if error == _NO_ROOM:
            code = outcomes.FailCode.NO_CAPACITY
            ran = session.ran
        detail = f'the engine refused a step: {error}'
        self._table.fail(session, code, detail, ran=ran)

    def _take_result(
        self, session: sessions.Session, found: engines.StepResult
    ) -> None:
        session.ran = True
        session.ran_end = found.position + found.count
        if session.is_head and not session.cursor.next_position:
            session.prompt_tokens = found.count - session.generated
            session.cursor.accept(session.epoch, 0, found.count)
            self._table.note_prompt(session)
        if not session.is_last:
            self._pass_step(session, found)
        elif found.token is None:
            self._take_error(session, 'no-token')
        else:
            end = found.position + found.count
            index = end - session.prompt_tokens
            self._pass_token(session, index, found.token)

    def _pass_step(
        self, session: sessions.Session, found: engines.StepResult
    ) -> None:
        self._recovery.keep(session, found)
        if session.held is not None or session.waiting:
            return
        if session.resuming and not session.announced:
            self._recovery.announce(session)
            return
        step = link_pb2.Step(
            request_id=session.request_id,
            epoch=session.epoch,
            stage=session.stage + 1,
            position=found.position,
            count=found.count,
            activations=found.activations,
        )
        if not session.announced:
            setup = sessions.build_setup(session, self._table.clock())
            step.setup.CopyFrom(setup)
            session.announced = True
        frame = link_pb2.Frame(step=step)
        if not self._table.peers.send(session.next.address, frame):
            code = outcomes.FailCode.LINK_LOST
            detail = 'the link to the next stage is backed up'
            self._table.fail(session, code, detail, session.next.agent)

    def _pass_token(
        self,
        session: sessions.Session,
        index: int,
        sampled: engines.SampledToken,
    ) -> None:
        if index < session.known:
            self._table.counts.drop('replayed-token')
            return
        session.sampled.append((index, sampled))
        if session.held is None:
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
            self._heads.take_token(token)
            if token.final:
                self._heads.take_done(done)
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
        """End the sessions of a call that the engine did not answer."""
        code = outcomes.FailCode.ENDPOINT_FAILED
        if error.connection_lost:
            code = outcomes.FailCode.LINK_LOST
        with self._lock:
            for job in jobs:
                session = job.owner
                self._table.note_back(session)
                if self._table.holds(session):
                    ran = error.sent or session.ran
                    self._table.fail(session, code, error.detail, ran=ran)

    # Crashes.

    def accuse(self, failed: list[drivers.Job] | None = None) -> None:
        """Put a crash of the engine down to what it was running.

        :param failed: jobs that the crash was seen by
        """
        suspects = _list_suspects(self._table.driver.accuse(failed))
        if suspects:
            identity = self._table.identity
            self._suspicion.accuse(
                identity.name, identity.incarnation, self._place, suspects
            )
            self.drop_quarantined()

    def runs_alone(self, job: drivers.Job) -> bool:
        """Tell whether a step must share the engine with none."""
        terms = job.owner.terms
        return self._suspicion.runs_alone(
            terms.fingerprint, terms.team, self._place
        )

    def drop_quarantined(self) -> None:
        """End what waits or runs of requests that are now quarantined."""
        is_quarantined = self._suspicion.is_quarantined
        code = outcomes.FailCode.QUARANTINED
        detail = 'the request has crashed endpoints'
        with self._lock:
            self._table.gate.drop_quarantined()
            for session in self._table.list():
                if is_quarantined(session.terms.fingerprint):
                    ran = session.first is None
                    self._table.fail(session, code, detail, ran=ran)

    def fail_all(self, detail: str) -> None:
        """End all sessions: the engine has lost their state."""
        code = outcomes.FailCode.ENDPOINT_FAILED
        with self._lock:
            for session in self._table.list():
                ran = session.first is None
                self._table.fail(session, code, detail, ran=ran)

    # Frames of entries and other agents.

    def open(self, link: links.Link, message: link_pb2.Open) -> None:
        """Take in a request to run as head."""
        with self._lock:
            self._heads.open(link, message)

    def take_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Take activations of the stage before."""
        with self._lock:
            self._stages.take_step(link, step)

    def take_resume(self, link: links.Link, resume: link_pb2.Resume) -> None:
        """Take a new chain of the stage before, or a reply to one."""
        with self._lock:
            if resume.reply:
                self._recovery.take_reply(resume)
                return
            session = self._recovery.take_resume(link, resume)
            if session is not None:
                for index, sampled in tuple(session.sampled):
                    self._send_token(session, index, sampled)

    def take_token(self, token: link_pb2.Token) -> None:
        """Take a token of the last stage."""
        with self._lock:
            self._heads.take_token(token)

    def take_done(self, done: link_pb2.Done) -> None:
        """Take the end of an answer from the last stage."""
        with self._lock:
            self._heads.take_done(done)

    def take_fail(self, fail: link_pb2.Fail) -> None:
        """Take the failure of a later stage."""
        with self._lock:
            self._heads.take_fail(fail)

    def take_cancel(self, link: links.Link, cancel: link_pb2.Cancel) -> None:
        """Free a session on the word of a caller or the stage before."""
        with self._lock:
            session = self._table.find(cancel.request_id)
            if session is None or session.is_head:
                gate = self._table.gate
                gate.cancel(cancel.request_id, cancel.epoch, link)
            elif cancel.epoch < session.epoch:
                self._table.counts.drop('stale-cancel')
            elif cancel.hold:
                self._recovery.hold(session)
            else:
                self._table.release(session)

    # Links and time.

    def raise_peer(self, address: str) -> None:
        """Take note of a link that this agent opened and that is up."""
        with self._lock:
            self._heads.raise_peer(address)

    def lose_peer(self, address: str, reason: str) -> None:
        """End what relied on a link that this agent had opened."""
        code = outcomes.FailCode.LINK_LOST
        detail = f'the link to an agent was lost: {reason}'
        with self._lock:
            for session in self._table.list():
                if session.announced and session.next.address == address:
                    agent = session.next.agent
                elif not session.is_head and session.head.address == address:
                    agent = session.head.agent
                else:
                    continue
                self._table.fail(session, code, detail, agent)

    def lose_link(self, link: links.Link) -> None:
        """End what relied on a link that another agent had opened."""
        code = outcomes.FailCode.LINK_LOST
        detail = 'the link from an agent was lost'
        name = link.peer.name
        with self._lock:
            for session in self._table.list():
                if session.upstream is link:
                    agent = session.chain[session.stage - 1].agent
                elif session.announced and session.is_head:
                    if session.last.agent != name:
                        continue
                    agent = name
                else:
                    continue
                self._table.fail(session, code, detail, agent)

    def tick(self) -> None:
        """Do what time demands; call it a few times a second."""
        now = self._table.clock()
        with self._lock:
            self._heads.tick(now)
            self._stages.tick(now)
