"""Admission control for all requests to the endpoint.

The agent is the one place that sees the requests of all entries. It therefore
holds the queue, fairness between teams, the in-flight cap and the ledger of
claimed attempts, and refuses requests while it is leaving. Methods run on
link reader and driver threads under one lock and must not block.
"""

import threading
import time
from typing import Callable

import attrs

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import caps
from dunlintide_core import ledger as ledgers
from dunlintide_core import outcomes
from dunlintide_core import positions
from dunlintide_core import queueing
from dunlintide_daemon.agent import answers
from dunlintide_daemon.agent import capacity
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import requests

__all__ = [
    'Gate',
    'GateSettings',
    'HOLD_SECONDS',
]

# Longer than the time for which an entry searches for another chain.
HOLD_SECONDS = 10.0
_QUARANTINED = 'the request has crashed endpoints'


@attrs.frozen
class GateSettings:
    """Constants of a gate.

    :ivar name: name of this agent
    :ivar detach_grace: seconds for which an idempotent run continues
        without a subscriber
    """

    name: str
    incarnation: int
    detach_grace: float = 2.0
    queue: queueing.Limits = queueing.Limits()
    ledger: ledgers.Limits = ledgers.Limits()


class Gate:
    """Admits and tracks the requests that this agent executes.

    :ivar lock: guards the state of the gate and of its components
    :ivar leaving: whether new requests are refused for good
    :ivar fault: why new requests are refused; empty if they are accepted
    :ivar is_quarantined: returns whether a request fingerprint is refused,
        as the request has crashed endpoints
    :ivar fences: epochs that have ended here
    """

    def __init__(
        self,
        settings: GateSettings,
        cap: caps.Cap,
        counts: counting.Counts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.lock = threading.RLock()
        self.leaving = False
        self.fault = ''
        self.is_quarantined: Callable[[bytes], bool] = lambda digest: False
        self.capacity = capacity.Capacity(settings.queue, cap, clock())
        self.ledger = ledgers.Ledger(settings.incarnation, settings.ledger)
        self.counts = counts
        self.fences = positions.Fences()
        self._settings = settings
        self._clock = clock
        self._answers = answers.AnswerSender(settings.name, counts, clock)
        self._requests: dict[str, requests.Request] = {}
        self._generation_started = clock()

    def __len__(self) -> int:
        return len(self._requests)

    def find(self, request_id: str) -> requests.Request | None:
        """Return the request with that id if it has not ended."""
        return self._requests.get(request_id)

    def list_requests(self) -> list[requests.Request]:
        """Return all requests that have not ended."""
        with self.lock:
            return list(self._requests.values())

    def attach(
        self, claim: link_pb2.Claim, subscriber: requests.Subscriber
    ) -> None:
        """Deliver the answer of an earlier attempt, or what became of it."""
        with self.lock:
            verdict, entry = self.ledger.attach(requests.read_claim(claim))
            self._answers.answer_claim(verdict, entry, subscriber, 0)

    def _find_rejection(
        self, terms: link_pb2.Terms
    ) -> capacity.Rejection | None:
        if self.leaving:
            code = outcomes.FailCode.LEAVING
            return capacity.Rejection(code, 'the endpoint is leaving')
        if self.fault:
            return capacity.Rejection(
                outcomes.FailCode.NO_CAPACITY, self.fault
            )
        return self.capacity.find_rejection(terms.team, terms.team_concurrency)

    def _enqueue(
        self,
        request: requests.Request,
        subscriber: requests.Subscriber,
        rejection: capacity.Rejection | None,
    ) -> bool:
        rejection = rejection or self._find_rejection(request.terms)
        sealed = request.entry is not None
        if self.is_quarantined(request.terms.fingerprint):
            code = outcomes.FailCode.QUARANTINED
            self._answers.refuse(
                subscriber, code, _QUARANTINED, False, sealed=sealed
            )
            return False
        if rejection is not None:
            self._answers.refuse(
                subscriber,
                rejection.code,
                rejection.detail,
                False,
                1.0,
                agent=rejection.agent,
                sealed=sealed,
            )
            return False
        refusal = self.capacity.enqueue(request, self._clock())
        if refusal is not None:
            self._answers.refuse(
                subscriber,
                refusal.code,
                refusal.detail,
                False,
                refusal.retry_after,
                sealed=sealed,
            )
            return False
        return True

    def _join_run(
        self,
        request: requests.Request,
        subscriber: requests.Subscriber,
        skip: int,
        rejection: capacity.Rejection | None,
    ) -> bool:
        """Attach a newer epoch of a request to its run, if there is one.

        A run that can neither be attached to nor resumed is stopped.

        :returns: whether the message is done with, also by dropping it
        """
        earlier = self._requests.get(request.request_id)
        if earlier is None:
            return False
        newest = max(
            [earlier.epoch] + [other.epoch for other in earlier.subscribers]
        )
        if request.epoch <= newest:
            self.counts.add_drop('stale-open')
            return True
        is_same_chain = (
            earlier.chain_key == request.chain_key
            and earlier.detached_since is not None
        )
        if earlier.held_since is None and is_same_chain:
            self.counts.add('adopted')
        elif (
            earlier.finished
            or rejection is None
            and request.resume_held(earlier)
        ):
            self.counts.add('resumed')
        else:
            self.end(earlier, stop=True)
            return False
        self._answers.attach(earlier, subscriber, skip)
        if earlier.finished:
            self.end(earlier)
        return True

    def _attach_claimed(
        self,
        entry: ledgers.Record,
        request: requests.Request,
        subscriber: requests.Subscriber,
        skip: int,
        rejection: capacity.Rejection | None,
    ) -> None:
        """Attach a repeat to its claim's run, and resume a held run."""
        verdict = ledgers.Verdict.ATTACH
        self._answers.answer_claim(verdict, entry, subscriber, skip)
        earlier = entry.work
        if earlier.finished:
            self.end(earlier)
        elif earlier.held_since is not None and rejection is None:
            if request.resume_held(earlier):
                self.counts.add('resumed')

    def open(
        self,
        request: requests.Request,
        claim: link_pb2.Claim | None,
        subscriber: requests.Subscriber,
        skip: int = 0,
        rejection: capacity.Rejection | None = None,
    ) -> None:
        """Refuse or queue a request, or attach it to an earlier run.

        :param claim: claim of a non-idempotent request
        :param skip: generated tokens that the subscriber already has
        :param rejection: why the request cannot start; the answer of an
            earlier run is delivered nevertheless
        """
        with self.lock:
            if claim is not None:
                verdict, entry = self.ledger.open(requests.read_claim(claim))
                if verdict is ledgers.Verdict.ATTACH:
                    self._attach_claimed(
                        entry, request, subscriber, skip, rejection
                    )
                    return
                if verdict is not ledgers.Verdict.START:
                    self._answers.answer_claim(
                        verdict, entry, subscriber, skip
                    )
                    return
                request.entry = entry
                entry.work = request
                if request.request_id in self._requests:
                    self.ledger.seal(entry)
                    code = outcomes.FailCode.BAD_REQUEST
                    self._answers.refuse(
                        subscriber,
                        code,
                        'the request id is already in use',
                        False,
                        sealed=True,
                    )
                    return
            elif self.fences.has_ended(request.request_id, request.epoch):
                self.counts.add_drop('stale-open')
                return
            elif self._join_run(request, subscriber, skip, rejection):
                return
            if not self._enqueue(request, subscriber, rejection):
                if request.entry is not None:
                    self.ledger.seal(request.entry)
                return
            request.subscribers.append(subscriber)
            self._requests[request.request_id] = request
            self.capacity.add_request(request.terms.team)
            self.counts.add('opened')
            self.start_queued()

    def start_queued(self) -> None:
        """Start queued requests while the endpoint has capacity."""
        with self.lock:
            now = self._clock()
            while request := self.capacity.start_next(now):
                if request.entry is not None:
                    request.entry.state = ledgers.State.RUNNING
                request.start(request)

    def send(self, request: requests.Request, frame: link_pb2.Frame) -> None:
        """Send one frame of an answer to the subscribers."""
        with self.lock:
            if request.phase is requests.Phase.ENDED:
                self.counts.add_drop('late-answer')
                return
            self._answers.send(request, frame)

    def finish_step(self, request: requests.Request) -> None:
        """Record that the engine has finished a step of a request.

        An ended request keeps its slot until its last step is finished.
        Otherwise a flood of cancelled requests would load the engine beyond
        its cap.
        """
        with self.lock:
            request.steps_under_way -= 1
            if (
                request.phase is requests.Phase.ENDED
                and not request.steps_under_way
            ):
                self.capacity.release(request)
                self.start_queued()

    def _remove(self, request: requests.Request) -> None:
        if self._requests.get(request.request_id) is request:
            del self._requests[request.request_id]
        self.capacity.remove_request(request)
        request.phase = requests.Phase.ENDED
        self._answers.detach_all(request)
        self.fences.end(request.request_id, request.epoch)

    def end(self, request: requests.Request, *, stop: bool = False) -> None:
        """Remove a request and settle its claim.

        :param stop: whether the run must be stopped first
        """
        with self.lock:
            if request.phase is requests.Phase.ENDED:
                return
            queued = request.phase is requests.Phase.QUEUED
            if stop and not queued:
                request.stop(request)
            self._remove(request)
            if request.entry is not None and queued:
                self.ledger.seal(request.entry)
            elif request.entry is not None:
                is_complete = not stop and bool(request.log)
                answer = request.log if is_complete else None
                self.ledger.finish(request.entry, answer, request.log_bytes)
            self.start_queued()

    def fail(
        self,
        request: requests.Request,
        code: outcomes.FailCode,
        detail: str,
        agent: str = '',
        ran: bool = True,
    ) -> None:
        """End a request without a complete answer.

        :param agent: agent at fault, this one by default
        :param ran: False only when it is certain that no step ran
        """
        with self.lock:
            if request.phase is requests.Phase.ENDED:
                return
            if request.phase is requests.Phase.QUEUED:
                ran = False
            self.counts.add(f'failed-{code}')
            frame = requests.build_fail(
                request.request_id,
                request.epoch,
                code,
                detail,
                ran=ran,
                agent=agent or self._settings.name,
                sealed=request.entry is not None and not ran,
            )
            for subscriber in request.subscribers:
                subscriber.send(frame)
            entry = request.entry
            self.end(request, stop=True)
            if entry is not None and not ran:
                self.ledger.seal(entry)

    def hold(
        self,
        request: requests.Request,
        code: outcomes.FailCode,
        detail: str,
        agent: str,
    ) -> None:
        """Hold a run that lost a later stage and ask for a replacement.

        :param agent: agent at fault
        """
        with self.lock:
            if request.phase is not requests.Phase.RUNNING:
                return
            request.held_since = self._clock()
            self.counts.add(f'held-{code}')
            frame = requests.build_fail(
                request.request_id,
                request.epoch,
                code,
                detail,
                ran=True,
                agent=agent,
                held=True,
            )
            for subscriber in request.subscribers:
                subscriber.send(frame)

    def finish(self, request: requests.Request) -> None:
        """Record the end of an answer; a held run waits for its repeat."""
        with self.lock:
            if request.held_since is None:
                self.end(request)
            else:
                request.finished = True

    def cancel(self, request_id: str, epoch: int, link: links.Link) -> None:
        """Cancel a request for its caller.

        A non-idempotent run continues, and its answer is kept for a repeat.
        """
        with self.lock:
            request = self._requests.get(request_id)
            if request is None:
                request = self._answers.find_alias(request_id)
            if request is None:
                self.counts.add_drop('unknown-cancel')
                return
            cancelled = [
                other
                for other in request.subscribers
                if other.request_id == request_id
                and other.epoch <= epoch
                and other.link is link
            ]
            for subscriber in cancelled:
                self._answers.detach(request, subscriber)
            if cancelled:
                self._cancel(request, cancelled)
            else:
                self.counts.add_drop('stale-cancel')

    def _cancel(
        self, request: requests.Request, cancelled: list[requests.Subscriber]
    ) -> None:
        keeps_running = (
            request.entry is not None
            and request.phase is requests.Phase.RUNNING
        )
        if request.subscribers or keeps_running:
            return
        request.subscribers = cancelled
        self.fail(
            request, outcomes.FailCode.CANCELLED, 'cancelled by the caller'
        )

    def handle_link_loss(self, link: links.Link) -> None:
        """Unsubscribe all requests of a lost link."""
        with self.lock:
            for request in self._requests.values():
                for subscriber in list(request.subscribers):
                    if subscriber.link is link:
                        self._answers.detach(request, subscriber)

    def set_fault(self, detail: str) -> None:
        """Refuse new and queued requests while the endpoint is unavailable.

        :param detail: reason; empty once the endpoint is available
        """
        with self.lock:
            self.fault = detail
            if not detail:
                return
            for request in list(self._requests.values()):
                if request.phase is requests.Phase.QUEUED:
                    self.fail(request, outcomes.FailCode.NO_CAPACITY, detail)

    def fail_quarantined(self) -> None:
        """Fail queued requests that are quarantined now."""
        with self.lock:
            for request in list(self._requests.values()):
                if request.phase is not requests.Phase.QUEUED:
                    continue
                if self.is_quarantined(request.terms.fingerprint):
                    code = outcomes.FailCode.QUARANTINED
                    self.fail(request, code, _QUARANTINED)

    def start_leaving(self) -> None:
        """Refuse new requests from now on."""
        with self.lock:
            self.leaving = True

    def _end_held(self, request: requests.Request) -> None:
        if request.finished:
            self.end(request)
            return
        code = outcomes.FailCode.LINK_LOST
        self.fail(request, code, 'a stage was lost and not replaced in time')

    def _check_request(self, request: requests.Request, now: float) -> None:
        if now > request.deadline:
            self.fail(
                request, outcomes.FailCode.DEADLINE, 'the deadline has passed'
            )
            return
        if (
            request.held_since is not None
            and now - request.held_since > HOLD_SECONDS
        ):
            self._end_held(request)
            return
        if request.detached_since is None or request.entry is not None:
            return
        if now - request.detached_since > self._settings.detach_grace:
            self.fail(
                request,
                outcomes.FailCode.LINK_LOST,
                'the answer has no subscriber',
            )

    def tick(self) -> None:
        """Enforce time limits; to be called a few times a second."""
        with self.lock:
            now = self._clock()
            for request in list(self._requests.values()):
                self._check_request(request, now)
            self.capacity.tick(now)
            seconds = ledgers.GENERATION_SECONDS
            while now - self._generation_started >= seconds:
                self._generation_started += seconds
                self.ledger.tick()
            self.start_queued()
