"""What all running requests share: one attempt after the other.

An ``Attempt`` owns a request's session from the first dispatch to its
final answer, whatever kind of request it is.
"""

import time
from typing import Callable

import attrs

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import learning
from dunlintide_daemon.entry import sessions

__all__ = [
    'Attempt',
]

# How often a request that waits looks whether its caller is still there;
# one that sends learns it from the connection.
POLL_SECONDS = 0.5
# An attempt that fails may be the request's own doing, so one request
# gets few of them and cannot take down one endpoint after another.
MAX_ATTEMPTS = 3
# How long a request that lost its agents waits for others to appear.
RECOVERY_SECONDS = 5.0
_RECOVERY_POLL_SECONDS = 0.05


def _read_code(code: str) -> outcomes.FailCode:
    try:
        return outcomes.FailCode(code)
    except ValueError:
        return outcomes.FailCode.INTERNAL


class Attempt:
    """Attempts of one request, one at a time.

    :ivar ran: whether any of the attempts may have run
    :ivar avoid: agents that failed this request
    """

    def __init__(self, context: jobs.Context, job: jobs.Job) -> None:
        self.ran = job.repeated
        self.avoid: set[chains.Life] = set()
        self._context = context
        self._job = job
        self._names: tuple[str, ...] = ()
        self._head: fleet.Agent | None = None
        self._settled = False
        self._held = False
        self._pace = learning.Pace()
        self._session = context.sessions.add(
            job.terms.request_id,
            job.terms.team,
            job.terms.rule,
            job.deadline,
        )
        context.retries.earn()

    @property
    def epoch(self) -> int:
        """Number of the current attempt, from 1."""
        return self._session.epoch

    def tell_left(self) -> float:
        """Return the seconds left until the deadline."""
        return self._job.deadline - self._context.clock()

    def build_terms(self) -> link_pb2.Terms:
        """Return the terms with the time that is left."""
        terms = link_pb2.Terms()
        terms.CopyFrom(self._job.terms)
        terms.deadline_ms = max(1, int(self.tell_left() * 1000))
        return terms

    def send(
        self,
        chain: chains.Chain,
        build: Callable[[int], link_pb2.Frame],
    ) -> None:
        """Begin the next attempt on a chain.

        A link that is lost already shows as any later loss does.
        :param build: makes the first frame from the attempt's number
        """
        if self._held and self._leads(chain):
            # Its head goes on with the run that it holds.
            self._settled = True
        self._release()
        self._head = chain[0]
        self._names = tuple(agent.peer.name for agent in chain)
        self._pace = learning.Pace()
        self._context.add_work(self._names, 1)
        session = self._session
        session.link = self._head.link
        session.epoch += 1
        if not self._head.link.send(build(session.epoch)):
            fail = link_pb2.Fail(
                request_id=session.request_id,
                epoch=session.epoch,
                code=outcomes.FailCode.LINK_LOST.value,
                agent=self._head.peer.name,
            )
            session.put(fail)

    def _leads(self, chain: chains.Chain) -> bool:
        if self._head is None or not self._context.replays:
            return False
        return chains.tell_life(chain[0]) == chains.tell_life(self._head)

    def take(
        self, relay: sessions.Relay | None = None
    ) -> list[sessions.Event]:
        """Wait a little for events of the current attempt.

        :param relay: takes tokens on the links' thread meanwhile
        """
        wait = min(POLL_SECONDS, self.tell_left())
        return self._session.take(wait, relay)

    def note_tokens(self, count: int) -> None:
        """Take note of the pace of tokens that came together."""
        now = self._context.clock()
        interval = self._pace.note(count, now)
        if interval is not None:
            self._context.planner.observe(self._names, interval, now)

    def check(self) -> outcomes.Refusal | None:
        """Tell whether the request must end now, and how."""
        if self.tell_left() <= 0:
            code = outcomes.FailCode.DEADLINE
            return outcomes.refuse(code, 'the deadline passed', ran=True)
        if not self._job.is_connected():
            code = outcomes.FailCode.CANCELLED
            return outcomes.refuse(code, 'the caller left', ran=True)
        return None

    def read_failure(
        self, event: link_pb2.Fail | sessions.Lost
    ) -> outcomes.Refusal:
        """Turn the end of an attempt into what the caller would hear."""
        if isinstance(event, sessions.Lost):
            self.ran = True
            code = outcomes.FailCode.LINK_LOST
            return self._blame(code, 'the link to the endpoint was lost', '')
        # Only the executor knows what became of the whole claim.
        self.ran = not event.sealed and (self.ran or event.ran)
        retry_after = event.retry_after_ms / 1000 or None
        code = _read_code(event.code)
        refusal = self._blame(code, event.detail, event.agent, retry_after)
        self._held = event.held
        return attrs.evolve(refusal, sealed=event.sealed, held=event.held)

    def _blame(
        self,
        code: outcomes.FailCode,
        detail: str,
        agent: str,
        retry_after: float | None = None,
    ) -> outcomes.Refusal:
        at_fault = agent or self._head.peer.name
        for one in self._context.fleet.list_agents():
            if one.peer.name == at_fault:
                self.avoid.add(chains.tell_life(one))
        if at_fault == self._head.peer.name:
            self.avoid.add(chains.tell_life(self._head))
        sealed = code is outcomes.FailCode.CANCELLED
        passing = sealed or code not in jobs.FINAL
        if not self.ran and retry_after is None and passing:
            retry_after = jobs.RETRY_AFTER_SECONDS
        return outcomes.refuse(
            code, detail, ran=self.ran, retry_after=retry_after
        )

    def _may_retry(self, refusal: outcomes.Refusal) -> bool:
        """Tell whether the request may be dispatched again, and pay."""
        if refusal.code in jobs.FINAL or self.epoch >= MAX_ATTEMPTS:
            return False
        if refusal.sealed:
            return False
        if self.ran and not self._is_safe_again(refusal):
            return False
        if self.check() is not None:
            return False
        if not self._context.retries.spend():
            return False
        self._context.count_retry()
        return True

    def refuse_unsent(self, detail: str) -> outcomes.Refusal:
        """Build the answer when no agent was there to send it to."""
        code = outcomes.FailCode.NO_CAPACITY
        if self.ran:
            code = outcomes.FailCode.EXECUTOR_GONE
            detail = 'the endpoint that the key is bound to cannot be reached'
        return outcomes.refuse(
            code, detail, ran=self.ran, retry_after=jobs.RETRY_AFTER_SECONDS
        )

    def _advise(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Tell the caller of what may run again when to ask again."""
        told = refusal.retry_after is not None
        if told or not self._job.repeatable or refusal.code in jobs.FINAL:
            return refusal
        return attrs.evolve(refusal, retry_after=jobs.RETRY_AFTER_SECONDS)

    def recover(
        self, refusal: outcomes.Refusal, open_again: Callable[[], bool]
    ) -> outcomes.Refusal | None:
        """Dispatch again after a failure, if that is allowed.

        :param refusal: how the last attempt ended
        :param open_again: dispatches; False when no agents are there
        :returns: None when it was dispatched, else the final answer
        """
        if not self._may_retry(refusal):
            return self._advise(refusal)
        until = self._context.clock() + RECOVERY_SECONDS
        while not open_again():
            ending = self.check()
            if ending is not None:
                return ending if self.ran else refusal
            if self._context.clock() > until:
                return refusal
            time.sleep(_RECOVERY_POLL_SECONDS)
        return None

    def _is_safe_again(self, refusal: outcomes.Refusal) -> bool:
        if self._job.repeatable:
            return True
        if refusal.held and self._context.replays:
            return True
        # Under a claim the one executor attaches to the run that it has,
        # so a lost link costs no second run.
        lost = refusal.code is outcomes.FailCode.LINK_LOST
        return lost and self._job.claim is not None

    def drop_gap(self) -> link_pb2.Fail:
        """Take note of a missing token and return it as a failure."""
        self._session.counts.drop_gap()
        return link_pb2.Fail(
            code=outcomes.FailCode.GAP.value,
            detail='a token is missing',
            ran=True,
        )

    def drop_duplicate(self) -> None:
        """Take note of a token that had come before."""
        self._session.counts.drop_duplicate()

    def settle(self) -> None:
        """Take note that the executor has ended the request itself."""
        self._settled = True

    def close(self) -> None:
        """Forget the request; one that may still run is cancelled."""
        self._context.sessions.discard(self._session)
        self._release()

    def _release(self) -> None:
        if self._head is None:
            return
        self._context.add_work(self._names, -1)
        if not self._settled:
            self._cancel(self._head.link)
        self._head = None
        self._settled = False
        self._held = False

    def _cancel(self, link: links.Link) -> None:
        cancel = link_pb2.Cancel(
            request_id=self._session.request_id, epoch=self.epoch
        )
        link.send(link_pb2.Frame(cancel=cancel))
