"""Running a call of a plain service."""

from typing import Callable, Collection

import attrs

from dunlintide_adapters import bodies
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import dispatch
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import requests
from dunlintide_daemon.entry import sessions

__all__ = [
    'Answer',
    'run',
]

MAX_ANSWER_BYTES = bodies.MAX_SERVICE_ANSWER_BYTES


@attrs.frozen
class Answer:
    """Complete answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.define
class _PartialAnswer:
    """The parts of an answer that have come so far.

    :ivar size: length of the chunks together, in bytes
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def add(self, reply: link_pb2.Reply) -> bool:
        """Add the next part.

        :returns: False when a part before it is missing
        """
        if reply.part != len(self.chunks):
            return False
        if not self.chunks:
            self.status = reply.status
            self.headers = tuple(
                (header.name, header.value) for header in reply.headers
            )
        self.chunks.append(reply.body)
        self.size += len(reply.body)
        return True

    def build(self) -> Answer:
        return Answer(self.status, self.headers, b''.join(self.chunks))


def _refuse_too_large() -> outcomes.Refusal:
    code = outcomes.FailCode.TOO_LARGE
    detail = f'the answer exceeds {MAX_ANSWER_BYTES} bytes'
    return outcomes.refuse(code, detail, ran=True)


def _refuse_no_memory(*, ran: bool) -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.FailCode.NO_CAPACITY,
        'the memory of the entry for buffered answers is used up',
        ran=ran,
        retry_after=None if ran else jobs.RETRY_AFTER_SECONDS,
    )


class _Run:
    """State of one running call."""

    def __init__(
        self,
        context: jobs.Context,
        job: jobs.Job,
        call: requests.ServiceCall,
        choose: Callable[
            [Collection[chains.AgentInstance]], fleet.Agent | None
        ],
    ) -> None:
        self._job = job
        self._call = call
        self._choose = choose
        self._dispatcher = dispatch.Dispatcher(context, job)
        self._memory = context.answer_memory
        self._reserved_bytes = 0

    def _build_call(self, epoch: int) -> link_pb2.Frame:
        headers = [
            link_pb2.Header(name=name, value=value)
            for name, value in self._call.headers
        ]
        message = link_pb2.Call(
            terms=self._dispatcher.build_terms(),
            epoch=epoch,
            method=self._call.method,
            path=self._call.path,
            headers=headers,
            body=self._call.body,
            claim=self._job.claim,
        )
        return link_pb2.Frame(call=message)

    def _choose_chain(
        self, avoid: Collection[chains.AgentInstance]
    ) -> chains.Chain | None:
        agent = self._choose(avoid)
        return (agent,) if agent is not None else None

    def _dispatch(self) -> bool:
        chain = chains.choose_with_fallback(
            self._choose_chain, self._dispatcher.avoid
        )
        if chain is None:
            return False
        self._dispatcher.send(chain, self._build_call)
        return True

    def _process_events(
        self, events: list[sessions.Event], partial: _PartialAnswer
    ) -> Answer | outcomes.Refusal | link_pb2.Fail | sessions.LinkLost | None:
        """Add the parts of the answer to ``partial``.

        :returns: the complete answer, the refusal of one that is too
            large, the event that ends the attempt, or None
        """
        for event in events:
            if isinstance(event, link_pb2.Reply):
                if not partial.add(event):
                    return self._dispatcher.record_gap()
                if partial.size > MAX_ANSWER_BYTES:
                    return _refuse_too_large()
                if not self._memory.reserve(len(event.body)):
                    return _refuse_no_memory(ran=True)
                self._reserved_bytes += len(event.body)
                if event.last:
                    self._dispatcher.mark_ended()
                    return partial.build()
            elif isinstance(event, link_pb2.Fail):
                self._dispatcher.mark_ended()
                return event
            elif isinstance(event, sessions.LinkLost):
                return event
        return None

    def run(self) -> Answer | outcomes.Refusal:
        answer = None
        try:
            answer = self._run_attempts()
        finally:
            if not isinstance(answer, Answer):
                self._release_memory()
        return answer

    def _release_memory(self) -> None:
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _run_attempts(self) -> Answer | outcomes.Refusal:
        if self._memory.is_low():
            return _refuse_no_memory(ran=False)
        if not self._dispatch():
            return self._dispatcher.refuse_unsent(
                'no endpoint of the service is reachable'
            )
        partial = _PartialAnswer()
        while True:
            ending = self._process_events(
                self._dispatcher.take_events(), partial
            )
            if isinstance(ending, (Answer, outcomes.Refusal)):
                return ending
            refusal = self._dispatcher.check_termination()
            if refusal is not None:
                return refusal
            if ending is None:
                continue
            failure = self._dispatcher.convert_failure(ending)
            refusal = self._dispatcher.recover(failure, self._dispatch)
            if refusal is not None:
                return refusal
            self._release_memory()
            partial = _PartialAnswer()

    def close(self) -> None:
        self._dispatcher.close()


def run(
    context: jobs.Context,
    job: jobs.Job,
    call: requests.ServiceCall,
    choose: Callable[[Collection[chains.AgentInstance]], fleet.Agent | None],
) -> Answer | outcomes.Refusal:
    """Run a call and wait for its complete answer.

    An answer holds memory of ``context.answer_memory``, which the caller of
    this function releases.

    :param choose: returns an agent other than the given ones, or None
    """
    call_run = _Run(context, job, call, choose)
    try:
        return call_run.run()
    finally:
        call_run.close()
