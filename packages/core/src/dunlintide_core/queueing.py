"""Fair queue between the members that share an endpoint.

Deficit round robin by cost, one ring of lanes for each priority. Lower
priorities get a bounded share of the picks once their oldest request has
waited, so none starves. A member without waiting requests has no lane.
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
    'weigh',
]

PRIORITIES = 4
MIN_WEIGHT = 0.1
MAX_WEIGHT = 100.0


@attrs.frozen
class Costs:
    """Cost of a token by kind; a decoded one takes a step of its own."""

    prefill: float = 1.0
    decode: float = 4.0


@attrs.frozen
class Limits:
    """Bounds and constants of a queue.

    :ivar per_member: waiting requests of one member
    :ivar total: waiting requests of all members
    :ivar quantum: cost that a lane of weight 1 may spend in a round
    :ivar max_cost: more than this counts as this
    :ivar ageing: seconds of waiting worth one priority
    :ivar aged_every: each so manieth pick goes by age
    :ivar fair: False for first come, first served over all members
    """

    per_member: int = 256
    total: int = 4096
    quantum: float = 2048.0
    max_cost: float = 65536.0
    ageing: float = 2.0
    aged_every: int = 8
    fair: bool = True


@attrs.define(eq=False)
class Ticket:
    """One waiting request.

    :ivar since: time at which it was queued, in seconds
    :ivar item: what the caller wants back
    """

    member: str
    weight: float
    priority: int
    cost: float
    since: float
    item: Any
    waiting: bool = True


def weigh(
    prompt_tokens: int, max_tokens: int, costs: Costs = Costs()
) -> float:
    """Return the cost of a completion."""
    return prompt_tokens * costs.prefill + max_tokens * costs.decode


@attrs.define(eq=False)
class _Lane:
    """Waiting requests of one member at one priority."""

    weight: float
    tickets: collections.deque = attrs.field(factory=collections.deque)
    deficit: float = 0.0
    granted: bool = False


class _Level:
    """Lanes of one priority: a ring for turns, a line for age."""

    def __init__(self) -> None:
        self.lanes: collections.OrderedDict[str, _Lane] = (
            collections.OrderedDict()
        )
        self._line: collections.deque[Ticket] = collections.deque()

    def push(self, ticket: Ticket) -> None:
        lane = self.lanes.get(ticket.member)
        if lane is None:
            lane = self.lanes[ticket.member] = _Lane(ticket.weight)
        lane.weight = ticket.weight
        lane.tickets.append(ticket)
        self._line.append(ticket)

    def find_oldest(self) -> Ticket | None:
        line = self._line
        while line and not line[0].waiting:
            line.popleft()
        return line[0] if line else None

    def _skip_gone(self, member: str, lane: _Lane) -> bool:
        while lane.tickets and not lane.tickets[0].waiting:
            lane.tickets.popleft()
        if lane.tickets:
            return True
        del self.lanes[member]
        return False

    def turn(self, quantum: float) -> Ticket | None:
        """Return the request whose turn it is, without taking it."""
        while self.lanes:
            member, lane = next(iter(self.lanes.items()))
            if not self._skip_gone(member, lane):
                continue
            if not lane.granted:
                lane.deficit += quantum * lane.weight
                lane.granted = True
            ticket = lane.tickets[0]
            if lane.deficit >= ticket.cost or len(self.lanes) == 1:
                return ticket
            lane.granted = False
            self.lanes.move_to_end(member)
        return None

    def take(self, ticket: Ticket) -> None:
        """Take what ``turn`` returned."""
        lane = self.lanes[ticket.member]
        lane.tickets.popleft()
        lane.deficit = max(0.0, lane.deficit - ticket.cost)
        self._skip_gone(ticket.member, lane)


class Queue:
    """Requests that wait for their turn at an endpoint."""

    def __init__(self, limits: Limits = Limits()) -> None:
        self._limits = limits
        self._levels = [_Level() for _ in range(PRIORITIES)]
        self._counts: collections.Counter[str] = collections.Counter()
        self._costs: collections.Counter[str] = collections.Counter()
        self._weights: dict[str, float] = {}
        self._weight_sum = 0.0
        self._size = 0
        self._picks = 0
        self.cost = 0.0

    def __len__(self) -> int:
        return self._size

    def count_members(self) -> dict[str, int]:
        """Return the number of waiting requests by member."""
        return dict(self._counts)

    def estimate_wait(
        self, member: str, weight: float, cost: float, rate: float
    ) -> float:
        """Estimate the wait of a further request, in seconds.

        A member waits for its own queue at its share of the rate, and
        never longer than for the whole queue at the full rate.

        :param rate: cost that the endpoint finishes a second, 0 unknown
        """
        if rate <= 0:
            return 0.0
        weights = self._weight_sum
        if member not in self._weights:
            weights += weight
        own = (self._costs[member] if member in self._costs else 0.0) + cost
        return min(own * weights / weight, self.cost + cost) / rate

    def push(
        self,
        ticket: Ticket,
        deadline: float,
        rate: float,
    ) -> outcomes.Refusal | None:
        """Queue a request, or refuse it at once with the reason.

        :param deadline: seconds that the request has left
        :param rate: cost that the endpoint finishes a second, 0 unknown
        """
        ticket.weight = min(max(ticket.weight, MIN_WEIGHT), MAX_WEIGHT)
        ticket.cost = min(max(ticket.cost, 1.0), self._limits.max_cost)
        ticket.priority = min(max(ticket.priority, 0), PRIORITIES - 1)
        if not self._limits.fair:
            ticket.member, ticket.priority = '', 0
        wait = self.estimate_wait(
            ticket.member, ticket.weight, ticket.cost, rate
        )
        full = (
            self._counts.get(ticket.member, 0) >= self._limits.per_member
            and self._limits.fair
            or len(self) >= self._limits.total
        )
        if full:
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
        self._counts[ticket.member] += 1
        self._costs[ticket.member] += ticket.cost
        self._size += 1
        self._weight_sum += ticket.weight
        self._weight_sum -= self._weights.get(ticket.member, 0.0)
        self._weights[ticket.member] = ticket.weight
        self.cost += ticket.cost
        return None

    def _forget(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self._size -= 1
        self.cost -= ticket.cost
        self._costs[ticket.member] -= ticket.cost
        self._counts[ticket.member] -= 1
        if not self._counts[ticket.member]:
            del self._counts[ticket.member]
            del self._costs[ticket.member]
            self._weight_sum -= self._weights.pop(ticket.member)
        if not self._size:
            # Rounding must not build up.
            self.cost = self._weight_sum = 0.0

    def remove(self, ticket: Ticket) -> bool:
        """Take a waiting request out; False when it no longer waits."""
        if not ticket.waiting:
            return False
        self._forget(ticket)
        return True

    def _choose(self, now: float) -> _Level | None:
        aged = self._picks % self._limits.aged_every == 0
        best, best_rank = None, float('inf')
        for priority, level in enumerate(self._levels):
            oldest = level.find_oldest()
            if oldest is None:
                continue
            if not aged:
                return level
            rank = priority - (now - oldest.since) / self._limits.ageing
            if rank < best_rank:
                best, best_rank = level, rank
        return best

    def pick(
        self, now: float, admits: Callable[[Ticket], bool]
    ) -> Ticket | None:
        """Take the request whose turn it is, if it may start now.

        One that may not start keeps its turn, so a large request is not
        passed by small ones for ever.

        :param now: monotonic time in seconds
        :param admits: whether the in-flight cap lets a request start
        """
        level = self._choose(now)
        if level is None:
            return None
        ticket = level.turn(self._limits.quantum)
        if ticket is None or not admits(ticket):
            return None
        self._picks += 1
        level.take(ticket)
        self._forget(ticket)
        return ticket
