"""Delivery of answers and refusals to whoever takes them."""

import time
from typing import Callable

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import ledger as ledgers
from dunlintide_core import outcomes
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import requests

__all__ = [
    'AnswerSender',
]

# What a claim that may not start is told: code, ran, detail.
_CLAIM_REFUSALS = {
    ledgers.Verdict.DROPPED: (
        outcomes.FailCode.ANSWER_GONE,
        True,
        'it may have run and will not run again; no answer of it is kept',
    ),
    ledgers.Verdict.SEALED: (
        outcomes.FailCode.CANCELLED,
        False,
        'this attempt never ran and will not',
    ),
    ledgers.Verdict.KEY_REUSED: (
        outcomes.FailCode.KEY_REUSED,
        False,
        'the key was used for another request',
    ),
    ledgers.Verdict.EXECUTOR_GONE: (
        outcomes.FailCode.EXECUTOR_GONE,
        True,
        'the executor has restarted since',
    ),
    ledgers.Verdict.EXPIRED: (
        outcomes.FailCode.KEY_EXPIRED,
        True,
        'the claim is older than the retention',
    ),
    ledgers.Verdict.FULL: (
        outcomes.FailCode.NO_CAPACITY,
        False,
        'too many keys are remembered',
    ),
}


def _send_frames(
    frames: list[link_pb2.Frame], subscriber: requests.Subscriber, skip: int
) -> None:
    for frame in frames:
        if frame.WhichOneof('body') == 'token':
            if frame.token.index < skip:
                continue
        subscriber.send(frame)


class AnswerSender:
    """Subscribers of the requests at a gate, whose lock guards it."""

    def __init__(
        self,
        name: str,
        counts: counting.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Remember whom failures are blamed on.

        :param name: name of this agent
        """
        self._name = name
        self._counts = counts
        self._clock = clock
        # Requests by the ids under which repeats have attached.
        self._aliases: dict[str, requests.Request] = {}

    def refuse(
        self,
        subscriber: requests.Subscriber,
        code: outcomes.FailCode,
        detail: str,
        ran: bool,
        retry_after: float | None = None,
        *,
        agent: str = '',
        sealed: bool = False,
    ) -> None:
        """Tell a subscriber that it gets no answer.

        :param ran: False only when provably nothing of it ran
        :param retry_after: seconds after which a repeat makes sense
        :param agent: agent at fault, this one by default
        :param sealed: whether its claimed attempt will never run
        """
        self._counts.add(f'refused-{code}')
        subscriber.link.send(
            requests.build_fail(
                subscriber.request_id,
                subscriber.epoch,
                code,
                detail,
                ran=ran,
                agent=agent or self._name,
                retry_after=retry_after,
                sealed=sealed,
            )
        )

    def attach(
        self,
        request: requests.Request,
        subscriber: requests.Subscriber,
        skip: int,
    ) -> None:
        """Give a subscriber the answer of a run from its beginning.

        :param skip: generated tokens that it already has
        """
        request_id = subscriber.request_id
        request.subscribers = [
            other
            for other in request.subscribers
            if other.request_id != request_id
        ]
        request.subscribers.append(subscriber)
        request.detached_since = None
        if request_id != request.request_id:
            self._aliases[request_id] = request
        _send_frames(request.log, subscriber, skip)

    def detach(
        self, request: requests.Request, subscriber: requests.Subscriber
    ) -> None:
        """Send a subscriber nothing more."""
        request.subscribers.remove(subscriber)
        self._aliases.pop(subscriber.request_id, None)
        if not request.subscribers:
            request.detached_since = self._clock()

    def find_alias(self, request_id: str) -> requests.Request | None:
        """Return the request to which a repeat of that id is attached."""
        return self._aliases.get(request_id)

    def send(self, request: requests.Request, frame: link_pb2.Frame) -> None:
        """Send a part of an answer to all who take it."""
        if request.keeps_log:
            request.log.append(frame)
            request.log_bytes += frame.ByteSize()
        for subscriber in list(request.subscribers):
            if not subscriber.send(frame):
                self.detach(request, subscriber)

    def detach_all(self, request: requests.Request) -> None:
        """Send nothing more of a request."""
        for subscriber in list(request.subscribers):
            self.detach(request, subscriber)

    def answer_claim(
        self,
        verdict: ledgers.Verdict,
        entry: ledgers.Record | None,
        subscriber: requests.Subscriber,
        skip: int,
    ) -> None:
        """Answer an attempt that is not to start a run."""
        self._counts.add(f'claim-{verdict}')
        if verdict is ledgers.Verdict.ATTACH:
            self.attach(entry.work, subscriber, skip)
        elif verdict is ledgers.Verdict.REPLAY:
            _send_frames(entry.answer, subscriber, skip)
        else:
            code, ran, detail = _CLAIM_REFUSALS[verdict]
            sealed = verdict is ledgers.Verdict.SEALED
            self.refuse(subscriber, code, detail, ran, sealed=sealed)
