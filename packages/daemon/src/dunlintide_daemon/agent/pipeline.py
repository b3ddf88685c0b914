"""Stage logic: runs this agent's layers and passes results on.

The head of a chain feeds its engine the prompt and then each sampled
token; a later stage takes activations. Methods run on link readers and
driver threads under the gate's lock and must not block.
"""

import time
from typing import Callable

import attrs

from dunlintide_adapters import engine as engines
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_core import queueing
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import works

__all__ = [
    'Identity',
    'Pipeline',
]

BYTES_PER_TOKEN = 4
# An agent that leaves still takes sessions whose head did not know yet.
LEAVING_GRACE_SECONDS = 3.0
# The head ends a request at its deadline; later stages only clean up.
STAGE_SLACK_SECONDS = 5.0
SUSPECT_SECONDS = 600

_NO_ROOM = 'kv-full'


@attrs.frozen
class Identity:
    """Who this agent is in a chain."""

    name: str
    incarnation: int
    model: str
    version: str
    layer_start: int
    layer_end: int


def _estimate_tokens(text: str) -> int:
    return max(1, len(text) // BYTES_PER_TOKEN)


class Pipeline:
    """Sessions of all requests that pass through this agent."""

    def __init__(
        self,
        identity: Identity,
        gate: gates.Gate,
        peers: peering.Peers,
        counts: counting.Counts,
        announce: Callable[[link_pb2.Frame], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Remember what to work with; ``driver`` is set before use.

        :param announce: sends a frame to all entries
        """
        self.driver: drivers.Driver | None = None
        self._identity = identity
        self._gate = gate
        self._peers = peers
        self._counts = counts
        self._announce = announce
        self._clock = clock
        self._sessions: dict[str, sessions.Session] = {}
        self._fences = positions.Fences()
        self._leaving_since: float | None = None
        # Of the sessions that this agent heads over several stages.
        self._heads = 0
        self._head_stages = 0

    def __len__(self) -> int:
        return len(self._sessions)

    def count_stages(self) -> dict[str, int]:
        """Return how many sessions are here as head and as later stage."""
        with self._gate.lock:
            heads = sum(one.is_head for one in self._sessions.values())
            return {'head': heads, 'later': len(self._sessions) - heads}

    def list_addresses(self) -> set[str]:
        """Return the addresses of agents that the sessions rely on."""
        with self._gate.lock:
            found = set()
            for session in self._sessions.values():
                if not session.is_last:
                    found.add(session.next.address)
                if not session.is_head:
                    found.add(session.head.address)
            return found

    def leave(self) -> None:
        """Take no new sessions once heads had time to hear of it."""
        with self._gate.lock:
            self._leaving_since = self._clock()

    def is_open(self) -> bool:
        """Return whether sessions of other heads may still come."""
        with self._gate.lock:
            since = self._leaving_since
            if since is None:
                return True
            return self._clock() - since < LEAVING_GRACE_SECONDS

    def _fits(self, stage: link_pb2.Stage) -> bool:
        identity = self._identity
        return (
            stage.agent == identity.name
            and stage.incarnation in (0, identity.incarnation)
            and stage.layer_start == identity.layer_start
            and stage.layer_end == identity.layer_end
        )

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

    # As head.

    def _find_fault(
        self, message: link_pb2.Open
    ) -> tuple[outcomes.FailCode, str, str] | None:
        code = outcomes.FailCode.NO_CAPACITY
        name = self._identity.name
        if not message.chain or not self._fits(message.chain[0]):
            return code, 'the chain does not begin with this agent', name
        for stage in message.chain[1:]:
            if self._peers.is_leaving(stage.address):
                code = outcomes.FailCode.LEAVING
                return code, 'a stage is leaving', stage.agent
        return None

    def open(self, link: links.Link, message: link_pb2.Open) -> None:
        """Take in a request to run as head."""
        terms = message.terms
        subscriber = works.Subscriber(link, terms.request_id, message.epoch)
        fault = self._find_fault(message)
        if fault is not None:
            code, detail, agent = fault
            link.send(
                works.build_fail(
                    terms.request_id,
                    message.epoch,
                    code,
                    detail,
                    ran=False,
                    agent=agent,
                )
            )
            return
        for stage in message.chain[1:2]:
            self._peers.prepare(stage.address)
        resumed = len(message.resumed_tokens)
        prompt_tokens = _estimate_tokens(message.prompt) + resumed
        decoded = max(0, message.max_tokens - resumed)
        work = works.Work(
            terms.request_id,
            message.epoch,
            terms,
            self._clock() + terms.deadline_ms / 1000,
            queueing.weigh(prompt_tokens, decoded),
            prompt_tokens + decoded,
            start=lambda started: self._start(started, message),
            stop=self._stop,
            chain_key=tuple(
                (stage.address, stage.incarnation, stage.layer_start)
                for stage in message.chain
            ),
        )
        claim = message.claim if message.HasField('claim') else None
        self._gate.open(work, claim, subscriber, resumed)

    def _start(self, work: works.Work, message: link_pb2.Open) -> None:
        resumed = tuple(message.resumed_tokens)
        session = sessions.Session(
            work.request_id,
            work.epoch,
            0,
            tuple(message.chain),
            work.terms,
            message.model,
            message.version,
            message.max_tokens,
            work.deadline,
            positions.Cursor(work.epoch),
            generated=len(resumed),
            work=work,
        )
        self._replace(session)
        session.first = sessions.build_prompt_job(
            session, message.prompt, resumed, work.tokens
        )
        session.waits_until = self._clock() + peering.CONNECT_SECONDS
        self._begin(session)

    def _begin(self, session: sessions.Session) -> None:
        """Run the first step, but not before a next stage that is gone.

        So a request whose next stage cannot be reached has not run.
        """
        if not session.is_last:
            stage = session.next
            linked = self._peers.get_incarnation(stage.address)
            if linked is None:
                self._peers.prepare(stage.address)
                return
            if stage.incarnation not in (0, linked):
                self._fail(
                    session,
                    outcomes.FailCode.LINK_LOST,
                    'the next stage has restarted',
                    stage.agent,
                    False,
                )
                return
        job, session.first = session.first, None
        self.driver.submit(job)

    def raise_peer(self, address: str) -> None:
        """Begin what waited for a link that is up now."""
        with self._gate.lock:
            for session in list(self._sessions.values()):
                if session.first and session.next.address == address:
                    self._begin(session)

    def _stop(self, work: works.Work) -> None:
        session = self._sessions.get(work.request_id)
        if session is not None and session.work is work:
            self._release(session)

    def _replace(self, session: sessions.Session) -> None:
        old = self._sessions.get(session.request_id)
        if old is not None:
            self._release(old)
        self._sessions[session.request_id] = session
        self._count_head(session, 1)

    def _release(self, session: sessions.Session) -> None:
        """Free a session here and in the stages behind."""
        if self._sessions.get(session.request_id) is session:
            del self._sessions[session.request_id]
            self._count_head(session, -1)
        self._fences.end(session.request_id, session.epoch)
        self.driver.free(session.request_id)
        if session.announced:
            cancel = link_pb2.Cancel(
                request_id=session.request_id, epoch=session.epoch
            )
            frame = link_pb2.Frame(cancel=cancel)
            self._peers.send(session.next.address, frame)

    def _fail(
        self,
        session: sessions.Session,
        code: outcomes.FailCode,
        detail: str,
        agent: str,
        ran: bool = True,
    ) -> None:
        """End a session's epoch, and tell the head unless it is here."""
        if session.is_head:
            # Ending the work stops the session.
            self._gate.fail(session.work, code, detail, agent, ran)
            return
        self._release(session)
        frame = works.build_fail(
            session.request_id,
            session.epoch,
            code,
            detail,
            ran=True,
            agent=agent,
        )
        self._peers.send(session.head.address, frame)

    # Results of the engine.

    def take_results(
        self, pairs: list[tuple[drivers.Job, engines.StepResult]]
    ) -> None:
        """Pass on what the engine has run."""
        with self._gate.lock:
            for job, found in pairs:
                session = job.owner
                if self._sessions.get(session.request_id) is not session:
                    self._counts.drop('late-result')
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
        self._fail(session, code, detail, self._identity.name, ran)

    def _take_result(
        self, session: sessions.Session, found: engines.StepResult
    ) -> None:
        session.ran = True
        if session.is_head and not session.cursor.next_position:
            session.prompt_tokens = found.count - session.generated
            session.cursor.accept(session.epoch, 0, found.count)
        if session.is_last:
            end = found.position + found.count
            self._pass_token(session, end - session.prompt_tokens, found.token)
        else:
            self._pass_step(session, found)

    def _pass_step(
        self, session: sessions.Session, found: engines.StepResult
    ) -> None:
        step = link_pb2.Step(
            request_id=session.request_id,
            epoch=session.epoch,
            stage=session.stage + 1,
            position=found.position,
            count=found.count,
            activations=found.activations,
        )
        if not session.announced:
            setup = sessions.build_setup(session, self._clock())
            step.setup.CopyFrom(setup)
            session.announced = True
        frame = link_pb2.Frame(step=step)
        if not self._peers.send(session.next.address, frame):
            self._fail(
                session,
                outcomes.FailCode.LINK_LOST,
                'the link to the next stage is backed up',
                session.next.agent,
            )

    def _pass_token(
        self,
        session: sessions.Session,
        index: int,
        token: engines.SampledToken | None,
    ) -> None:
        if token is None:
            self._take_error(session, 'no-token')
            return
        message = link_pb2.Token(
            request_id=session.request_id,
            epoch=session.epoch,
            index=index,
            id=token.id,
            text=token.text,
            final=bool(token.finish_reason),
        )
        done = None
        if token.finish_reason:
            done = link_pb2.Done(
                request_id=session.request_id,
                epoch=session.epoch,
                tokens=index + 1,
                finish_reason=token.finish_reason,
                prompt_tokens=session.prompt_tokens,
            )
        if session.is_head:
            self._take_token(session, message)
            if done is not None:
                self._take_done(session, done)
            return
        address = session.head.address
        sent = self._peers.send(address, link_pb2.Frame(token=message))
        if done is not None:
            sent &= self._peers.send(address, link_pb2.Frame(done=done))
            self._release(session)
        elif not sent:
            self._fail(
                session,
                outcomes.FailCode.LINK_LOST,
                'the link to the head is backed up',
                self._identity.name,
            )

    def fail_jobs(
        self, jobs: list[drivers.Job], error: engines.EngineError
    ) -> None:
        """End the sessions of a call that the engine did not answer."""
        suspects = []
        with self._gate.lock:
            for job in jobs:
                session = job.owner
                if error.sent and session.terms.fingerprint:
                    suspects.append(
                        link_pb2.Suspect(
                            fingerprint=session.terms.fingerprint,
                            crashes=1,
                            ttl_ms=SUSPECT_SECONDS * 1000,
                            member=session.terms.member,
                        )
                    )
                if self._sessions.get(session.request_id) is session:
                    ran = error.sent or session.ran
                    self._fail_endpoint(session, error.detail, ran)
        if suspects:
            message = link_pb2.Suspects(suspects=suspects)
            self._announce(link_pb2.Frame(suspects=message))

    def _fail_endpoint(
        self, session: sessions.Session, detail: str, ran: bool
    ) -> None:
        code = outcomes.FailCode.ENDPOINT_FAILED
        self._fail(session, code, detail, self._identity.name, ran)

    def fail_all(self, detail: str) -> None:
        """End all sessions: the engine has lost their state."""
        with self._gate.lock:
            for session in list(self._sessions.values()):
                self._fail_endpoint(session, detail, True)

    # Frames of other agents.

    def take_step(self, link: links.Link, step: link_pb2.Step) -> None:
        """Take activations of the stage before."""
        with self._gate.lock:
            session = self._sessions.get(step.request_id)
            if step.HasField('setup'):
                if session is None or step.epoch > session.epoch:
                    session = self._set_up(link, step)
            if session is None:
                self._counts.drop('unknown-step')
                return
            if session.is_head:
                self._counts.drop('misdirected-step')
                return
            verdict = session.cursor.accept(
                step.epoch, step.position, step.count
            )
            if verdict.runs:
                job = sessions.build_activation_job(
                    session, step, verdict.trim
                )
                self.driver.submit(job)
            else:
                self._counts.drop(f'{verdict.kind}-step')
                if verdict.kind is positions.Kind.GAP:
                    self._fail(
                        session,
                        outcomes.FailCode.GAP,
                        'positions are missing',
                        self._identity.name,
                    )

    def _set_up(
        self, link: links.Link, step: link_pb2.Step
    ) -> sessions.Session | None:
        if self._fences.has_ended(step.request_id, step.epoch):
            return None
        setup = step.setup
        session = sessions.Session(
            step.request_id,
            step.epoch,
            step.stage,
            tuple(setup.chain),
            setup.terms,
            setup.model,
            setup.version,
            setup.max_tokens,
            self._clock() + setup.terms.deadline_ms / 1000,
            positions.Cursor(step.epoch),
            prompt_tokens=setup.prompt_tokens,
            upstream=link,
        )
        code = None
        if not self._fits(setup.chain[step.stage]):
            code = outcomes.FailCode.NO_CAPACITY
        elif not self.is_open():
            code = outcomes.FailCode.LEAVING
        elif self._gate.fault:
            code = outcomes.FailCode.ENDPOINT_FAILED
        self._replace(session)
        if code is not None:
            self._fail(
                session,
                code,
                self._gate.fault or 'the stage takes no new sessions',
                self._identity.name,
            )
            return None
        if not session.is_last:
            self._peers.prepare(session.next.address)
        self._peers.prepare(session.head.address)
        return session

    def _find_headed(
        self, request_id: str, epoch: int
    ) -> sessions.Session | None:
        session = self._sessions.get(request_id)
        if session is None:
            self._counts.drop('unknown-token')
            return None
        if epoch != session.epoch or not session.is_head:
            self._counts.drop('stale-token')
            return None
        return session

    def take_token(self, token: link_pb2.Token) -> None:
        """Take a token of the last stage: pass it on and feed it back."""
        with self._gate.lock:
            session = self._find_headed(token.request_id, token.epoch)
            if session is not None:
                self._take_token(session, token)

    def _take_token(
        self, session: sessions.Session, token: link_pb2.Token
    ) -> None:
        if token.index < session.generated:
            self._counts.drop('duplicate-token')
            return
        if token.index > session.generated:
            self._counts.drop('gap-token')
            self._fail(
                session,
                outcomes.FailCode.GAP,
                'a token is missing',
                session.last.agent,
            )
            return
        session.generated += 1
        self._gate.send(session.work, link_pb2.Frame(token=token))
        if not token.final:
            self.driver.submit(sessions.build_token_job(session, token.id))

    def take_done(self, done: link_pb2.Done) -> None:
        """Take the end of an answer from the last stage."""
        with self._gate.lock:
            session = self._find_headed(done.request_id, done.epoch)
            if session is not None:
                self._take_done(session, done)

    def _take_done(
        self, session: sessions.Session, done: link_pb2.Done
    ) -> None:
        if done.tokens != session.generated:
            self._counts.drop('gap-token')
            self._fail(
                session,
                outcomes.FailCode.GAP,
                'tokens are missing',
                session.last.agent,
            )
            return
        self._gate.send(session.work, link_pb2.Frame(done=done))
        self._counts.add('tokens', session.generated)
        self._release(session)
        self._gate.end(session.work)

    def take_fail(self, fail: link_pb2.Fail) -> None:
        """Take the failure of a later stage."""
        with self._gate.lock:
            session = self._find_headed(fail.request_id, fail.epoch)
            if session is None:
                return
            try:
                code = outcomes.FailCode(fail.code)
            except ValueError:
                code = outcomes.FailCode.INTERNAL
            self._fail(session, code, fail.detail, fail.agent)

    def take_cancel(self, link: links.Link, cancel: link_pb2.Cancel) -> None:
        """Free a session on the word of a caller or the stage before."""
        with self._gate.lock:
            session = self._sessions.get(cancel.request_id)
            if session is None or session.is_head:
                self._gate.cancel(cancel.request_id, cancel.epoch, link)
            elif cancel.epoch >= session.epoch:
                self._release(session)
            else:
                self._counts.drop('stale-cancel')

    # Lost links and time.

    def lose_peer(self, address: str, reason: str) -> None:
        """End what relied on a link that this agent had opened."""
        with self._gate.lock:
            for session in list(self._sessions.values()):
                agent = ''
                if session.announced:
                    if session.next.address == address:
                        agent = session.next.agent
                if not session.is_head and session.head.address == address:
                    agent = session.head.agent
                if agent:
                    self._fail(
                        session,
                        outcomes.FailCode.LINK_LOST,
                        f'the link to an agent was lost: {reason}',
                        agent,
                    )

    def lose_link(self, link: links.Link) -> None:
        """End what relied on a link that another agent had opened."""
        with self._gate.lock:
            for session in list(self._sessions.values()):
                if session.upstream is link:
                    agent = session.chain[session.stage - 1].agent
                elif (
                    session.is_head
                    and not session.is_last
                    and session.announced
                    and session.last.agent == link.peer.name
                ):
                    agent = session.last.agent
                else:
                    continue
                self._fail(
                    session,
                    outcomes.FailCode.LINK_LOST,
                    'the link from an agent was lost',
                    agent,
                )

    def tick(self) -> None:
        """End what waits for a link in vain, and what nobody ended."""
        now = self._clock()
        with self._gate.lock:
            for session in list(self._sessions.values()):
                if session.first and now > session.waits_until:
                    self._fail(
                        session,
                        outcomes.FailCode.LINK_LOST,
                        'the next stage cannot be reached',
                        session.next.agent,
                        False,
                    )
                elif session.is_head:
                    continue
                elif now > session.deadline + STAGE_SLACK_SECONDS:
                    self._counts.drop('forgotten-session')
                    self._release(session)
