"""A request to be run, and the objects shared by all requests."""

import time
from typing import Callable, Iterable

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import budget
from dunlintide_core import outcomes
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import memorybudget
from dunlintide_daemon.entry import planning
from dunlintide_daemon.entry import sessions

__all__ = [
    'NON_RETRYABLE',
    'RETRY_AFTER_SECONDS',
    'Context',
    'Job',
]

# Advised delay before a retry when no agent could take a request.
RETRY_AFTER_SECONDS = 2.0

# Failures that would recur in another attempt.
NON_RETRYABLE = frozenset(
    (
        outcomes.FailCode.BAD_REQUEST,
        outcomes.FailCode.UNAUTHENTICATED,
        outcomes.FailCode.NO_RULE,
        outcomes.FailCode.REFUSED_BY_RULE,
        outcomes.FailCode.NOT_FOUND,
        outcomes.FailCode.TOO_LARGE,
        outcomes.FailCode.KEY_REUSED,
        outcomes.FailCode.KEY_EXPIRED,
        outcomes.FailCode.ANSWER_GONE,
        outcomes.FailCode.RATE_LIMITED,
        outcomes.FailCode.DEADLINE,
        outcomes.FailCode.QUARANTINED,
        outcomes.FailCode.CANCELLED,
    )
)


@attrs.frozen
class Context:
    """Objects that all running requests share.

    :ivar retries: retry budget of this entry
    :ivar clock: returns the monotonic time in seconds
    :ivar count_retry: called for each attempt after a request's first
    :ivar answer_memory: memory for the buffered answers of services
    :ivar keeps_stage_state: whether stages that survive a failure keep
        their state for the next attempt
    """

    fleet: fleet.Fleet
    planner: planning.Planner
    sessions: sessions.Sessions
    retries: budget.RetryBudget
    clock: Callable[[], float] = time.monotonic
    count_retry: Callable[[], None] = lambda: None
    answer_memory: memorybudget.MemoryBudget = attrs.field(
        factory=memorybudget.MemoryBudget
    )
    keeps_stage_state: bool = True

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Add to the requests that run on agents.

        :param names: the agents of one chain
        :param amount: 1 when a request starts, -1 when it ends
        """
        self.fleet.add_work(names, amount)
        self.planner.add_work(names, amount)


@attrs.frozen
class Job:
    """Properties of a request that do not depend on its kind.

    :ivar terms: the request's terms for agents; all but the deadline,
        which is set again for each attempt, are the same in all attempts
    :ivar deadline: monotonic time in seconds
    :ivar repeatable: whether it may run again after it may have run
    :ivar is_connected: returns whether the caller is still connected
    :ivar claim: claim that binds it to its executor, if it needs one
    :ivar repeated: whether an earlier request with the same key made the
        claim, so that it may have run already
    """

    terms: link_pb2.Terms
    deadline: float
    repeatable: bool
    is_connected: Callable[[], bool] = lambda: True
    claim: link_pb2.Claim | None = None
    repeated: bool = False
