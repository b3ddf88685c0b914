"""Places at the endpoint: who waits for one, who has one, and how many.

The gate's lock guards all of it.
"""

import attrs

from dunlintide_core import caps
from dunlintide_core import outcomes
from dunlintide_core import queueing
from dunlintide_core import rates
from dunlintide_core import slots
from dunlintide_daemon.agent import works

__all__ = [
    'Obstacle',
    'Places',
]

# Time between two looks at the rate at which requests end, in seconds.
RATE_SECONDS = 1.0


@attrs.frozen
class Obstacle:
    """Why a request cannot begin here now.

    :ivar agent: agent at fault, empty for this one
    """

    code: outcomes.FailCode
    detail: str
    agent: str = ''


class Places:
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
        self._sampled = now

    def find_obstacle(self, team: str, limit: int) -> Obstacle | None:
        """Tell whether a team has as many requests here as it may.

        :param limit: requests at a time, 0 for no bound
        """
        if limit and self._teams.get(team, 0) >= limit:
            return Obstacle(
                outcomes.FailCode.RATE_LIMITED,
                'too many requests of the team are in flight',
            )
        return None

    def queue_up(
        self, work: works.Work, now: float
    ) -> outcomes.Refusal | None:
        """Let a request wait its turn.

        :returns: why it is not worth waiting, None when it waits
        """
        work.ticket = queueing.Ticket(
            work.terms.team,
            work.terms.weight or 1.0,
            work.terms.priority,
            work.cost,
            now,
            work,
        )
        refusal = self.queue.push(
            work.ticket, work.deadline - now, self.rate.value
        )
        if refusal is None:
            self._slots.add_request(work.ticket.team, work.ticket.weight)
        return refusal

    def count_in(self, team: str) -> None:
        """Count a request of a team that waits or runs here."""
        self._teams[team] = self._teams.get(team, 0) + 1

    def _may_start(self, team: str) -> bool:
        limit = self.cap.limit(self.in_flight)
        return self._slots.may_start(team, self.in_flight.requests, limit)

    def _admits(self, ticket: queueing.Ticket) -> bool:
        return self.cap.admits(self.in_flight, ticket.item.tokens)

    def take_next(self, now: float) -> works.Work | None:
        """Give a place to the request whose turn it is, if there is one."""
        ticket = self.queue.pick(now, self._admits, self._may_start)
        if ticket is None:
            return None
        work = ticket.item
        work.phase = works.Phase.RUNNING
        work.begun = now
        self._slots.start(ticket.team)
        self.in_flight.requests += 1
        self.in_flight.tokens += work.tokens
        return work

    def free(self, work: works.Work) -> None:
        """Take back the place of a request with no step on the engine."""
        self._slots.end(work.ticket.team, True)
        self.in_flight.requests -= 1
        self.in_flight.tokens -= work.tokens

    def count_out(self, work: works.Work) -> None:
        """Take a request off that ends; its place, once no step is left."""
        team = work.terms.team
        self._teams[team] -= 1
        if not self._teams[team]:
            del self._teams[team]
        if work.phase is works.Phase.QUEUED:
            self._slots.end(work.ticket.team, False)
            self.queue.remove(work.ticket)
            return
        self.in_flight.finished += 1
        if work.spent is not None:
            self.queue.adjust_cost(work.ticket, work.spent)
        self.rate.add(work.cost)
        if not work.under_way:
            self.free(work)

    def tick(self, now: float) -> None:
        """Do what time demands."""
        self._slots.tick(now)
        if now - self._sampled >= RATE_SECONDS:
            self._sampled = now
            busy = len(self.queue) > 0
            self.rate.sample(now, busy, self.in_flight.requests)
