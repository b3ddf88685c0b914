"""One request on its way, and what all requests run with."""

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

# When a caller may ask again that found no agent for its request.
RETRY_AFTER_SECONDS = 2.0

# Failures that another attempt would only meet again.
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
    """What requests run with.

    :ivar retries: budget that all requests of this entry share
    :ivar answer_room: memory that gathered answers share
    :ivar count_retry: called for each attempt beyond a first
    :ivar replays: whether stages that survive a failure keep their state
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
        """Count work of agents; negative when it ends."""
        self.fleet.add_work(names, amount)
        self.planner.add_work(names, amount)


@attrs.frozen
class Job:
    """One request on its way, apart from what kind it is.

    :ivar terms: what is fixed for its life; the deadline is set anew
        for each attempt
    :ivar deadline: monotonic time in seconds
    :ivar repeatable: whether it may run again after it may have run
    :ivar is_connected: tells whether the caller still waits
    :ivar claim: binding to its one executor, if it needs one
    :ivar repeated: whether an earlier request made that claim, so that
        it may have run already
    """

    terms: link_pb2.Terms
    deadline: float
    repeatable: bool
    is_connected: Callable[[], bool] = lambda: True
    claim: link_pb2.Claim | None = None
    repeated: bool = False
