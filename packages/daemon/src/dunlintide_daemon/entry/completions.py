"""Running a completion: its attempts, and the tokens that they yield."""

from typing import Callable, Collection, Iterator

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import dispatch
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import requests
from dunlintide_daemon.entry import sessions

__all__ = [
    'DirectOutput',
    'End',
    'Idle',
    'Plan',
    'TokenBatch',
    'run',
]


# Failures of one stage after which the other stages' state is usable.
_RECOVERABLE = frozenset(
    (
        outcomes.FailCode.LINK_LOST,
        outcomes.FailCode.ENDPOINT_FAILED,
        outcomes.FailCode.LEAVING,
    )
)


@attrs.define
class TokenBatch:
    """Texts of the tokens that were taken from the queue together.

    Not frozen: up to one is built for each token, and building a frozen
    object is slower.
    """

    texts: list[str]


@attrs.frozen
class Idle:
    """No token came within the poll interval."""


@attrs.frozen
class End:
    """End of a complete answer.

    :ivar prompt_tokens: size of the prompt in tokens
    :ivar tokens: number of generated tokens
    """

    finish_reason: str
    prompt_tokens: int
    tokens: int


@attrs.define
class DirectOutput:
    """Path of a token's text to the caller that skips the request's thread.

    :ivar write: sends a text without blocking, on the links' thread, and
        returns False when it could not. It is called only while the
        request's thread waits for the run's next event. None disables
        direct output.
    """

    write: Callable[[str], bool] | None = None


@attrs.frozen
class Plan:
    """Model of a completion, and the selection of its agents.

    :ivar prefixes: hashes of the prompt's blocks
    :ivar choose: returns a chain without the given agents, or None
    :ivar find_executor: returns the executor of the claim, None when
        there is no claim or no link to its executor
    :ivar repair: replaces the given agents of a chain, or returns None
    """

    model: str
    version: str
    adapter: str
    prefixes: link_pb2.Prefixes
    choose: Callable[[Collection[chains.AgentInstance]], chains.Chain | None]
    find_executor: Callable[[], fleet.Agent | None] = lambda: None
    repair: Callable[
        [chains.Chain, Collection[chains.AgentInstance]], chains.Chain | None
    ] = lambda chain, avoid: None


class _Run:
    """State of one running completion."""

    def __init__(
        self,
        context: jobs.Context,
        job: jobs.Job,
        request: requests.Completion,
        plan: Plan,
        direct_output: DirectOutput,
    ) -> None:
        self._context = context
        self._direct_output = direct_output
        self._job = job
        self._request = request
        self._plan = plan
        self._dispatcher = dispatch.Dispatcher(context, job)
        self._tokens: list[int] = []
        self._chain: chains.Chain = ()
        self._keep_state = False

    def _build_open(self, chain: chains.Chain, epoch: int) -> link_pb2.Frame:
        message = link_pb2.Open(
            terms=self._dispatcher.build_terms(),
            epoch=epoch,
            chain=chains.build_stages(chain),
            prompt=self._request.prompt,
            max_tokens=self._request.max_tokens,
            resumed_tokens=self._tokens,
            claim=self._job.claim,
            model=self._plan.model,
            version=self._plan.version,
            adapter=self._plan.adapter,
            keep_state=self._keep_state,
            prefixes=self._plan.prefixes,
        )
        return link_pb2.Frame(open=message)

    def _build_attach(self, epoch: int) -> link_pb2.Frame:
        message = link_pb2.Attach(
            terms=self._dispatcher.build_terms(),
            epoch=epoch,
            claim=self._job.claim,
        )
        return link_pb2.Frame(attach=message)

    def _attach(self) -> bool:
        """Ask the claim's executor for an earlier run when no chain is usable.

        The executor either returns the answer that it has stored, or seals
        the claim, so that the request never runs.
        """
        executor = self._plan.find_executor()
        if executor is None:
            return False
        self._dispatcher.send((executor,), self._build_attach)
        return True

    def _choose_chain(self) -> chains.Chain | None:
        avoid = self._dispatcher.avoid
        if self._keep_state:
            chain = chains.choose_with_fallback(
                lambda others: self._plan.repair(self._chain, others), avoid
            )
            if chain is not None:
                return chain
        return chains.choose_with_fallback(self._plan.choose, avoid)

    def _dispatch(self) -> bool:
        chain = self._choose_chain()
        if chain is None:
            return self._attach()
        self._chain = chain
        self._dispatcher.send(
            chain, lambda epoch: self._build_open(chain, epoch)
        )
        return True

    def _accept(self, token: link_pb2.Token, texts: list[str]) -> bool:
        """Append the next token.

        A duplicate is counted and dropped.

        :returns: False when a token before it is missing
        """
        expected = len(self._tokens)
        if token.index > expected:
            return False
        if token.index < expected:
            self._dispatcher.record_duplicate()
            return True
        self._tokens.append(token.id)
        texts.append(token.text)
        return True

    def _process_events(
        self, events: list[sessions.Event], texts: list[str]
    ) -> End | link_pb2.Fail | sessions.LinkLost | None:
        """Append the texts of tokens to ``texts``.

        :returns: the event that ends the attempt, or None
        """
        for event in events:
            if isinstance(event, link_pb2.Token):
                if not self._accept(event, texts):
                    return self._dispatcher.record_gap()
            elif isinstance(event, link_pb2.Done):
                if event.tokens != len(self._tokens):
                    return self._dispatcher.record_gap()
                self._dispatcher.mark_ended()
                return End(
                    event.finish_reason, event.prompt_tokens, event.tokens
                )
            elif isinstance(event, link_pb2.Fail):
                if not event.held:
                    self._dispatcher.mark_ended()
                return event
            elif isinstance(event, sessions.LinkLost):
                return event
        return None

    def _relay(self, token: link_pb2.Token) -> bool:
        """Send the next token in order to the caller, on the links' thread.

        :returns: False when the run's thread has to process the token
        """
        if token.epoch != self._dispatcher.epoch:
            return False
        if token.index != len(self._tokens):
            return False
        if not self._direct_output.write(token.text):
            return False
        self._tokens.append(token.id)
        self._dispatcher.record_tokens(1)
        return True

    def _take_events(self) -> list[sessions.Event]:
        can_relay = self._direct_output.write is not None
        return self._dispatcher.take_events(self._relay if can_relay else None)

    def _has_all_tokens(self) -> bool:
        return len(self._tokens) >= self._request.max_tokens

    def _build_end(self) -> End:
        """Build the end of an answer whose Done message was lost.

        The size of the prompt is an estimate here.
        """
        prompt = requests.estimate_tokens(self._request.prompt)
        return End('length', prompt, len(self._tokens))

    def _can_keep_state(self, failure: outcomes.Refusal) -> bool:
        """Tell whether stages may continue from the state that they hold."""
        if (
            not self._context.keeps_stage_state
            or not self._dispatcher.may_have_run
        ):
            return False
        return failure.held or failure.code in _RECOVERABLE

    def run(self) -> Iterator[TokenBatch | Idle | End | outcomes.Refusal]:
        if not self._dispatch():
            yield self._dispatcher.refuse_unsent(
                'no chain of endpoints holds all layers of the model'
            )
            return
        while True:
            texts: list[str] = []
            ending = self._process_events(self._take_events(), texts)
            if texts:
                self._dispatcher.record_tokens(len(texts))
                yield TokenBatch(texts)
            if isinstance(ending, End):
                yield ending
                return
            if ending is not None and self._has_all_tokens():
                # All tokens have come; only the Done message was lost.
                yield self._build_end()
                return
            refusal = self._dispatcher.check_termination()
            if refusal is None and ending is not None:
                failure = self._dispatcher.convert_failure(ending)
                self._keep_state = self._can_keep_state(failure)
                refusal = self._dispatcher.recover(failure, self._dispatch)
            if refusal is not None:
                yield refusal
                return
            if not texts:
                yield Idle()

    def close(self) -> None:
        self._dispatcher.close()


def run(
    context: jobs.Context,
    job: jobs.Job,
    request: requests.Completion,
    plan: Plan,
    direct_output: DirectOutput,
) -> Iterator[TokenBatch | Idle | End | outcomes.Refusal]:
    """Run a completion; closing the iterator cancels it.

    :param direct_output: sends tokens that this iterator then skips
    :returns: yields batches of tokens and idle marks, then an end or a
        refusal
    """
    completion_run = _Run(context, job, request, plan, direct_output)
    try:
        yield from completion_run.run()
    finally:
        completion_run.close()
