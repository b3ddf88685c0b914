"""HTTP answers of completions and services, and recording of outcomes."""

import inspect
import time
from typing import Callable, Iterator

from absl import logging
import attrs
import result

from dunlintide_core import outcomes
from dunlintide_daemon.entry import completions
from dunlintide_daemon.entry import headers as filtering
from dunlintide_daemon.entry import history
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import meter
from dunlintide_daemon.entry import openai
from dunlintide_daemon.entry import problems
from dunlintide_daemon.entry import requests
from dunlintide_daemon.entry import router
from dunlintide_daemon.entry import routes
from dunlintide_daemon.entry import services

__all__ = [
    'STREAMED_OUTCOME',
    'CompletionAnswer',
    'OutcomeRecorder',
    'respond_json',
    'respond_service',
]

# A stream's headers are sent before its outcome is known. Its caller takes
# the outcome from the end mark, or from its absence.
STREAMED_OUTCOME = 'in-stream'
_COMPLETE = outcomes.Outcome.COMPLETE.value


def respond_json(
    body: bytes, request_id: str, outcome: str = _COMPLETE
) -> problems.Response:
    """Build the response for a JSON body."""
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        (problems.OUTCOME_HEADER, outcome),
        (problems.REQUEST_ID_HEADER, request_id),
    ]
    return problems.Response(problems.render_status(200), headers, [body])


class _ReleasingBody:
    """Body that calls ``release`` when the server closes it, sent or not."""

    def __init__(self, body: bytes, release: Callable[[], None]) -> None:
        self._body = body
        self.close = release

    def __iter__(self) -> Iterator[bytes]:
        yield self._body


def respond_service(
    answer: services.Answer, request_id: str, release: Callable[[], None]
) -> problems.Response:
    """Build the response for a plain service's answer.

    :param release: called when the body is no longer kept in memory
    """
    headers = [
        *filtering.filter_answer_headers(answer.headers),
        ('Content-Length', str(len(answer.body))),
        (problems.OUTCOME_HEADER, _COMPLETE),
        (problems.REQUEST_ID_HEADER, request_id),
    ]
    status = problems.render_status(answer.status)
    return problems.Response(
        status, headers, _ReleasingBody(answer.body, release)
    )


@attrs.frozen
class OutcomeRecorder:
    """Records the outcomes of requests and ends their accounting."""

    history: history.History
    router: router.Router
    limiter: limits.Limiter
    meter: meter.Meter

    def record(
        self, caller: routes.Caller, refusal: outcomes.Refusal | None
    ) -> None:
        """Record how a request ended.

        :param refusal: why it got no complete answer; None for a complete one
        """
        self.limiter.release(caller.request_id)
        self.meter.observe_request(caller.arrived)
        self.history.end(caller.request_id, caller.team, refusal)
        logging.info(
            'request %s of team %s ended: %s',
            caller.request_id,
            caller.team,
            refusal.code.value if refusal is not None else _COMPLETE,
        )

    def release_claim(
        self,
        route: routes.CompletionRoute | routes.ServiceRoute,
        refusal: outcomes.Refusal,
    ) -> None:
        """Release the key of a request that never ran and never will.

        Only the claim's executor can confirm that, by a sealed refusal:
        another entry may have sent it the same claim.
        """
        if route.bound_claim is not None and refusal.sealed:
            self.router.release_claim(route.bound_claim)


class CompletionAnswer:
    """Answer of one completion, as one JSON body or as a stream."""

    def __init__(
        self,
        context: jobs.Context,
        recorder: OutcomeRecorder,
        caller: routes.Caller,
        completion: requests.Completion,
        route: routes.CompletionRoute,
        renderer: openai.CompletionRenderer,
        heartbeat: float,
    ) -> None:
        """Prepare the run, which starts when an answer is requested.

        :param heartbeat: longest pause in a stream, in seconds
        """
        self._recorder = recorder
        self._caller = caller
        self._completion = completion
        self._route = route
        self._renderer = renderer
        self._heartbeat = heartbeat
        self._meter = recorder.meter.begin_answer(caller.arrived)
        self._direct_output = completions.DirectOutput()
        self._events = completions.run(
            context, route.job, completion, route.plan, self._direct_output
        )

    def _end_refused(
        self, refusal: outcomes.Refusal
    ) -> result.Err[outcomes.Refusal]:
        self._events.close()
        self._recorder.release_claim(self._route, refusal)
        self._recorder.record(self._caller, refusal)
        return result.Err(refusal)

    def gather(self) -> result.Result[problems.Response, outcomes.Refusal]:
        """Run to the end and return the answer as one JSON body."""
        # Close the run here rather than in the garbage collector: closing
        # takes locks, which the thread that collects may already hold.
        try:
            return self._gather()
        finally:
            self._events.close()

    def _gather(self) -> result.Result[problems.Response, outcomes.Refusal]:
        texts: list[str] = []

        def collect(text: str) -> bool:
            self._meter.record_tokens(1, time.monotonic())
            texts.append(text)
            return True

        self._direct_output.write = collect
        for event in self._events:
            if isinstance(event, completions.TokenBatch):
                self._meter.record_tokens(len(event.texts), time.monotonic())
                texts += event.texts
            elif isinstance(event, outcomes.Refusal):
                return self._end_refused(event)
            elif isinstance(event, completions.End):
                body = self._renderer.render_body(
                    ''.join(texts),
                    event.finish_reason,
                    event.prompt_tokens,
                    event.tokens,
                )
                self._meter.close()
                self._recorder.record(self._caller, None)
                request_id = self._caller.request_id
                return result.Ok(respond_json(body, request_id))
        raise AssertionError('the completion yielded no end and no refusal')

    def stream(self) -> result.Result[problems.Response, outcomes.Refusal]:
        """Return the answer as server-sent events.

        The headers are sent with the first token, so that a request that
        is refused before it gets a problem response with its own status.
        """
        for event in self._events:
            if isinstance(event, completions.Idle):
                continue
            if isinstance(event, outcomes.Refusal):
                return self._end_refused(event)
            headers = [
                ('Content-Type', 'text/event-stream'),
                ('Cache-Control', 'no-store'),
                (problems.OUTCOME_HEADER, STREAMED_OUTCOME),
                (problems.REQUEST_ID_HEADER, self._caller.request_id),
            ]
            status = problems.render_status(200)
            body = _StreamBody(
                self._generate_events(event), self._cancel_unstarted
            )
            return result.Ok(problems.Response(status, headers, body))
        raise AssertionError('the completion yielded no end and no refusal')

    def _cancel_unstarted(self) -> None:
        """End a completion whose stream was closed before its first event."""
        self._events.close()
        refusal = outcomes.refuse(outcomes.FailCode.CANCELLED, ran=True)
        self._recorder.record(self._caller, refusal)

    def _send_token(self, text: str) -> bool:
        if not self._caller.send_now(self._renderer.render_token(text)):
            return False
        self._meter.record_tokens(1, time.monotonic())
        return True

    def _generate_events(
        self, first: completions.TokenBatch | completions.End
    ):
        refusal = outcomes.refuse(outcomes.FailCode.CANCELLED, ran=True)
        finished = False
        event = first
        last_sent = time.monotonic()
        render_token = self._renderer.render_token
        # The server sends each chunk before it asks for the next, so a token
        # that is sent directly cannot overtake a chunk.
        self._direct_output.write = self._send_token
        try:
            while True:
                now = time.monotonic()
                if isinstance(event, completions.TokenBatch):
                    last_sent = now
                    self._meter.record_tokens(len(event.texts), now)
                    yield b''.join(map(render_token, event.texts))
                elif isinstance(event, outcomes.Refusal):
                    refusal = event
                    request_id = self._caller.request_id
                    yield openai.render_error_event(event, request_id)
                    return
                elif isinstance(event, completions.End):
                    yield self._renderer.render_end(
                        event.finish_reason,
                        event.prompt_tokens,
                        event.tokens,
                        include_usage=self._completion.include_usage,
                    )
                    finished = True
                    return
                elif (
                    now - max(last_sent, self._meter.last_tokens_at)
                    >= self._heartbeat
                ):
                    last_sent = now
                    yield openai.HEARTBEAT
                event = next(self._events)
        finally:
            self._events.close()
            self._meter.close()
            self._recorder.record(self._caller, None if finished else refusal)


class _StreamBody:
    """Body that ends its completion even when it is closed unstarted.

    Closing a generator that was not started runs none of its code, so its
    ``finally`` block alone would not be enough.
    """

    def __init__(
        self, chunks: Iterator[bytes], cancel_unstarted: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._cancel_unstarted = cancel_unstarted

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        state = inspect.getgeneratorstate(self._chunks)
        self._chunks.close()
        if state == inspect.GEN_CREATED:
            self._cancel_unstarted()
