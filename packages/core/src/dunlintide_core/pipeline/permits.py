"""Permits for requests to endpoints that name a rate limit.

For each limited endpoint one entry is the coordinator: the others request a
permit from it before each request. The sum over all entries thus keeps the
limit however the load is spread, and no part of it is lost in unused shares.
The coordinator is the entry with the lowest hash of its name and the
endpoint's among the responsive ones. This module neither sends nor waits:
callers carry the messages and keep the time.
"""

import enum
import hashlib
import random as random_module
from typing import Iterable, Sequence

import attrs

from dunlintide_core.pipeline import liveness
from dunlintide_core.pipeline import ratelimits

__all__ = [
    'LimitUpdate',
    'PermitReply',
    'PermitRequest',
    'Permits',
    'Ticket',
    'Verdict',
    'list_limits',
]

# Minimum rate of requests to an endpoint, in requests per second, even if its
# limit is zero: only its answers show that the limit has ended.
MIN_RATE = 0.1
# Unused permits that are kept, as the time in seconds in which they accrue,
# and their minimum number.
BURST_SECONDS = 0.4
MIN_BURST = 2.0
# Fraction of the limit that is granted in place of a coordinator that became
# silent less than TAKEOVER_SECONDS ago: it may still grant the full limit.
TAKEOVER_FRACTION = 0.5
TAKEOVER_SECONDS = 2.0
# Bounds of the pause of an entry before it requests another permit for an
# endpoint that has none left, in seconds, and its random spread, so that
# entries do not ask at the same time.
PAUSE_SECONDS = (0.02, 0.3)
PAUSE_SPREAD = (1.0, 1.5)
# The same if the asked entry is not the coordinator, or no entry replied.
REDIRECT_PAUSE_SECONDS = 0.1
# Intervals between the messages of one permit request, in seconds; the last
# one repeats.
RETRY_SECONDS = (0.03, 0.05, 0.07)
# Time after which a permit request without a reply is denied, in seconds.
REPLY_TIMEOUT_SECONDS = 0.6
# How long a reply is kept for repeated messages of the same permit request, in
# seconds.
REPLY_CACHE_SECONDS = 1.0


class Verdict(enum.StrEnum):
    """Result of a permit request.

    :cvar ELSEWHERE: another entry is the coordinator
    """

    GRANTED = 'granted'
    DENIED = 'denied'
    ELSEWHERE = 'elsewhere'


@attrs.frozen
class PermitRequest:
    """Request for one permit or, without an endpoint, for a sign of life.

    :ivar number: identifies the request at its sender
    :ivar limit: requests per second, as the sender knows the limit
    :ivar age: age of the sender's observation, in seconds
    """

    sender: str
    number: int
    endpoint: str = ''
    limit: float | None = None
    age: float = 0.0


@attrs.frozen
class PermitReply:
    """Reply to a permit request.

    :ivar pause: seconds before the next request, unless granted
    :ivar limit: requests per second, as the sender knows the limit
    :ivar age: age of the sender's observation, in seconds
    """

    sender: str
    number: int
    endpoint: str = ''
    verdict: Verdict = Verdict.GRANTED
    pause: float = 0.0
    limit: float | None = None
    age: float = 0.0


@attrs.frozen
class LimitUpdate:
    """Limits that an entry observed itself.

    :ivar limits: endpoint, requests per second or None if the limit has ended,
        and the age of the observation in seconds
    """

    sender: str
    limits: tuple[tuple[str, float | None, float], ...]


Message = PermitRequest | PermitReply | LimitUpdate
# Receiver and message.
Outgoing = list[tuple[str, Message]]


def list_limits(message: Message) -> Sequence[tuple[str, float | None, float]]:
    """List the limits in a message, as endpoint, limit and age."""
    if isinstance(message, LimitUpdate):
        return message.limits
    if not message.endpoint:
        return ()
    return ((message.endpoint, message.limit, message.age),)


@attrs.define(eq=False)
class Ticket:
    """A permit request in progress.

    :ivar began: monotonic time in seconds
    :ivar due: monotonic time at which to call :meth:`Permits.advance` again
    :ivar tries: messages sent
    :ivar verdict: None while it is open
    :ivar source: entry that decided, empty if none did
    :ivar pause: how long this entry sends the endpoint nothing, in seconds
    """

    number: int
    endpoint: str
    began: float
    due: float
    tries: int = 0
    verdict: Verdict | None = None
    source: str = ''
    pause: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the request may be sent now."""
        return self.verdict is Verdict.GRANTED


@attrs.define
class _Bucket:
    """Token bucket with the permits of an endpoint; it starts empty.

    An entry that takes over does not know what was granted before.
    """

    updated: float
    rate: float
    tokens: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        """Add the permits accrued at the previous rate, and set a new rate."""
        self.tokens += (now - self.updated) * self.rate
        self.updated = now
        self.rate = rate
        most = max(MIN_BURST, self.rate * BURST_SECONDS)
        self.tokens = min(self.tokens, most)

    def take(self) -> float:
        """Take a permit.

        :returns: 0, or the seconds until a permit is available
        """
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate


def _score_entry(endpoint: str, entry: str) -> bytes:
    """Return the hash by which entries are ranked for an endpoint."""
    text = f'{endpoint}\0{entry}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class Permits:
    """Permits that one entry requests and grants.

    :ivar liveness: responsiveness of other entries
    """

    def __init__(
        self,
        name: str,
        limits: ratelimits.RateLimits,
        random: random_module.Random,
    ) -> None:
        self._name = name
        self._limits = limits
        self._random = random
        self._members = {name}
        self._rankings: dict[str, list[str]] = {}
        self.liveness = liveness.Liveness()
        self._buckets: dict[str, _Bucket] = {}
        self._tickets: dict[int, Ticket] = {}
        self._paused: dict[str, float] = {}
        self._replies: dict[tuple[str, int], tuple[float, PermitReply]] = {}
        # Random, so that a restarted entry does not repeat a number.
        self._number = random.getrandbits(40)

    def add_member(self, name: str) -> None:
        """Add another entry, which may be the coordinator from now on."""
        if name not in self._members:
            self._members.add(name)
            self._rankings.clear()

    def remove_member(self, name: str) -> None:
        """Remove another entry that is gone."""
        if name != self._name and name in self._members:
            self._members.remove(name)
            self._rankings.clear()
            self.liveness.forget(name)

    def choose_coordinator(self, endpoint: str, now: float) -> str:
        """Return the entry that grants the permits of an endpoint."""
        for name in self._rank_entries(endpoint):
            if name == self._name or not self.liveness.is_silent(name, now):
                return name
        return self._name

    def _rank_entries(self, endpoint: str) -> list[str]:
        """List all entries by their precedence as coordinator."""
        ranking = self._rankings.get(endpoint)
        if ranking is None:
            ranking = self._rankings[endpoint] = sorted(
                self._members, key=lambda entry: _score_entry(endpoint, entry)
            )
        return ranking

    def _is_taking_over(self, endpoint: str, now: float) -> bool:
        """Return whether an entry of higher precedence just became silent."""
        ranking = self._rank_entries(endpoint)
        predecessors = ranking[: ranking.index(self._name)]
        return any(
            self.liveness.get_silence_seconds(name, now) < TAKEOVER_SECONDS
            for name in predecessors
        )

    def list_paused(self, now: float) -> set[str]:
        """Return the endpoints for which no permit is available now."""
        return {name for name, end in self._paused.items() if end > now}

    def make_update(self, now: float) -> LimitUpdate | None:
        """Return the limits that this entry observed recently, if any."""
        recent = self._limits.list_recent(now)
        if not recent:
            return None
        observed = (
            (name, observation.limit, now - observation.at)
            for name, observation in recent.items()
        )
        return LimitUpdate(self._name, tuple(observed))

    def open(self, endpoint: str, now: float) -> Ticket:
        """Begin a permit request."""
        self._number += 1
        ticket = Ticket(self._number, endpoint, now, now)
        self._tickets[ticket.number] = ticket
        return ticket

    def advance(self, ticket: Ticket, now: float) -> Outgoing:
        """Advance a permit request.

        :returns: messages to send; if the ticket has no verdict then, call
            this again when it is due
        """
        endpoint = ticket.endpoint
        limit = self._limits.get(endpoint)
        if limit is None:
            self._close(ticket, Verdict.GRANTED, self._name, 0.0, now)
            return []
        paused = self._paused.get(endpoint, now) - now
        # A message that was already sent may have been granted.
        if paused > 0 and not ticket.tries:
            self._close(ticket, Verdict.DENIED, self._name, paused, now)
            return []
        if now - ticket.began >= REPLY_TIMEOUT_SECONDS:
            self._close(
                ticket, Verdict.DENIED, '', REDIRECT_PAUSE_SECONDS, now
            )
            return []
        coordinator = self.choose_coordinator(endpoint, now)
        if coordinator == self._name:
            pause = self._grant(endpoint, limit, now)
            verdict = Verdict.DENIED if pause else Verdict.GRANTED
            self._close(ticket, verdict, self._name, pause, now)
            return self._probe(now)
        age = self._limits.get_age(endpoint, now)
        request = PermitRequest(
            self._name, ticket.number, endpoint, limit, age
        )
        self.liveness.record_sent(coordinator, now)
        retry = min(ticket.tries, len(RETRY_SECONDS) - 1)
        ticket.due = now + RETRY_SECONDS[retry]
        ticket.tries += 1
        return [(coordinator, request), *self._probe(now)]

    def _probe(self, now: float) -> Outgoing:
        """Send probes to silent entries."""
        due = self.liveness.list_due(now)
        for name in due:
            self.liveness.record_sent(name, now)
        return [(name, PermitRequest(self._name, 0)) for name in due]

    def cancel(self, ticket: Ticket) -> None:
        """Drop a permit request whose caller no longer waits."""
        self._tickets.pop(ticket.number, None)

    def _close(
        self,
        ticket: Ticket,
        verdict: Verdict,
        source: str,
        pause: float,
        now: float,
    ) -> None:
        """Set the verdict of a ticket; unless granted, pause its endpoint."""
        self._tickets.pop(ticket.number, None)
        ticket.verdict = verdict
        ticket.source = source
        ticket.pause = pause
        if not ticket.is_granted:
            self._paused[ticket.endpoint] = now + pause

    def _grant(self, endpoint: str, limit: float, now: float) -> float:
        """Take a permit as the coordinator.

        :returns: 0, or the pause before the next request, in seconds
        """
        if self._is_taking_over(endpoint, now):
            limit *= TAKEOVER_FRACTION
        limit = max(MIN_RATE, limit)
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = _Bucket(now, limit)
        bucket.refill(limit, now)
        missing = bucket.take()
        if not missing:
            return 0.0
        least, most = PAUSE_SECONDS
        spread = self._random.uniform(*PAUSE_SPREAD)
        return min(most, max(least, missing) * spread)

    def receive(self, message: Message, now: float) -> Outgoing:
        """Process a message of another entry.

        :returns: messages to send
        """
        self.liveness.record_received(message.sender, now)
        for endpoint, limit, age in list_limits(message):
            self._limits.receive(endpoint, limit, age, now)
        if isinstance(message, LimitUpdate):
            return []
        if isinstance(message, PermitRequest):
            return self._receive_request(message, now)
        ticket = self._tickets.get(message.number)
        if ticket is not None:
            self._close(
                ticket, message.verdict, message.sender, message.pause, now
            )
        return []

    def _receive_request(self, request: PermitRequest, now: float) -> Outgoing:
        """Reply to a permit request of another entry."""
        if not request.endpoint:
            return [(request.sender, PermitReply(self._name, request.number))]
        key = (request.sender, request.number)
        if key in self._replies:
            return [(request.sender, self._replies[key][1])]
        coordinator = self.choose_coordinator(request.endpoint, now)
        limit = self._limits.get(request.endpoint)
        outgoing: Outgoing = []
        verdict, pause = Verdict.GRANTED, 0.0
        if limit is None:
            # A newer observation than the sender's shows that the limit has
            # ended.
            pass
        elif coordinator == self._name:
            pause = self._grant(request.endpoint, limit, now)
            verdict = Verdict.DENIED if pause else verdict
            outgoing += self._probe(now)
        else:
            verdict, pause = Verdict.ELSEWHERE, REDIRECT_PAUSE_SECONDS
            self._buckets.pop(request.endpoint, None)
            if self.liveness.needs_probe(coordinator, now):
                self.liveness.record_sent(coordinator, now)
                outgoing.append((coordinator, PermitRequest(self._name, 0)))
        age = self._limits.get_age(request.endpoint, now)
        reply = PermitReply(
            self._name,
            request.number,
            request.endpoint,
            verdict,
            pause,
            limit,
            age,
        )
        if verdict is not Verdict.ELSEWHERE:
            self._replies[key] = (now, reply)
        return [(request.sender, reply), *outgoing]

    def expire(self, now: float, endpoints: Iterable[str]) -> None:
        """Drop expired replies and pauses, and endpoints that are gone.

        :param endpoints: names of all listed endpoints
        """
        listed = set(endpoints)
        for key, (replied_at, _) in list(self._replies.items()):
            if now - replied_at > REPLY_CACHE_SECONDS:
                del self._replies[key]
        for name, end in list(self._paused.items()):
            if end <= now:
                del self._paused[name]
        for table in (self._buckets, self._rankings):
            for name in [each for each in table if each not in listed]:
                del table[name]

    def list_coordinated(self) -> Sequence[str]:
        """List the endpoints for which this entry granted permits."""
        return sorted(self._buckets)
