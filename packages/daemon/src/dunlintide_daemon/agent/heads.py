"""Head stages: sessions whose prompt and complete answer this agent holds.

The head runs the prompt and then each sampled token on its engine. Methods
run under the gate's lock and must not block.
"""

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_core import queueing
from dunlintide_daemon.agent import capacity
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import recovery as recoveries
from dunlintide_daemon.agent import requests
from dunlintide_daemon.agent import sessions
from dunlintide_daemon.agent import table as tables

__all__ = [
    'HeadStages',
]

BYTES_PER_TOKEN = 4


def _estimate_tokens(text: str) -> int:
    return max(1, len(text) // BYTES_PER_TOKEN)


def _read_code(text: str) -> outcomes.FailCode:
    try:
        return outcomes.FailCode(text)
    except ValueError:
        return outcomes.FailCode.INTERNAL


def _record_cost(session: sessions.Session) -> None:
    """Set the measured cost, which replaces the estimate in the queue."""
    prefilled = session.prompt_tokens + session.known_tokens
    decoded = session.generated - session.known_tokens
    if session.first_job is not None:
        prefilled = decoded = 0
    elif not session.prompt_tokens:
        # The first step is still under way, and the engine runs the whole
        # prompt even if the request has been cancelled.
        asked = max(0, session.max_tokens - session.known_tokens)
        prefilled = session.request.tokens - asked
    session.request.actual_cost = queueing.compute_cost(prefilled, decoded)


def _make_chain_key(message: link_pb2.Open) -> tuple:
    return tuple(
        (stage.address, stage.incarnation, stage.layer_start)
        for stage in message.chain
    )


class HeadStages:
    """Handles messages and tokens as the head of a chain."""

    def __init__(
        self, table: tables.SessionTable, recovery: recoveries.Recovery
    ) -> None:
        self._table = table
        self._recovery = recovery
        self._gate = table.gate
        self._peers = table.peers
        self._counts = table.counts

    def _find_rejection(
        self, message: link_pb2.Open
    ) -> capacity.Rejection | None:
        code = outcomes.FailCode.NO_CAPACITY
        identity = self._table.identity
        if not message.chain or not identity.matches(message.chain[0]):
            detail = 'the first stage of the chain is not this agent'
            return capacity.Rejection(code, detail)
        for stage in message.chain[1:]:
            if self._peers.is_leaving(stage.address):
                code = outcomes.FailCode.LEAVING
                detail = 'a stage is leaving'
                return capacity.Rejection(code, detail, stage.agent)
        return None

    def open(self, link: links.Link, message: link_pb2.Open) -> None:
        """Admit a request to run as head."""
        terms = message.terms
        subscriber = requests.Subscriber(link, terms.request_id, message.epoch)
        rejection = self._find_rejection(message)
        for stage in message.chain[1:2]:
            self._peers.connect(stage.address)
        claim = message.claim if message.HasField('claim') else None
        request = self._build_request(message)
        resumed = len(message.resumed_tokens)
        self._gate.open(request, claim, subscriber, resumed, rejection)

    def _build_request(self, message: link_pb2.Open) -> requests.Request:
        terms = message.terms
        resumed = len(message.resumed_tokens)
        prompt_tokens = _estimate_tokens(message.prompt) + resumed
        decoded = max(0, message.max_tokens - resumed)
        return requests.Request(
            terms.request_id,
            message.epoch,
            terms,
            self._table.clock() + terms.deadline_ms / 1000,
            queueing.compute_cost(prompt_tokens, decoded),
            prompt_tokens + decoded,
            start=lambda started: self._start(started, message),
            stop=self._stop,
            chain_key=_make_chain_key(message),
            resume_held=lambda held: self._resume_held(held, message),
        )

    def _resume_held(
        self, request: requests.Request, message: link_pb2.Open
    ) -> bool:
        """Resume a held run over the chain of a newer Open."""
        session = self._table.find(request.request_id)
        if session is None or session.request is not request:
            return False
        if not message.keep_state or not session.ran_end:
            return False
        if len(message.resumed_tokens) > session.generated:
            return False
        self._recovery.resume(session, message)
        request.epoch = session.epoch
        request.chain_key = _make_chain_key(message)
        request.held_since = None
        return True

    def _start(
        self, request: requests.Request, message: link_pb2.Open
    ) -> None:
        resumed = tuple(message.resumed_tokens)
        session = sessions.Session(
            request.request_id,
            request.epoch,
            0,
            tuple(message.chain),
            request.terms,
            message.model,
            message.version,
            message.max_tokens,
            request.deadline,
            positions.Cursor(request.epoch),
            generated=len(resumed),
            request=request,
            prompt=message.prompt,
            tokens=list(resumed),
            known_tokens=len(resumed),
            resuming=message.keep_state,
            prefixes=message.prefixes,
        )
        self._table.replace(session)
        session.first_job = sessions.build_prompt_job(
            session, message.prompt, resumed, request.tokens
        )
        wait = peering.CONNECT_SECONDS
        session.link_deadline = self._table.clock() + wait
        self._submit_first_job(session)

    def _stop(self, request: requests.Request) -> None:
        session = self._table.find(request.request_id)
        if session is not None and session.request is request:
            _record_cost(session)
            self._table.release(session)

    def _submit_first_job(self, session: sessions.Session) -> None:
        """Run the first step once the link to the next stage is up.

        A request whose next stage cannot be reached has then not run.
        """
        if not session.is_last:
            stage = session.next
            linked = self._peers.get_incarnation(stage.address)
            if linked is None:
                self._peers.connect(stage.address)
                return
            if stage.incarnation not in (0, linked):
                self._fail_unreachable(session, 'the next stage has restarted')
                return
        job, session.first_job = session.first_job, None
        self._table.submit(job)

    def _fail_unreachable(
        self, session: sessions.Session, detail: str
    ) -> None:
        code = outcomes.FailCode.LINK_LOST
        agent = session.next.agent
        self._table.fail(session, code, detail, agent, False)

    def handle_peer_up(self, address: str) -> None:
        """Start the sessions that waited for a link."""
        for session in self._table.list():
            if session.first_job and session.next.address == address:
                self._submit_first_job(session)

    def tick(self, now: float) -> None:
        """Fail sessions whose link has not come up in time."""
        for session in self._table.list():
            if session.first_job and now > session.link_deadline:
                detail = 'the next stage cannot be reached'
                self._fail_unreachable(session, detail)

    def _find(self, request_id: str, epoch: int) -> sessions.Session | None:
        session = self._table.find(request_id)
        if session is None:
            self._counts.add_drop('unknown-token')
            return None
        if epoch != session.epoch or not session.is_head:
            self._counts.add_drop('stale-token')
            return None
        return session

    def handle_token(self, token: link_pb2.Token) -> None:
        """Send a token of the last stage to the caller and run it next."""
        session = self._find(token.request_id, token.epoch)
        if session is None:
            return
        if token.index < session.generated:
            self._counts.add_drop('duplicate-token')
            return
        if token.index > session.generated:
            self._fail_gap(session)
            return
        session.generated += 1
        session.tokens.append(token.id)
        self._gate.send(session.request, link_pb2.Frame(token=token))
        if not token.final:
            job = sessions.build_token_job(session, token.id)
            self._table.submit(job)

    def _fail_gap(self, session: sessions.Session) -> None:
        self._counts.add_drop('gap-token')
        code = outcomes.FailCode.GAP
        agent = session.last.agent
        detail = f'tokens are missing from index {session.generated} on'
        self._table.fail(session, code, detail, agent)

    def handle_done(self, done: link_pb2.Done) -> None:
        """Handle the end of an answer from the last stage."""
        session = self._find(done.request_id, done.epoch)
        if session is None:
            return
        if done.tokens != session.generated:
            self._fail_gap(session)
            return
        self._gate.send(session.request, link_pb2.Frame(done=done))
        self._counts.add('tokens', session.generated)
        _record_cost(session)
        self._table.release(session)
        self._gate.finish(session.request)

    def handle_fail(self, fail: link_pb2.Fail) -> None:
        """Handle the failure of a later stage."""
        session = self._find(fail.request_id, fail.epoch)
        if session is not None:
            code = _read_code(fail.code)
            self._table.fail(session, code, fail.detail, fail.agent)
