"""One request at an entry: what is known of it and how it may end."""

import enum

import attrs

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core.pipeline import asks
from dunlintide_core.pipeline import profiles
from dunlintide_daemon.gateway import events

__all__ = [
    'Exchange',
    'Outcome',
    'Stream',
    'refuse',
]

# Least time after which a refused caller is to return, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.05
# Times that endpoints may refuse a request that did not run before its
# caller hears of it: they answer in milliseconds, and each costs a part of
# the shared budget.
MAX_REFUSALS = 2


class Outcome(enum.StrEnum):
    """How a request ended."""

    COMPLETE = 'complete'
    FAILED = 'failed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    CUT = 'cut'
    GONE = 'gone'
    DENIED = 'denied'


@attrs.define(eq=False)
class Exchange:
    """A request, its terms and its answer.

    :ivar service: service that it was given to by its rule's shares
    :ivar deadline: monotonic time by which it must have ended, in seconds
    :ivar sends: times that it was sent
    :ivar runs: sends that may have run; a refused one is none
    :ivar team: name of the team that owns its key, None without one
    :ivar digest: names this request, and not one like it, over its
        caller's retries
    :ivar returned: whether it was refused before
    :ivar tried: names of endpoints that failed it
    :ivar events: events that its caller got
    :ivar first_event: seconds from its arrival to the first one
    :ivar last_event: monotonic time of the last one, in seconds
    :ivar longest_gap: longest pause between two, over all runs, in seconds
    """

    request: callermessages.Request
    reply: callermessages.Reply
    caller_request: asks.Ask
    rule: configuration.Rule
    service: str
    deadline: float
    version: int
    priority: int
    fingerprint: str
    digest: int = 0
    was_refused: bool = False
    team: str | None = None
    sends: int = 0
    runs: int = 0
    failed_endpoints: list[str] = attrs.field(factory=list)
    events: int = 0
    first_event_delay: float | None = None
    last_event: float = 0.0
    longest_gap: float = 0.0

    @property
    def terms(self) -> configuration.Then:
        """What the rule says."""
        return self.rule.then

    @property
    def has_attempts_left(self) -> bool:
        """Whether another endpoint may get it.

        Refusals don't end a stream that ran: its caller has a part of it,
        and the budget and the caller's patience bound its sends.
        """
        attempts = max(1, self.terms.attempts)
        if self.runs >= attempts:
            return False
        under_way = self.terms.stream and self.runs > 0
        return under_way or self.sends < attempts + MAX_REFUSALS

    def can_retry(self, ran: bool, now: float) -> bool:
        """Tell whether another run may serve it.

        :param ran: whether one may have run so far
        :param now: monotonic time in seconds
        """
        if ran and not self.is_repeatable:
            return False
        return self.has_attempts_left and self.deadline > now

    @property
    def is_repeatable(self) -> bool:
        """Whether it may run again after it may have run."""
        terms = self.terms
        return bool(terms.repeatable) or (terms.stream and terms.resumable)


@attrs.frozen(eq=False)
class Stream:
    """A request for a stream, over all of its runs.

    :ivar profile: cost model of the engines that serve it
    :ivar sequence: events that its caller has
    """

    exchange: Exchange
    profile: profiles.EngineProfile
    sequence: events.EventSequence


def refuse(
    reply: callermessages.Reply, status: int, retry_after: float | None = None
) -> None:
    """Answer a request with a failure of the entry's own.

    :param retry_after: seconds after which to return, None to say nothing
    """
    headers = []
    if retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_SECONDS, retry_after)
        headers.append(('Retry-After', f'{seconds:.2f}'))
    reply.send(callermessages.Head(status, headers))
