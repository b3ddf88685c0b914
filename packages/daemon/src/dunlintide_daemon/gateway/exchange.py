"""State of one request at an entry, and its possible outcomes."""

import enum

import attrs

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import profiles
from dunlintide_daemon.gateway import events

__all__ = [
    'Exchange',
    'MAX_REFUSALS',
    'MAX_SHARED_REFUSALS',
    'Outcome',
    'Stream',
    'refuse',
]

# Shortest Retry-After, in seconds.
MIN_RETRY_AFTER_SECONDS = 0.05
# Sends beyond the attempts of the rule, for refusals by endpoints. A refusal
# takes only milliseconds, but each further send uses the shared retry budget.
MAX_REFUSALS = 2
# The same where requests are ordered over all entries: entries that see a
# release at once send to the same engine, and all but one are refused.
MAX_SHARED_REFUSALS = 6


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
    """A request, the rule that applies to it, and its reply.

    :ivar request: the HTTP request
    :ivar caller_request: what was decoded from it
    :ivar service: service that the rule's traffic split chose
    :ivar deadline: monotonic time by which it must have ended, in seconds
    :ivar version: version of the configuration that holds the rule
    :ivar fingerprint: hash of host, path, key and body
    :ivar is_waiting: whether the demand table counts it as waiting
    :ivar sends: times that it was sent to an endpoint
    :ivar max_refusals: sends beyond the attempts of the rule
    :ivar runs: sends that may have run, without refused ones
    :ivar running: sends that are neither answered nor given up
    :ivar team: name of the team that owns its key, None without one
    :ivar digest: hash of the fingerprint, the token counts and the prefix;
        recognizes a request that its caller sends again
    :ivar was_refused: whether an earlier try was refused
    :ivar excluded_endpoints: names of endpoints that get no further send of
        it, mostly because they failed it
    :ivar events: events that were sent to the caller
    :ivar first_event_delay: seconds from arrival to the first event
    :ivar last_event: monotonic time of the last event, in seconds
    :ivar longest_gap: longest gap between events, over all runs, in seconds
    """

    request: callermessages.Request
    reply: callermessages.Reply
    caller_request: callerrequests.CallerRequest
    rule: configuration.Rule
    service: str
    deadline: float
    version: int
    priority: int
    fingerprint: str
    digest: int = 0
    was_refused: bool = False
    team: str | None = None
    is_waiting: bool = False
    sends: int = 0
    runs: int = 0
    running: int = 0
    max_refusals: int = MAX_REFUSALS
    excluded_endpoints: list[str] = attrs.field(factory=list)
    events: int = 0
    first_event_delay: float | None = None
    last_event: float = 0.0
    longest_gap: float = 0.0

    @property
    def terms(self) -> configuration.Then:
        """Terms of the rule."""
        return self.rule.then

    @property
    def has_attempts_left(self) -> bool:
        """Whether the limits on runs and sends allow another send.

        The limit on sends does not apply to a stream that has run: its
        caller has received a part of it, and the retry budget and the
        deadline bound its sends.
        """
        attempts = max(1, self.terms.attempts)
        if self.runs >= attempts:
            return False
        under_way = self.terms.stream and self.runs > 0
        return under_way or self.sends < attempts + self.max_refusals

    def can_retry(self, ran: bool, now: float) -> bool:
        """Return whether another run is allowed.

        :param ran: whether a run may have taken place
        :param now: monotonic time in seconds
        """
        if ran and not self.is_repeatable:
            return False
        return self.has_attempts_left and self.deadline > now

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be run again after a run may have taken place."""
        terms = self.terms
        return bool(terms.repeatable) or (terms.stream and terms.resumable)


@attrs.frozen(eq=False)
class Stream:
    """A request for an event stream, over all of its runs.

    :ivar profile: cost model of the engines that serve it
    :ivar sequence: events that its caller has received
    """

    exchange: Exchange
    profile: profiles.EngineProfile
    sequence: events.EventSequence


def refuse(
    reply: callermessages.Reply, status: int, retry_after: float | None = None
) -> None:
    """Answer a request with an error status from the entry itself.

    :param retry_after: value of the Retry-After header in seconds, None to
        omit the header
    """
    headers = []
    if retry_after is not None:
        seconds = max(MIN_RETRY_AFTER_SECONDS, retry_after)
        headers.append(('Retry-After', f'{seconds:.2f}'))
    reply.send(callermessages.Head(status, headers))
