"""Which endpoint is to hold which layers of a model.

A leader asks, some times a second, what to order. Nothing is ordered for
a range that was lost only just now, and few orders are open at a time:
the weight store shares its rate among all who load, so more of them at
once would end no sooner.
"""

import enum
from typing import Iterable, Iterator, Mapping, Sequence

import attrs

__all__ = [
    'Engine',
    'Holding',
    'Order',
    'Placer',
    'PlacerSettings',
    'Refusal',
    'Target',
    'find_missing',
    'has_sufficient_view',
]

Span = tuple[int, int]


class Refusal(enum.StrEnum):
    """Why an agent did not carry out an order."""

    OLD_FENCE = 'old-fence'
    NOT_LEADER = 'not-leader'
    STORE_AWAY = 'store-away'
    HOLDS_OTHER = 'holds-other'
    LEAVING = 'leaving'
    BUSY = 'busy'
    ENGINE_AWAY = 'engine-away'
    LOAD_FAILED = 'load-failed'


@attrs.frozen
class Holding:
    """What an engine has loaded: layers ``[layer_start, layer_end)``.

    A spare engine holds an empty range, of whatever model.
    """

    model: str = ''
    version: str = ''
    layer_start: int = 0
    layer_end: int = 0

    @property
    def is_spare(self) -> bool:
        """Whether it holds no layers."""
        return self.layer_start >= self.layer_end

    @property
    def span(self) -> Span:
        """Its layer range."""
        return self.layer_start, self.layer_end

    def equals(self, other: 'Holding') -> bool:
        """Tell whether the same layers are held, if any."""
        return self == other or (self.is_spare and other.is_spare)


@attrs.frozen
class Engine:
    """An engine whose agent takes orders.

    :ivar work: requests that it runs or queues
    :ivar max_layers: most layers that it can hold, 0 for any number
    :ivar doubted: whether it may be gone; it gets no order, and what it
        holds is neither relied on nor replaced
    """

    agent: str
    holding: Holding
    request_count: int = 0
    max_layers: int = 0
    suspected: bool = False


@attrs.frozen
class Target:
    """What a model version needs.

    :ivar replicas: engines wanted for each range, as far as spare ones
        allow; a range without any is restored in any case
    """

    model: str
    version: str
    layers: int
    replicas: int = 1


@attrs.frozen
class Order:
    """What one agent's engine is to hold.

    :ivar held: what it must hold when the order comes, so that an order
        made from an old view changes nothing
    """

    agent: str
    holding: Holding
    layer_count: int
    expected: Holding


@attrs.frozen
class PlacerSettings:
    """Pace of a leader; times in seconds.

    :ivar patience: time for which a range must be short of engines, from
        the first doubt on
    :ivar first: least such time for a range that the leader has not seen
        held, as its holders may only be starting
    :ivar max_orders: orders of one model that are open at a time
    :ivar order_timeout: time after which an order counts as failed
    :ivar backoff: time for which an agent that failed one gets no other
    """

    shortage_delay: float = 5.0
    initial_delay: float = 5.0
    max_orders: int = 2
    order_timeout: float = 600.0
    backoff: float = 15.0


@attrs.frozen
class _OpenOrder:
    order: Order
    since: float


def has_sufficient_view(present: int, listed: int) -> bool:
    """Tell whether a leader sees enough agents to order anything.

    One that is cut off from most of them would replace what is well.

    :param present: agents that it holds to be there
    :param listed: agents that are known and not dead
    """
    return present > 0 and 2 * present >= listed


def _count_ranges(holdings: Iterable[Holding]) -> dict[Span, int]:
    counts: dict[Span, int] = {}
    for holding in holdings:
        counts[holding.span] = counts.get(holding.span, 0) + 1
    return counts


def find_missing(
    layers: int, held: Iterable[Span], boundaries: Iterable[int] = ()
) -> list[Span]:
    """Find the fewest layers whose loading lets the ranges be chained.

    :param layers: number of layers of the model
    :param held: ranges that engines hold
    :param boundaries: where ranges began or ended before, so that a
        gap is filled by the ranges that were lost
    :returns: ranges to load, none when a chain exists
    """
    held = set(held)
    nodes = {0, layers} | {edge for span in held for edge in span}
    nodes |= set(boundaries)
    ordered = sorted(node for node in nodes if 0 <= node <= layers)
    # For each boundary: layers to load before it, and the way there.
    best: dict[int, tuple[int, tuple[Span, ...]]] = {0: (0, ())}
    for previous, node in zip(ordered, ordered[1:]):
        cost, fills = best[previous]
        options = [(cost + node - previous, (*fills, (previous, node)))]
        options += [
            best[start] for start, end in held if end == node and start < end
        ]
        best[node] = min(options)
    return list(best[layers][1])


class Placer:
    """Decides the orders for one model version."""

    def __init__(self, target: Target, settings: PlacerSettings) -> None:
        """Begin with no open orders."""
        self.target = target
        self._settings = settings
        self._boundaries: set[int] = set()
        self._ranges_seen: set[Span] = set()
        self._short_since: dict[Span, float] = {}
        self._open: dict[str, _OpenOrder] = {}
        self._backoff_until: dict[str, float] = {}

    def list_open_orders(self) -> list[Order]:
        """Return the orders that are under way."""
        return [one.order for one in self._open.values()]

    def list_short_ranges(self) -> list[Span]:
        """Return the ranges that are short of engines, as last seen."""
        return sorted(self._short_since)

    def restart_delays(self) -> None:
        """Let ranges that are short wait anew, as the view is in doubt."""
        self._short_since.clear()

    def note_failure(self, agent: str, now: float) -> None:
        """Take note that an agent did not carry out its order."""
        if self._open.pop(agent, None) is not None:
            self._backoff_until[agent] = now + self._settings.backoff

    def make_orders(
        self, now: float, engines: Iterable[Engine]
    ) -> list[Order]:
        """Decide what to order now.

        Each order returned counts as given from now on.

        :param engines: those that take work, of any model
        """
        known = {engine.agent: engine for engine in engines}
        self._close_orders(now, known)
        ours = list(self._list_ours(known))
        certain = ours
        if any(engine.suspected for engine in known.values()):
            certain = list(self._list_ours(known, False))
        self._ranges_seen.update(holding.span for holding in certain)
        self._boundaries.update(
            edge for holding in ours for edge in holding.span
        )
        orders = []
        for span in self._list_due(now, ours, certain):
            if len(self._open) >= self._settings.max_orders:
                break
            order = self._assign(span, known, now)
            if order is not None:
                self._open[order.agent] = _OpenOrder(order, now)
                orders.append(order)
        return orders

    def _close_orders(self, now: float, known: Mapping[str, Engine]) -> None:
        for agent, one in list(self._open.items()):
            engine = known.get(agent)
            if engine is None or engine.holding == one.order.holding:
                del self._open[agent]
            elif now - one.since > self._settings.order_timeout:
                self.note_failure(agent, now)
        self._backoff_until = {
            agent: until
            for agent, until in self._backoff_until.items()
            if until > now
        }

    def _is_ours(self, holding: Holding) -> bool:
        target = self.target
        return (
            not holding.is_spare
            and holding.model == target.model
            and holding.version == target.version
            and holding.layer_end <= target.layers
        )

    def _list_ours(
        self, known: Mapping[str, Engine], suspected: bool = True
    ) -> Iterator[Holding]:
        """Give what is held of the model once open orders are done.

        :param doubted: whether to count engines that may be gone
        """
        for agent, engine in known.items():
            if engine.suspected and not suspected:
                continue
            if agent in self._open:
                yield self._open[agent].order.holding
            elif self._is_ours(engine.holding):
                yield engine.holding

    def _list_short(self, ours: Sequence[Holding]) -> list[Span]:
        counts = _count_ranges(ours)
        missing = find_missing(self.target.layers, counts, self._boundaries)
        if missing:
            return missing
        return sorted(
            (span for span in counts if counts[span] < self.target.replicas),
            key=lambda span: (counts[span], span),
        )

    def _list_due(
        self, now: float, ours: Sequence[Holding], certain: Sequence[Holding]
    ) -> list[Span]:
        """List ranges that have been short for long enough.

        :param certain: what is held without doubt: the wait begins with
            the first doubt, an order needs certainty
        """
        short = doubtful = self._list_short(ours)
        if certain is not ours:
            doubtful = self._list_short(certain)
        before = self._short_since

        def find_since(span: Span) -> float:
            # A part of a range that was lost has been lost as long.
            wider = [
                since
                for (start, end), since in before.items()
                if start <= span[0] and span[1] <= end
            ]
            return min(wider, default=now)

        self._short_since = {
            span: find_since(span) for span in (*short, *doubtful)
        }
        return [
            span
            for span in short
            if now - self._short_since[span] >= self._get_shortage_delay(span)
        ]

    def _get_shortage_delay(self, span: Span) -> float:
        delay = self._settings.shortage_delay
        for start, end in self._ranges_seen:
            if start <= span[0] and span[1] <= end:
                return delay
        return max(delay, self._settings.initial_delay)

    def _assign(
        self, span: Span, known: Mapping[str, Engine], now: float
    ) -> Order | None:
        free = [
            engine
            for agent, engine in known.items()
            if agent not in self._open
            and agent not in self._backoff_until
            and not engine.suspected
        ]
        ours = list(self._list_ours(known, False))
        chosen = self._pick_spare(span, free)
        if chosen is None and span not in _count_ranges(ours):
            chosen = self._pick_replica(free, ours)
        if chosen is None:
            return None
        start, end = span
        if chosen.max_layers:
            # What does not fit is missing still, and so ordered next.
            end = min(end, start + chosen.max_layers)
        target = self.target
        holding = Holding(target.model, target.version, start, end)
        return Order(chosen.agent, holding, target.layers, chosen.holding)

    def _pick_spare(self, span: Span, free: Sequence[Engine]) -> Engine | None:
        size = span[1] - span[0]

        def rank(engine: Engine) -> tuple[int, int, str]:
            fits = engine.max_layers or size
            return max(0, size - fits), engine.request_count, engine.agent

        spare = [engine for engine in free if engine.holding.is_spare]
        return min(spare, key=rank, default=None)

    def _pick_replica(
        self, free: Sequence[Engine], ours: Sequence[Holding]
    ) -> Engine | None:
        counts = _count_ranges(ours)

        def rank(engine: Engine) -> tuple[int, int, str]:
            return (
                -counts[engine.holding.span],
                engine.request_count,
                engine.agent,
            )

        replicated = [
            engine
            for engine in free
            if self._is_ours(engine.holding)
            and counts[engine.holding.span] > 1
        ]
        return min(replicated, key=rank, default=None)
