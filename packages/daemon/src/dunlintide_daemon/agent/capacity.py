"""Capacity of the endpoint: the queue, the slots and the in-flight cap.

The gate's lock guards all methods.
"""

import attrs

from dunlintide_core import caps
from dunlintide_core import outcomes
from dunlintide_core import queueing
from dunlintide_core import rates
from dunlintide_core import slots
from dunlintide_daemon.agent import requests

__all__ = [
    'Capacity',
    'Rejection',
]

# Interval between samples of the rate at which requests finish.
RATE_SECONDS = 1.0


@attrs.frozen
class Rejection:
    """Reason why a request cannot start here now.

    :ivar agent: agent at fault, empty for this one
    """

    code: outcomes.FailCode
    detail: str
    agent: str = ''


class Capacity:
    """The queue of the endpoint and the requests in flight there.

    :ivar in_flight: requests and tokens in flight at the endpoint
    :ivar rate: cost of the finished requests per second
    """

    def __init__(
        self, limits: queueing.Limits, cap: caps.Cap, now: float
    ) -> None:
        """Start without requests.

        :param now: monotonic time in seconds
        """
        self.queue = queueing.Queue(limits)
        self.in_flight = caps.InFlight()
        self.cap = cap
        self.rate = rates.Rate(now)
        self._slots = slots.Slots(now, self.queue.count_debt_rounds)
        self._teams: dict[str, int] = {}
        self._sampled_at = now

    def find_rejection(self, team: str, limit: int) -> Rejection | None:
        """Return a rejection if a team is at its concurrency limit.

        :param limit: maximum number of requests at a time, 0 for no limit
        """
        if limit and self._teams.get(team, 0) >= limit:
            return Rejection(
                outcomes.FailCode.RATE_LIMITED,
                'the team has reached its limit of concurrent requests',
            )
        return None

    def enqueue(
        self, request: requests.Request, now: float
    ) -> outcomes.Refusal | None:
        """Put a request into the queue.

        :returns: refusal if waiting is pointless, None if it is queued
        """
        request.ticket = queueing.Ticket(
            request.terms.team,
            request.terms.weight or 1.0,
            request.terms.priority,
            request.cost,
            now,
            request,
        )
        refusal = self.queue.push(
            request.ticket, request.deadline - now, self.rate.value
        )
        if refusal is None:
            self._slots.add_request(request.ticket.team, request.ticket.weight)
        return refusal

    def add_request(self, team: str) -> None:
        """Count a queued or running request of a team."""
        self._teams[team] = self._teams.get(team, 0) + 1

    def _has_slot(self, team: str) -> bool:
        limit = self.cap.limit(self.in_flight)
        return self._slots.may_start(team, self.in_flight.requests, limit)

    def _has_room(self, ticket: queueing.Ticket) -> bool:
        return self.cap.admits(self.in_flight, ticket.item.tokens)

    def start_next(self, now: float) -> requests.Request | None:
        """Take the next request off the queue and count it as in flight."""
        ticket = self.queue.pick(now, self._has_room, self._has_slot)
        if ticket is None:
            return None
        request = ticket.item
        request.phase = requests.Phase.RUNNING
        request.started_at = now
        self._slots.start(ticket.team)
        self.in_flight.requests += 1
        self.in_flight.tokens += request.tokens
        return request

    def release(self, request: requests.Request) -> None:
        """Free the slot of a request without a step on the engine."""
        self._slots.end(request.ticket.team, True)
        self.in_flight.requests -= 1
        self.in_flight.tokens -= request.tokens

    def remove_request(self, request: requests.Request) -> None:
        """Remove an ended request.

        Its slot is freed once none of its steps is under way.
        """
        team = request.terms.team
        self._teams[team] -= 1
        if not self._teams[team]:
            del self._teams[team]
        if request.phase is requests.Phase.QUEUED:
            self._slots.end(request.ticket.team, False)
            self.queue.remove(request.ticket)
            return
        self.in_flight.finished += 1
        if request.actual_cost is not None:
            self.queue.adjust_cost(request.ticket, request.actual_cost)
        self.rate.add(request.cost)
        if not request.steps_under_way:
            self.release(request)

    def tick(self, now: float) -> None:
        """Update the slots and sample the rate."""
        self._slots.tick(now)
        if now - self._sampled_at >= RATE_SECONDS:
            self._sampled_at = now
            busy = len(self.queue) > 0
            self.rate.sample(now, busy, self.in_flight.requests)
