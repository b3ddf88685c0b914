"""Admission of everything that comes to the endpoint.

All entries meet here, so the queue, fairness, the in-flight cap, the
ledger of attempts and the refusals while leaving live here. Methods run
on link readers and driver threads under one lock and must not block.
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
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import places
from dunlintide_daemon.agent import works

__all__ = [
    'HOLD_SECONDS',
    'Gate',
    'GateSettings',
]

# Longer than an entry looks for another chain.
HOLD_SECONDS = 10.0
_QUARANTINED = 'the request has crashed endpoints'


@attrs.frozen
class GateSettings:
    """Constants of a gate.

    :ivar detach_grace: seconds that an idempotent run goes on with nobody
        to take its answer
    """

    name: str
    incarnation: int
    detach_grace: float = 2.0
    queue: queueing.Limits = queueing.Limits()
    ledger: ledgers.Limits = ledgers.Limits()


class Gate:
    """Requests that this agent is the executor of."""

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
        self.places = places.Places(settings.queue, cap, clock())
        self.ledger = ledgers.Ledger(settings.incarnation, settings.ledger)
        self.counts = counts
        self.fences = positions.Fences()
        self._settings = settings
        self._clock = clock
        self._answers = answers.Answers(settings.name, counts, clock)
        self._works: dict[str, works.Work] = {}
        self._generation_began = clock()

    def __len__(self) -> int:
        return len(self._works)

    def find(self, request_id: str) -> works.Work | None:
        """Return the request of that id, if it has not ended."""
        return self._works.get(request_id)

    def list_works(self) -> list[works.Work]:
        """Return all requests that have not ended."""
        with self.lock:
            return list(self._works.values())

    def attach(
        self, claim: link_pb2.Claim, subscriber: works.Subscriber
    ) -> None:
        """Deliver the answer of an earlier attempt, or say what is known."""
        with self.lock:
            verdict, entry = self.ledger.attach(works.read_claim(claim))
            self._answers.settle_claim(verdict, entry, subscriber, 0)

    def _find_obstacle(self, terms: link_pb2.Terms) -> places.Obstacle | None:
        if self.leaving:
            code = outcomes.FailCode.LEAVING
            return places.Obstacle(code, 'the endpoint is leaving')
        if self.fault:
            return places.Obstacle(outcomes.FailCode.NO_CAPACITY, self.fault)
        return self.places.find_obstacle(terms.team, terms.team_concurrency)

    def _enqueue(
        self,
        work: works.Work,
        subscriber: works.Subscriber,
        obstacle: places.Obstacle | None,
    ) -> bool:
        obstacle = obstacle or self._find_obstacle(work.terms)
        sealed = work.entry is not None
        if self.is_quarantined(work.terms.fingerprint):
            code = outcomes.FailCode.QUARANTINED
            self._answers.refuse(
                subscriber, code, _QUARANTINED, False, sealed=sealed
            )
            return False
        if obstacle is not None:
            self._answers.refuse(
                subscriber,
                obstacle.code,
                obstacle.detail,
                False,
                1.0,
                agent=obstacle.agent,
                sealed=sealed,
            )
            return False
        refusal = self.places.queue_up(work, self._clock())
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

    def _adopt(
        self,
        work: works.Work,
        subscriber: works.Subscriber,
        skip: int,
        obstacle: places.Obstacle | None,
    ) -> bool:
        """Give a run that nobody takes to a newer epoch of its request.

        True also when the frame is settled by dropping it.
        """
        old = self._works.get(work.request_id)
        if old is None:
            return False
        newest = max([old.epoch] + [other.epoch for other in old.subscribers])
        if work.epoch <= newest:
            self.counts.drop('stale-open')
            return True
        same = old.chain_key == work.chain_key and old.detached is not None
        if old.held is None and same:
            self.counts.add('adopted')
        elif old.finished or obstacle is None and work.take_over(old):
            self.counts.add('resumed')
        else:
            self.end(old, stop=True)
            return False
        self._answers.attach(old, subscriber, skip)
        if old.finished:
            self.end(old)
        return True

    def _attach_claimed(
        self,
        entry: ledgers.Record,
        work: works.Work,
        subscriber: works.Subscriber,
        skip: int,
        obstacle: places.Obstacle | None,
    ) -> None:
        """Give a claim's run to a repeat, and its chain to a held run."""
        verdict = ledgers.Verdict.ATTACH
        self._answers.settle_claim(verdict, entry, subscriber, skip)
        old = entry.work
        if old.finished:
            self.end(old)
        elif old.held is not None and obstacle is None:
            if work.take_over(old):
                self.counts.add('resumed')

    def open(
        self,
        work: works.Work,
        claim: link_pb2.Claim | None,
        subscriber: works.Subscriber,
        skip: int = 0,
        obstacle: places.Obstacle | None = None,
    ) -> None:
        """Take in a request: refuse, queue, or give it an earlier run.

        :param claim: for a non-idempotent request
        :param skip: generated tokens that the subscriber already has
        :param obstacle: why it may not begin; an earlier run's answer is
            delivered all the same
        """
        with self.lock:
            if claim is not None:
                verdict, entry = self.ledger.open(works.read_claim(claim))
                if verdict is ledgers.Verdict.ATTACH:
                    self._attach_claimed(
                        entry, work, subscriber, skip, obstacle
                    )
                    return
                if verdict is not ledgers.Verdict.START:
                    self._answers.settle_claim(
                        verdict, entry, subscriber, skip
                    )
                    return
                work.entry = entry
                entry.work = work
                if work.request_id in self._works:
                    self.ledger.seal(entry)
                    code = outcomes.FailCode.BAD_REQUEST
                    self._answers.refuse(
                        subscriber, code, 'id in use', False, sealed=True
                    )
                    return
            elif self.fences.has_ended(work.request_id, work.epoch):
                self.counts.drop('stale-open')
                return
            elif self._adopt(work, subscriber, skip, obstacle):
                return
            if not self._enqueue(work, subscriber, obstacle):
                if work.entry is not None:
                    self.ledger.seal(work.entry)
                return
            work.subscribers.append(subscriber)
            self._works[work.request_id] = work
            self.places.count_in(work.terms.team)
            self.counts.add('opened')
            self.pump()

    def pump(self) -> None:
        """Start what may start."""
        with self.lock:
            now = self._clock()
            while work := self.places.take_next(now):
                if work.entry is not None:
                    work.entry.state = ledgers.State.RUNNING
                work.start(work)

    def send(self, work: works.Work, frame: link_pb2.Frame) -> None:
        """Send a part of the answer to whoever takes it."""
        with self.lock:
            if work.phase is works.Phase.ENDED:
                self.counts.drop('late-answer')
                return
            self._answers.send(work, frame)

    def note_back(self, work: works.Work) -> None:
        """Take note that the engine is done with a step of a request.

        One that ended meanwhile has held its slot: else a flood of
        requests that are given up fills the engine past its cap.
        """
        with self.lock:
            work.under_way -= 1
            if work.phase is works.Phase.ENDED and not work.under_way:
                self.places.free(work)
                self.pump()

    def _forget(self, work: works.Work) -> None:
        if self._works.get(work.request_id) is work:
            del self._works[work.request_id]
        self.places.count_out(work)
        work.phase = works.Phase.ENDED
        self._answers.forget(work)
        self.fences.end(work.request_id, work.epoch)

    def end(self, work: works.Work, *, stop: bool = False) -> None:
        """Forget a request whose answer, if any, has been sent whole.

        :param stop: whether the run must be stopped first
        """
        with self.lock:
            if work.phase is works.Phase.ENDED:
                return
            queued = work.phase is works.Phase.QUEUED
            if stop and not queued:
                work.stop(work)
            self._forget(work)
            if work.entry is not None and queued:
                self.ledger.seal(work.entry)
            elif work.entry is not None:
                whole = not stop and bool(work.log)
                answer = work.log if whole else None
                self.ledger.finish(work.entry, answer, work.log_bytes)
            self.pump()

    def fail(
        self,
        work: works.Work,
        code: outcomes.FailCode,
        detail: str,
        agent: str = '',
        ran: bool = True,
    ) -> None:
        """End a request without a whole answer.

        :param ran: False only when the run provably did nothing
        """
        with self.lock:
            if work.phase is works.Phase.ENDED:
                return
            if work.phase is works.Phase.QUEUED:
                ran = False
            self.counts.add(f'failed-{code}')
            frame = works.build_fail(
                work.request_id,
                work.epoch,
                code,
                detail,
                ran=ran,
                agent=agent or self._settings.name,
                sealed=work.entry is not None and not ran,
            )
            for subscriber in work.subscribers:
                subscriber.send(frame)
            entry = work.entry
            self.end(work, stop=True)
            if entry is not None and not ran:
                self.ledger.seal(entry)

    def hold(
        self,
        work: works.Work,
        code: outcomes.FailCode,
        detail: str,
        agent: str,
    ) -> None:
        """Keep a run that lost a later stage, and ask for another one.

        :param agent: agent at fault
        """
        with self.lock:
            if work.phase is not works.Phase.RUNNING:
                return
            work.held = self._clock()
            self.counts.add(f'held-{code}')
            frame = works.build_fail(
                work.request_id,
                work.epoch,
                code,
                detail,
                ran=True,
                agent=agent,
                held=True,
            )
            for subscriber in work.subscribers:
                subscriber.send(frame)

    def finish(self, work: works.Work) -> None:
        """Take the end of an answer; one that is held waits to be asked."""
        with self.lock:
            if work.held is None:
                self.end(work)
            else:
                work.finished = True

    def cancel(self, request_id: str, epoch: int, link: links.Link) -> None:
        """Stop a request on its caller's word.

        A non-idempotent run goes on: its answer is kept for a repeat.
        """
        with self.lock:
            work = self._works.get(request_id)
            if work is None:
                work = self._answers.find_alias(request_id)
            if work is None:
                self.counts.drop('unknown-cancel')
                return
            gone = [
                other
                for other in work.subscribers
                if other.request_id == request_id
                and other.epoch <= epoch
                and other.link is link
            ]
            for subscriber in gone:
                self._answers.detach(work, subscriber)
            if gone:
                self._cancel(work, gone)
            else:
                self.counts.drop('stale-cancel')

    def _cancel(self, work: works.Work, gone: list[works.Subscriber]) -> None:
        keep = work.entry is not None and work.phase is works.Phase.RUNNING
        if work.subscribers or keep:
            return
        work.subscribers = gone
        self.fail(work, outcomes.FailCode.CANCELLED, 'cancelled by the caller')

    def lose_link(self, link: links.Link) -> None:
        """Take note that a caller's link is gone."""
        with self.lock:
            for work in self._works.values():
                for subscriber in list(work.subscribers):
                    if subscriber.link is link:
                        self._answers.detach(work, subscriber)

    def set_fault(self, detail: str) -> None:
        """Refuse new work while the endpoint is away, and what waits.

        :param detail: why; empty once the endpoint is back
        """
        with self.lock:
            self.fault = detail
            if not detail:
                return
            for work in list(self._works.values()):
                if work.phase is works.Phase.QUEUED:
                    self.fail(work, outcomes.FailCode.NO_CAPACITY, detail)

    def drop_quarantined(self) -> None:
        """Refuse what waits of requests that are now quarantined."""
        with self.lock:
            for work in list(self._works.values()):
                if work.phase is not works.Phase.QUEUED:
                    continue
                if self.is_quarantined(work.terms.fingerprint):
                    code = outcomes.FailCode.QUARANTINED
                    self.fail(work, code, _QUARANTINED)

    def leave(self) -> None:
        """Refuse new work from now on."""
        with self.lock:
            self.leaving = True

    def _give_up(self, work: works.Work) -> None:
        if work.finished:
            self.end(work)
            return
        code = outcomes.FailCode.LINK_LOST
        self.fail(work, code, 'a stage was lost and none took its place')

    def _check_work(self, work: works.Work, now: float) -> None:
        if now > work.deadline:
            self.fail(
                work, outcomes.FailCode.DEADLINE, 'the deadline has passed'
            )
            return
        if work.held is not None and now - work.held > HOLD_SECONDS:
            self._give_up(work)
            return
        if work.detached is None or work.entry is not None:
            return
        if now - work.detached > self._settings.detach_grace:
            self.fail(
                work, outcomes.FailCode.LINK_LOST, 'nobody takes the answer'
            )

    def tick(self) -> None:
        """Do what time demands; call it a few times a second."""
        with self.lock:
            now = self._clock()
            for work in list(self._works.values()):
                self._check_work(work, now)
            self.places.tick(now)
            seconds = ledgers.GENERATION_SECONDS
            while now - self._generation_began >= seconds:
                self._generation_began += seconds
                self.ledger.tick()
            self.pump()
