"""Fair queue for the teams that share an endpoint.

The queue uses surplus round robin, a form of deficit round robin, by cost
and with one ring of flows for each priority. A fixed share of the picks is
decided by age and priority together, so that no priority starves.
"""

import collections
from typing import Any, Callable

import attrs

from dunlintide_core import outcomes

__all__ = [
    'Costs',
    'Limits',
    'Queue',
    'Ticket',
    'compute_cost',
]

PRIORITIES = 4
MIN_WEIGHT = 0.1
MAX_WEIGHT = 100.0


@attrs.frozen
class Costs:
    """Cost of a token by kind; decoding takes one step per token."""

    prefill: float = 1.0
    decode: float = 4.0


@attrs.frozen
class Limits:
    """Limits and parameters of a queue.

    :ivar per_team: maximum number of waiting requests of one team
    :ivar total: maximum number of waiting requests of all teams
    :ivar quantum: cost that a team of weight 1 is credited per round
    :ivar max_cost: upper bound of the cost of a request
    :ivar ageing_seconds: waiting time that outweighs one priority
    :ivar age_pick_interval: one of this many picks considers the age
    :ivar fair: False for first come, first served over all teams
    """

    per_team: int = 256
    total: int = 4096
    quantum: float = 64.0
    max_cost: float = 65536.0
    ageing_seconds: float = 2.0
    age_pick_interval: int = 8
    fair: bool = True


@attrs.define(eq=False)
class Ticket:
    """One request in a queue.

    :ivar weight: weight of the team
    :ivar priority: 0 is the highest
    :ivar cost: estimated cost, see ``compute_cost``
    :ivar queued_at: time at which it was queued, in seconds
    :ivar item: data of the caller
    :ivar waiting: whether it is still in the queue
    """

    team: str
    weight: float
    priority: int
    cost: float
    queued_at: float
    item: Any
    waiting: bool = True


def compute_cost(
    prompt_tokens: int, max_tokens: int, costs: Costs = Costs()
) -> float:
    """Compute the cost of a completion from its numbers of tokens."""
    return prompt_tokens * costs.prefill + max_tokens * costs.decode


@attrs.define(eq=False)
class _Flow:
    """Requests of one team at one priority.

    :ivar credit: cost that the flow may still spend; a negative credit is
        a debt, which further rounds must pay off before its next request
    """

    weight: float
    credit: float
    tickets: collections.deque = attrs.field(factory=collections.deque)


_Flows = collections.OrderedDict[str, _Flow]


class _Level:
    """Flows of one priority, in a ring for their turns and by age.

    A flow with positive credit may start a request that costs more, which
    leaves it with a debt. New flows, which have no debt, precede the ring,
    so that a team below its share does not wait for a round of the others.
    An empty flow stays until its debt is paid, so that a team cannot shed
    it by pausing.
    """

    def __init__(self, quantum: float) -> None:
        self._quantum = quantum
        self._new_flows: _Flows = collections.OrderedDict()
        self._ring: _Flows = collections.OrderedDict()
        self._by_age: collections.deque[Ticket] = collections.deque()

    def list_teams(self) -> list[str]:
        """Return the teams that have a flow."""
        return [*self._new_flows, *self._ring]

    def _find(self, team: str) -> _Flow | None:
        return self._new_flows.get(team) or self._ring.get(team)

    def push(self, ticket: Ticket) -> None:
        """Add a waiting request."""
        team = ticket.team
        flow = self._find(team)
        if flow is None:
            credit = self._quantum * ticket.weight
            flow = self._new_flows[team] = _Flow(ticket.weight, credit)
        elif not flow.tickets and flow.credit > 0 and team in self._ring:
            self._new_flows[team] = self._ring.pop(team)
        flow.weight = ticket.weight
        flow.tickets.append(ticket)
        self._by_age.append(ticket)

    def find_oldest(self) -> Ticket | None:
        """Return the request that has waited longest, None if none waits."""
        by_age = self._by_age
        while by_age and not by_age[0].waiting:
            by_age.popleft()
        if not by_age:
            # Without waiting requests, debts are at the expense of no one.
            self._new_flows.clear()
            self._ring.clear()
        return by_age[0] if by_age else None

    def _is_ready(self, flow: _Flow) -> bool:
        while flow.tickets and not flow.tickets[0].waiting:
            flow.tickets.popleft()
        return bool(flow.tickets) and flow.credit > 0

    def _skip_rounds(self) -> None:
        """Credit the rounds in which no flow could start a request."""
        debts = (
            -flow.credit / (self._quantum * flow.weight)
            for flow in self._ring.values()
            if flow.tickets
        )
        # Negative for a flow that can start in the next round.
        rounds = max(0, int(min(debts, default=0.0)))
        for flow in self._ring.values():
            flow.credit += rounds * self._quantum * flow.weight

    def find_next(self) -> Ticket | None:
        """Return the next request without removing it.

        At least one request must be waiting.
        """
        while self._new_flows:
            team, flow = next(iter(self._new_flows.items()))
            if self._is_ready(flow):
                return flow.tickets[0]
            self._ring[team] = self._new_flows.pop(team)
        skipped = 0
        while self._ring:
            team, flow = next(iter(self._ring.items()))
            if self._is_ready(flow):
                return flow.tickets[0]
            flow.credit += self._quantum * flow.weight
            if not flow.tickets and flow.credit > 0:
                del self._ring[team]
                continue
            self._ring.move_to_end(team)
            skipped += 1
            if skipped >= len(self._ring):
                self._skip_rounds()
                skipped = 0
        return None

    def find(self, is_allowed: Callable[[str], bool]) -> Ticket | None:
        """Return the first request of an allowed team, whatever its credit."""
        for flows in (self._new_flows, self._ring):
            for team, flow in flows.items():
                self._is_ready(flow)
                if flow.tickets and is_allowed(team):
                    return flow.tickets[0]
        return None

    def take(self, ticket: Ticket) -> None:
        """Remove a request that ``find_next`` or ``find`` returned."""
        flow = self._find(ticket.team)
        flow.tickets.popleft()
        flow.credit -= ticket.cost

    def count_debt_rounds(self, team: str) -> float:
        """Return the number of rounds that pay off the debt of a team."""
        flow = self._find(team)
        if flow is None:
            return 0.0
        return max(0.0, -flow.credit / (self._quantum * flow.weight))

    def adjust_cost(self, team: str, cost: float, max_cost: float) -> None:
        """Charge the difference between actual and estimated cost."""
        flow = self._find(team)
        if flow is not None:
            credit = flow.credit - cost
            flow.credit = min(max(credit, -max_cost), max_cost)


class Queue:
    """Requests that wait for an endpoint.

    :ivar cost: total cost of the waiting requests
    """

    def __init__(self, limits: Limits = Limits()) -> None:
        self._limits = limits
        self._levels = [_Level(limits.quantum) for _ in range(PRIORITIES)]
        self._counts: collections.Counter[str] = collections.Counter()
        self._costs: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, float] = {}
        self._weight_sum = 0.0
        self._size = 0
        self._picks = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._size

    def count_teams(self) -> dict[str, int]:
        """Return the number of waiting requests by team."""
        return dict(self._counts)

    def estimate_wait(
        self, team: str, weight: float, cost: float, rate: float
    ) -> float:
        """Estimate how long another request would wait, in seconds.

        A team waits for its own requests at its share of the rate, but no
        longer than for all requests at the full rate.

        :param rate: cost that the endpoint finishes per second, 0 if
            unknown
        """
        if rate <= 0:
            return 0.0
        weights = self._weight_sum
        if team not in self._weights:
            weights += weight
        own_cost = (self._costs[team] if team in self._costs else 0.0) + cost
        return min(own_cost * weights / weight, self.cost + cost) / rate

    def push(
        self,
        ticket: Ticket,
        deadline: float,
        rate: float,
    ) -> outcomes.Refusal | None:
        """Queue a request or refuse it.

        :param deadline: time until the deadline of the request in seconds
        :param rate: cost that the endpoint finishes per second, 0 if
            unknown
        :returns: the refusal, None if the request was queued
        """
        ticket.weight = min(max(ticket.weight, MIN_WEIGHT), MAX_WEIGHT)
        ticket.cost = min(max(ticket.cost, 1.0), self._limits.max_cost)
        ticket.priority = min(max(ticket.priority, 0), PRIORITIES - 1)
        if not self._limits.fair:
            ticket.team, ticket.priority = '', 0
        wait = self.estimate_wait(
            ticket.team, ticket.weight, ticket.cost, rate
        )
        is_full = (
            self._counts.get(ticket.team, 0) >= self._limits.per_team
            and self._limits.fair
            or len(self) >= self._limits.total
        )
        if is_full:
            return outcomes.refuse(
                outcomes.FailCode.QUEUE_FULL,
                'too many requests wait at the endpoint',
                retry_after=max(wait, 1.0),
            )
        if wait > deadline:
            return outcomes.refuse(
                outcomes.FailCode.DEADLINE,
                'the wait would exceed the deadline',
                retry_after=wait,
            )
        self._levels[ticket.priority].push(ticket)
        self._counts[ticket.team] += 1
        self._costs[ticket.team] += ticket.cost
        self._size += 1
        self._weight_sum += ticket.weight
        self._weight_sum -= self._weights.get(ticket.team, 0.0)
        self._weights[ticket.team] = ticket.weight
        self.cost += ticket.cost
        return None

    def _remove(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self._size -= 1
        self.cost -= ticket.cost
        self._costs[ticket.team] -= ticket.cost
        self._counts[ticket.team] -= 1
        if not self._counts[ticket.team]:
            del self._counts[ticket.team]
            del self._costs[ticket.team]
            self._weight_sum -= self._weights.pop(ticket.team)
        if not self._size:
            # Discard accumulated rounding errors.
            self.cost = self._weight_sum = 0.0

    def remove(self, ticket: Ticket) -> bool:
        """Remove a waiting request.

        :returns: False if it was not waiting any more
        """
        if not ticket.waiting:
            return False
        self._remove(ticket)
        return True

    def adjust_cost(self, ticket: Ticket, cost: float) -> None:
        """Replace the estimated cost of a picked request by the actual one.

        :param ticket: the picked request
        :param cost: actual cost
        """
        level = self._levels[ticket.priority]
        max_cost = self._limits.max_cost
        level.adjust_cost(ticket.team, cost - ticket.cost, max_cost)

    def count_debt_rounds(self, team: str) -> float:
        """Return how many rounds a team is ahead of its share."""
        return max(level.count_debt_rounds(team) for level in self._levels)

    def _choose(self, now: float) -> _Level | None:
        is_age_pick = self._picks % self._limits.age_pick_interval == 0
        best, best_rank = None, float('inf')
        for priority, level in enumerate(self._levels):
            oldest = level.find_oldest()
            if oldest is None:
                continue
            if not is_age_pick:
                return level
            rank = (
                priority
                - (now - oldest.queued_at) / self._limits.ageing_seconds
            )
            if rank < best_rank:
                best, best_rank = level, rank
        return best

    def _find_allowed(
        self, level: _Level, is_allowed: Callable[[str], bool]
    ) -> tuple[_Level, Ticket] | None:
        for one in (level, *self._levels):
            ticket = one.find(is_allowed)
            if ticket is not None:
                return one, ticket
        return None

    def pick(
        self,
        now: float,
        admits: Callable[[Ticket], bool],
        is_allowed: Callable[[str], bool] = lambda team: True,
    ) -> Ticket | None:
        """Remove and return the next request, if it may start now.

        A request that the cap does not admit keeps its turn, so that small
        requests do not overtake a large one forever.

        :param now: monotonic time in seconds
        :param admits: returns whether the concurrency cap admits a request
        :param is_allowed: returns whether a team may start a request; the
            teams for which it is false are skipped
        :returns: None if no request may start
        """
        level = self._choose(now)
        if level is None:
            return None
        ticket = level.find_next()
        if ticket is not None and not is_allowed(ticket.team):
            level, ticket = self._find_allowed(level, is_allowed) or (
                level,
                None,
            )
        if ticket is None or not admits(ticket):
            return None
        self._picks += 1
        level.take(ticket)
        self._remove(ticket)
        return ticket
