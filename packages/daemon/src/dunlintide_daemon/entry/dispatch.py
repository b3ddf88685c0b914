"""Dispatch of a request to agents, with retries.

A ``Dispatcher`` owns a request's session from the first attempt to the
final answer, for completions and service calls alike.
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
from dunlintide_daemon.entry import modelplanning
from dunlintide_daemon.entry import sessions

__all__ = [
    'Dispatcher',
]

# Interval at which a request that waits checks that its caller is still
# connected; a request that is sending an answer notices a disconnection when
# the write fails.
CALLER_POLL_SECONDS = 0.5
# The request itself may be what makes an endpoint fail, so the bound keeps
# one request from crashing one endpoint after another.
MAX_ATTEMPTS = 3
# Longest wait for other agents after a request has lost its own.
RECOVERY_SECONDS = 5.0
_RECOVERY_POLL_SECONDS = 0.05


def _parse_code(code: str) -> outcomes.FailCode:
    try:
        return outcomes.FailCode(code)
    except ValueError:
        return outcomes.FailCode.INTERNAL


class Dispatcher:
    """Makes the attempts of one request, one at a time.

    :ivar may_have_run: whether anything of the request may have run, here
        or under an earlier request with the same key
    :ivar avoid: agent instances that failed an attempt of this request
    """

    def __init__(self, context: jobs.Context, job: jobs.Job) -> None:
        self.may_have_run = job.repeated
        self.avoid: set[chains.AgentInstance] = set()
        self._context = context
        self._job = job
        self._agent_names: tuple[str, ...] = ()
        self._head: fleet.Agent | None = None
        self._executor_ended = False
        self._state_held = False
        self._token_intervals = modelplanning.TokenIntervals()
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

    def get_remaining_seconds(self) -> float:
        """Return the seconds left until the deadline."""
        return self._job.deadline - self._context.clock()

    def build_terms(self) -> link_pb2.Terms:
        """Build the terms with the time left until the deadline."""
        terms = link_pb2.Terms()
        terms.CopyFrom(self._job.terms)
        terms.deadline_ms = max(1, int(self.get_remaining_seconds() * 1000))
        return terms

    def send(
        self,
        chain: chains.Chain,
        build: Callable[[int], link_pb2.Frame],
    ) -> None:
        """Start the next attempt on a chain, ending the current one.

        If the link is already lost, that is queued as a failure of the
        attempt, as a later loss would be.

        :param build: builds the first frame, given the attempt's number
        """
        if self._state_held and self._has_same_head(chain):
            # The head continues the run that it holds, so it must not be
            # cancelled.
            self._executor_ended = True
        self._end_attempt()
        self._head = chain[0]
        self._agent_names = tuple(agent.peer.name for agent in chain)
        self._token_intervals = modelplanning.TokenIntervals()
        self._context.add_work(self._agent_names, 1)
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

    def _has_same_head(self, chain: chains.Chain) -> bool:
        if self._head is None or not self._context.keeps_stage_state:
            return False
        return chains.get_instance(chain[0]) == chains.get_instance(self._head)

    def take_events(
        self, relay: sessions.Relay | None = None
    ) -> list[sessions.Event]:
        """Wait for events of the current attempt, up to the poll interval.

        :param relay: takes tokens on the links' thread meanwhile
        :returns: the events, none after a time-out
        """
        wait = min(CALLER_POLL_SECONDS, self.get_remaining_seconds())
        return self._session.take(wait, relay)

    def record_tokens(self, count: int) -> None:
        """Report the pace of tokens that came together to the planner."""
        now = self._context.clock()
        interval = self._token_intervals.add(count, now)
        if interval is not None:
            self._context.planner.record_interval(
                self._agent_names, interval, now
            )

    def check_termination(self) -> outcomes.Refusal | None:
        """Check the deadline and the caller's connection.

        :returns: why the request must end now, None when it may go on
        """
        if self.get_remaining_seconds() <= 0:
            code = outcomes.FailCode.DEADLINE
            return outcomes.refuse(code, 'the deadline passed', ran=True)
        if not self._job.is_connected():
            code = outcomes.FailCode.CANCELLED
            return outcomes.refuse(code, 'the caller disconnected', ran=True)
        return None

    def convert_failure(
        self, event: link_pb2.Fail | sessions.LinkLost
    ) -> outcomes.Refusal:
        """Convert the failure of an attempt to a refusal.

        The agent at fault is avoided by later attempts.
        """
        if isinstance(event, sessions.LinkLost):
            self.may_have_run = True
            code = outcomes.FailCode.LINK_LOST
            return self._record_failure(
                code, 'the link to the endpoint was lost', ''
            )
        # A sealed refusal means that the agent that executes the claim has
        # closed it without running it, so no earlier attempt ran either.
        self.may_have_run = not event.sealed and (
            self.may_have_run or event.ran
        )
        retry_after = event.retry_after_ms / 1000 or None
        code = _parse_code(event.code)
        refusal = self._record_failure(
            code, event.detail, event.agent, retry_after
        )
        self._state_held = event.held
        return attrs.evolve(refusal, sealed=event.sealed, held=event.held)

    def _record_failure(
        self,
        code: outcomes.FailCode,
        detail: str,
        agent: str,
        retry_after: float | None = None,
    ) -> outcomes.Refusal:
        at_fault = agent or self._head.peer.name
        for one in self._context.fleet.list_agents():
            if one.peer.name == at_fault:
                self.avoid.add(chains.get_instance(one))
        if at_fault == self._head.peer.name:
            self.avoid.add(chains.get_instance(self._head))
        is_cancelled = code is outcomes.FailCode.CANCELLED
        is_transient = is_cancelled or code not in jobs.NON_RETRYABLE
        if not self.may_have_run and retry_after is None and is_transient:
            retry_after = jobs.RETRY_AFTER_SECONDS
        return outcomes.refuse(
            code, detail, ran=self.may_have_run, retry_after=retry_after
        )

    def _reserve_retry(self, refusal: outcomes.Refusal) -> bool:
        """Tell whether to dispatch again, spending the retry budget if so."""
        if refusal.code in jobs.NON_RETRYABLE or self.epoch >= MAX_ATTEMPTS:
            return False
        if refusal.sealed:
            return False
        if self.may_have_run and not self._is_safe_to_repeat(refusal):
            return False
        if self.check_termination() is not None:
            return False
        if not self._context.retries.spend():
            return False
        self._context.count_retry()
        return True

    def refuse_unsent(self, detail: str) -> outcomes.Refusal:
        """Build the refusal of a request for which no agent was usable."""
        code = outcomes.FailCode.NO_CAPACITY
        if self.may_have_run:
            code = outcomes.FailCode.EXECUTOR_GONE
            detail = 'the endpoint that the key is bound to cannot be reached'
        return outcomes.refuse(
            code,
            detail,
            ran=self.may_have_run,
            retry_after=jobs.RETRY_AFTER_SECONDS,
        )

    def _add_retry_after(self, refusal: outcomes.Refusal) -> outcomes.Refusal:
        """Add a retry delay to the refusal of a repeatable request."""
        has_retry_after = refusal.retry_after is not None
        if (
            has_retry_after
            or not self._job.repeatable
            or refusal.code in jobs.NON_RETRYABLE
        ):
            return refusal
        return attrs.evolve(refusal, retry_after=jobs.RETRY_AFTER_SECONDS)

    def recover(
        self, refusal: outcomes.Refusal, redispatch: Callable[[], bool]
    ) -> outcomes.Refusal | None:
        """Dispatch again after a failure, if that is allowed.

        :param refusal: how the last attempt ended
        :param redispatch: starts an attempt; returns False when no agents
            are usable
        :returns: None when an attempt was started, else the final answer
        """
        if not self._reserve_retry(refusal):
            return self._add_retry_after(refusal)
        until = self._context.clock() + RECOVERY_SECONDS
        while not redispatch():
            ending = self.check_termination()
            if ending is not None:
                return ending if self.may_have_run else refusal
            if self._context.clock() > until:
                return refusal
            time.sleep(_RECOVERY_POLL_SECONDS)
        return None

    def _is_safe_to_repeat(self, refusal: outcomes.Refusal) -> bool:
        if self._job.repeatable:
            return True
        if refusal.held and self._context.keeps_stage_state:
            return True
        # Under a claim, the bound executor attaches a repeat to the run
        # that it already has, so a lost link causes no second run.
        lost = refusal.code is outcomes.FailCode.LINK_LOST
        return lost and self._job.claim is not None

    def record_gap(self) -> link_pb2.Fail:
        """Count a missing token and return it as a failure."""
        self._session.counts.count_gap()
        return link_pb2.Fail(
            code=outcomes.FailCode.GAP.value,
            detail='a token is missing',
            ran=True,
        )

    def record_duplicate(self) -> None:
        """Count a token that had come before."""
        self._session.counts.count_duplicate()

    def mark_ended(self) -> None:
        """Note that the executor has ended the attempt, so needs no cancel."""
        self._executor_ended = True

    def close(self) -> None:
        """End the session, cancelling an attempt that may still run."""
        self._context.sessions.discard(self._session)
        self._end_attempt()

    def _end_attempt(self) -> None:
        if self._head is None:
            return
        self._context.add_work(self._agent_names, -1)
        if not self._executor_ended:
            self._cancel(self._head.link)
        self._head = None
        self._executor_ended = False
        self._state_held = False

    def _cancel(self, link: links.Link) -> None:
        cancel = link_pb2.Cancel(
            request_id=self._session.request_id, epoch=self.epoch
        )
        link.send(link_pb2.Frame(cancel=cancel))
