"""Running a completion: tokens out, attempts behind them."""

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
    'End',
    'Outlet',
    'Plan',
    'Piece',
    'Wait',
    'run',
]


# Failures of a stage that leave the state of the others usable.
_RECOVERABLE = frozenset(
    (
        outcomes.FailCode.LINK_LOST,
        outcomes.FailCode.ENDPOINT_FAILED,
        outcomes.FailCode.LEAVING,
    )
)


@attrs.define
class Piece:
    """Texts of tokens that came together.

    Not frozen, as one is made for each token and that costs more.
    """

    texts: list[str]


@attrs.frozen
class Wait:
    """Nothing came for a while."""


@attrs.frozen
class End:
    """The whole answer has come."""

    finish_reason: str
    prompt_tokens: int
    tokens: int


@attrs.define
class Outlet:
    """Way of a token's text to the caller past the request's thread.

    :ivar write: takes a text without waiting, on the links' thread; False
        when it could not. It is called only while the request's thread
        waits for the run's next event; None for no such way.
    """

    write: Callable[[str], bool] | None = None


@attrs.frozen
class Plan:
    """What a completion runs on.

    :ivar prefixes: hashes of the prompt's blocks
    :ivar choose: returns a chain without the given agents, or None
    :ivar find_holder: returns the executor of the claim, None when there
        is no claim or no link to it
    :ivar repair: replaces the given agents of a chain, or returns None
    """

    model: str
    version: str
    adapter: str
    prefixes: link_pb2.Prefixes
    choose: Callable[[Collection[chains.Life]], chains.Chain | None]
    find_holder: Callable[[], fleet.Agent | None] = lambda: None
    repair: Callable[
        [chains.Chain, Collection[chains.Life]], chains.Chain | None
    ] = lambda chain, avoid: None


class _Run:
    """State of one completion."""

    def __init__(
        self,
        context: jobs.Context,
        job: jobs.Job,
        request: requests.Completion,
        plan: Plan,
        outlet: Outlet,
    ) -> None:
        self._context = context
        self._outlet = outlet
        self._job = job
        self._request = request
        self._plan = plan
        self._attempt = dispatch.Attempt(context, job)
        self._tokens: list[int] = []
        self._chain: chains.Chain = ()
        self._keeps = False

    def _build_open(self, chain: chains.Chain, epoch: int) -> link_pb2.Frame:
        message = link_pb2.Open(
            terms=self._attempt.build_terms(),
            epoch=epoch,
            chain=chains.build_stages(chain),
            prompt=self._request.prompt,
            max_tokens=self._request.max_tokens,
            resumed_tokens=self._tokens,
            claim=self._job.claim,
            model=self._plan.model,
            version=self._plan.version,
            adapter=self._plan.adapter,
            keep_state=self._keeps,
            prefixes=self._plan.prefixes,
        )
        return link_pb2.Frame(open=message)

    def _build_attach(self, epoch: int) -> link_pb2.Frame:
        message = link_pb2.Attach(
            terms=self._attempt.build_terms(),
            epoch=epoch,
            claim=self._job.claim,
        )
        return link_pb2.Frame(attach=message)

    def _attach(self) -> bool:
        """Ask the claim's executor for what it has, though no run can start.

        It may hold the answer, and if not, it will never run the claim.
        """
        holder = self._plan.find_holder()
        if holder is None:
            return False
        self._attempt.send((holder,), self._build_attach)
        return True

    def _choose(self) -> chains.Chain | None:
        avoid = self._attempt.avoid
        if self._keeps:
            chain = chains.pick_avoiding(
                lambda others: self._plan.repair(self._chain, others), avoid
            )
            if chain is not None:
                return chain
        return chains.pick_avoiding(self._plan.choose, avoid)

    def _open(self) -> bool:
        chain = self._choose()
        if chain is None:
            return self._attach()
        self._chain = chain
        self._attempt.send(chain, lambda epoch: self._build_open(chain, epoch))
        return True

    def _accept(self, token: link_pb2.Token, texts: list[str]) -> bool:
        """Take a token in; False when one before it is missing."""
        expected = len(self._tokens)
        if token.index > expected:
            return False
        if token.index < expected:
            self._attempt.drop_duplicate()
            return True
        self._tokens.append(token.id)
        texts.append(token.text)
        return True

    def _read(
        self, events: list[sessions.Event], texts: list[str]
    ) -> End | link_pb2.Fail | sessions.Lost | None:
        """Gather texts; return what ends the attempt, if anything."""
        for event in events:
            if isinstance(event, link_pb2.Token):
                if not self._accept(event, texts):
                    return self._attempt.drop_gap()
            elif isinstance(event, link_pb2.Done):
                if event.tokens != len(self._tokens):
                    return self._attempt.drop_gap()
                self._attempt.settle()
                return End(
                    event.finish_reason, event.prompt_tokens, event.tokens
                )
            elif isinstance(event, link_pb2.Fail):
                if not event.held:
                    self._attempt.settle()
                return event
            elif isinstance(event, sessions.Lost):
                return event
        return None

    def _relay(self, token: link_pb2.Token) -> bool:
        """Pass the next token on; any other is for the run itself."""
        if token.epoch != self._attempt.epoch:
            return False
        if token.index != len(self._tokens):
            return False
        if not self._outlet.write(token.text):
            return False
        self._tokens.append(token.id)
        self._attempt.note_tokens(1)
        return True

    def _take(self) -> list[sessions.Event]:
        passes_on = self._outlet.write is not None
        return self._attempt.take(self._relay if passes_on else None)

    def _is_whole(self) -> bool:
        return len(self._tokens) >= self._request.max_tokens

    def _end(self) -> End:
        """Build the end that the head could not tell.

        The size of the prompt is an estimate here.
        """
        prompt = requests.estimate_tokens(self._request.prompt)
        return End('length', prompt, len(self._tokens))

    def _may_keep(self, failure: outcomes.Refusal) -> bool:
        """Tell whether stages may go on with what they hold."""
        if not self._context.replays or not self._attempt.ran:
            return False
        return failure.held or failure.code in _RECOVERABLE

    def run(self) -> Iterator[Piece | Wait | End | outcomes.Refusal]:
        if not self._open():
            yield self._attempt.refuse_unsent(
                'no chain of endpoints holds all layers of the model'
            )
            return
        while True:
            texts: list[str] = []
            ending = self._read(self._take(), texts)
            if texts:
                self._attempt.note_tokens(len(texts))
                yield Piece(texts)
            if isinstance(ending, End):
                yield ending
                return
            if ending is not None and self._is_whole():
                # Only the word that it is whole was lost.
                yield self._end()
                return
            refusal = self._attempt.check()
            if refusal is None and ending is not None:
                failure = self._attempt.read_failure(ending)
                self._keeps = self._may_keep(failure)
                refusal = self._attempt.recover(failure, self._open)
            if refusal is not None:
                yield refusal
                return
            if not texts:
                yield Wait()

    def close(self) -> None:
        self._attempt.close()


def run(
    context: jobs.Context,
    job: jobs.Job,
    request: requests.Completion,
    plan: Plan,
    outlet: Outlet,
) -> Iterator[Piece | Wait | End | outcomes.Refusal]:
    """Run a completion; closing the iterator cancels it.

    :param outlet: way of tokens past this iterator, which yields the rest
    :returns: pieces and waits, then an end or a refusal
    """
    one = _Run(context, job, request, plan, outlet)
    try:
        yield from one.run()
    finally:
        one.close()
