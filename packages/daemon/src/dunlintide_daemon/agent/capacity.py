"""Places at the endpoint: who waits for one, who has one, and how many.

The gate's lock guards all of it.
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

# Time between two looks at the rate at which requests end, in seconds.
RATE_SECONDS = 1.0


@attrs.frozen
class Rejection:
    """Why a request cannot begin here now.

    :ivar agent: agent at fault, empty for this one
    """

    code: outcomes.FailCode
    detail: str
    agent: str = ''


class Capacity:
    """The queue before the endpoint and what is in flight behind it.

    :ivar in_flight: requests and tokens that the endpoint has
    :ivar rate: cost of what ends here, a second
    """

    def __init__(
        self, limits: queueing.Limits, cap: caps.Cap, now: float
    ) -> None:
        """Begin empty.

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
        """Tell whether a team has as many requests here as it may.

        :param limit: requests at a time, 0 for no bound
        """
        if limit and self._teams.get(team, 0) >= limit:
            return Rejection(
                outcomes.FailCode.RATE_LIMITED,
                'too many requests of the team are in flight',
            )
        return None

    def enqueue(
        self, request: requests.Request, now: float
    ) -> outcomes.Refusal | None:
        """Let a request wait its turn.

        :returns: why it is not worth waiting, None when it waits
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
        """Count a request of a team that waits or runs here."""
        self._teams[team] = self._teams.get(team, 0) + 1

    def _has_slot(self, team: str) -> bool:
        limit = self.cap.limit(self.in_flight)
        return self._slots.may_start(team, self.in_flight.requests, limit)

    def _has_room(self, ticket: queueing.Ticket) -> bool:
        return self.cap.admits(self.in_flight, ticket.item.tokens)

    def start_next(self, now: float) -> requests.Request | None:
        """Give a place to the request whose turn it is, if there is one."""
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
        """Take back the place of a request with no step on the engine."""
        self._slots.end(request.ticket.team, True)
        self.in_flight.requests -= 1
        self.in_flight.tokens -= request.tokens

    def remove_request(self, request: requests.Request) -> None:
        """Take a request off that ends; its place, once no step is left."""
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
        """Do what time demands."""
        self._slots.tick(now)
        if now - self._sampled_at >= RATE_SECONDS:
            self._sampled_at = now
            busy = len(self.queue) > 0
            self.rate.sample(now, busy, self.in_flight.requests)
