"""Delivery of answers and refusals to the subscribers of requests."""

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

# Refusals of claims that must not start a run: code, ran, detail.
_CLAIM_REFUSALS = {
    ledgers.Verdict.DROPPED: (
        outcomes.FailCode.ANSWER_GONE,
        True,
        'it may have run and does not run again; its answer is not stored',
    ),
    ledgers.Verdict.SEALED: (
        outcomes.FailCode.CANCELLED,
        False,
        'this attempt has not run and will never run',
    ),
    ledgers.Verdict.KEY_REUSED: (
        outcomes.FailCode.KEY_REUSED,
        False,
        'the key was used for another request',
    ),
    ledgers.Verdict.EXECUTOR_GONE: (
        outcomes.FailCode.EXECUTOR_GONE,
        True,
        'the executor has restarted since the claim was made',
    ),
    ledgers.Verdict.EXPIRED: (
        outcomes.FailCode.KEY_EXPIRED,
        True,
        'the claim is older than the retention time',
    ),
    ledgers.Verdict.FULL: (
        outcomes.FailCode.NO_CAPACITY,
        False,
        'the ledger of idempotency keys is full',
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
    """Sends answers to the subscribers of requests.

    The gate's lock guards all methods.
    """

    def __init__(
        self,
        name: str,
        counts: counting.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without attached repeats.

        :param name: name of this agent, the default agent at fault
        """
        self._name = name
        self._counts = counts
        self._clock = clock
        # Requests by the request ids of attached repeats.
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
        """Send a subscriber a failure in place of an answer.

        :param ran: False only when it is certain that no step ran
        :param retry_after: seconds to wait before a retry
        :param agent: agent at fault, this one by default
        :param sealed: whether the claimed attempt can never run
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
        """Subscribe to a request and replay the frames sent so far.

        :param skip: generated tokens that the subscriber already has
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
        """Unsubscribe one subscriber from a request."""
        request.subscribers.remove(subscriber)
        self._aliases.pop(subscriber.request_id, None)
        if not request.subscribers:
            request.detached_since = self._clock()

    def find_alias(self, request_id: str) -> requests.Request | None:
        """Return the request that a repeat with that id is attached to."""
        return self._aliases.get(request_id)

    def send(self, request: requests.Request, frame: link_pb2.Frame) -> None:
        """Send one frame of an answer to all subscribers.

        A subscriber whose link does not accept the frame is detached.
        """
        if request.keeps_log:
            request.log.append(frame)
            request.log_bytes += frame.ByteSize()
        for subscriber in list(request.subscribers):
            if not subscriber.send(frame):
                self.detach(request, subscriber)

    def detach_all(self, request: requests.Request) -> None:
        """Unsubscribe all subscribers from a request."""
        for subscriber in list(request.subscribers):
            self.detach(request, subscriber)

    def answer_claim(
        self,
        verdict: ledgers.Verdict,
        entry: ledgers.Record | None,
        subscriber: requests.Subscriber,
        skip: int,
    ) -> None:
        """Answer a claimed attempt that does not start a run."""
        self._counts.add(f'claim-{verdict}')
        if verdict is ledgers.Verdict.ATTACH:
            self.attach(entry.work, subscriber, skip)
        elif verdict is ledgers.Verdict.REPLAY:
            _send_frames(entry.answer, subscriber, skip)
        else:
            code, ran, detail = _CLAIM_REFUSALS[verdict]
            sealed = verdict is ledgers.Verdict.SEALED
            self.refuse(subscriber, code, detail, ran, sealed=sealed)
