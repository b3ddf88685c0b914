"""Placement of the layers of a model on engines.

A leader calls ``Placer.make_orders`` several times a second. A layer range
must lack engines for some time before an order is made for it. Few orders
are open at a time: loading engines share the bandwidth of the weight
store, so more concurrent loads would not finish sooner.
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
    """Reason why an agent did not execute an order."""

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
    """Layers ``[layer_start, layer_end)`` that an engine has loaded.

    A spare engine holds an empty range; its model is irrelevant.
    """

    model: str = ''
    version: str = ''
    layer_start: int = 0
    layer_end: int = 0

    @property
    def is_spare(self) -> bool:
        """Whether the engine holds no layers."""
        return self.layer_start >= self.layer_end

    @property
    def span(self) -> Span:
        """Layer range as a pair of start and end."""
        return self.layer_start, self.layer_end

    def equals(self, other: 'Holding') -> bool:
        """Return whether both hold the same layers or both are spare."""
        return self == other or (self.is_spare and other.is_spare)


@attrs.frozen
class Engine:
    """An engine whose agent accepts orders.

    :ivar agent: name of the agent
    :ivar request_count: requests that run or are queued
    :ivar max_layers: maximum number of layers that the engine can hold, 0
        for no limit
    :ivar suspected: whether the engine may be gone; it gets no order, and
        its layers count as present, but a shortage without them starts the
        delay before a replacement
    """

    agent: str
    holding: Holding
    request_count: int = 0
    max_layers: int = 0
    suspected: bool = False


@attrs.frozen
class Target:
    """Required placement of a model version.

    :ivar layers: number of layers of the model
    :ivar replicas: target number of engines per range, limited by the
        spare engines available; a range without any engine is restored
        in any case
    """

    model: str
    version: str
    layers: int
    replicas: int = 1


@attrs.frozen
class Order:
    """Order to an agent to change the layers of its engine.

    :ivar agent: name of the agent
    :ivar holding: layers to load
    :ivar layer_count: number of layers of the model
    :ivar expected: layers that the engine must hold on receipt of the
        order, so that an order from an outdated view has no effect
    """

    agent: str
    holding: Holding
    layer_count: int
    expected: Holding


@attrs.frozen
class PlacerSettings:
    """Delays and limits of a placer; times in seconds.

    :ivar shortage_delay: time for which a range must lack engines before
        an order is made, measured from the first suspicion
    :ivar initial_delay: minimum delay for a range that the leader has
        never seen loaded, since its engines may still be starting
    :ivar max_orders: maximum number of open orders per model
    :ivar order_timeout: time after which an order counts as failed
    :ivar backoff: time for which an agent gets no order after a failed one
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
    """Return whether a leader sees enough agents to make orders.

    A leader that is cut off from most agents would replace engines that
    are healthy.

    :param present: number of agents that the leader considers present
    :param listed: number of agents that are known and not dead
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
    """Find the ranges to load that complete a chain with the fewest layers.

    :param layers: number of layers of the model
    :param held: ranges that engines hold
    :param boundaries: starts and ends of earlier ranges, so that a gap is
        filled with the ranges that were lost
    :returns: ranges to load, empty if a chain exists
    """
    held = set(held)
    nodes = {0, layers} | {edge for span in held for edge in span}
    nodes |= set(boundaries)
    ordered = sorted(node for node in nodes if 0 <= node <= layers)
    # For each boundary: number of layers to load before it, and the ranges
    # that they form.
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
    """Planner of placement orders for one model version."""

    def __init__(self, target: Target, settings: PlacerSettings) -> None:
        """Create a placer without open orders."""
        self.target = target
        self._settings = settings
        self._boundaries: set[int] = set()
        self._ranges_seen: set[Span] = set()
        self._short_since: dict[Span, float] = {}
        self._open: dict[str, _OpenOrder] = {}
        self._backoff_until: dict[str, float] = {}

    def list_open_orders(self) -> list[Order]:
        """Return the orders that are not completed yet."""
        return [opened.order for opened in self._open.values()]

    def list_short_ranges(self) -> list[Span]:
        """Return the ranges that lacked engines in the last decision."""
        return sorted(self._short_since)

    def restart_delays(self) -> None:
        """Restart the delays of all short ranges.

        To be called when the leader sees too few agents to make orders.
        """
        self._short_since.clear()

    def note_failure(self, agent: str, now: float) -> None:
        """Record that an agent did not execute its order."""
        if self._open.pop(agent, None) is not None:
            self._backoff_until[agent] = now + self._settings.backoff

    def make_orders(
        self, now: float, engines: Iterable[Engine]
    ) -> list[Order]:
        """Return the orders to send now.

        Each returned order counts as open from now on.

        :param now: seconds
        :param engines: usable engines, of any model
        """
        known = {engine.agent: engine for engine in engines}
        self._close_orders(now, known)
        holdings = list(self._list_holdings(known))
        certain = holdings
        if any(engine.suspected for engine in known.values()):
            certain = list(self._list_holdings(known, False))
        self._ranges_seen.update(holding.span for holding in certain)
        self._boundaries.update(
            edge for holding in holdings for edge in holding.span
        )
        orders = []
        for span in self._list_due(now, holdings, certain):
            if len(self._open) >= self._settings.max_orders:
                break
            order = self._assign(span, known, now)
            if order is not None:
                self._open[order.agent] = _OpenOrder(order, now)
                orders.append(order)
        return orders

    def _close_orders(self, now: float, known: Mapping[str, Engine]) -> None:
        for agent, opened in list(self._open.items()):
            engine = known.get(agent)
            if engine is None or engine.holding == opened.order.holding:
                del self._open[agent]
            elif now - opened.since > self._settings.order_timeout:
                self.note_failure(agent, now)
        self._backoff_until = {
            agent: until
            for agent, until in self._backoff_until.items()
            if until > now
        }

    def _is_of_target(self, holding: Holding) -> bool:
        target = self.target
        return (
            not holding.is_spare
            and holding.model == target.model
            and holding.version == target.version
            and holding.layer_end <= target.layers
        )

    def _list_holdings(
        self, known: Mapping[str, Engine], suspected: bool = True
    ) -> Iterator[Holding]:
        """Iterate over the model's holdings after all open orders.

        :param suspected: whether to include engines that may be gone
        """
        for agent, engine in known.items():
            if engine.suspected and not suspected:
                continue
            if agent in self._open:
                yield self._open[agent].order.holding
            elif self._is_of_target(engine.holding):
                yield engine.holding

    def _find_short_ranges(self, holdings: Sequence[Holding]) -> list[Span]:
        counts = _count_ranges(holdings)
        missing = find_missing(self.target.layers, counts, self._boundaries)
        if missing:
            return missing
        return sorted(
            (span for span in counts if counts[span] < self.target.replicas),
            key=lambda span: (counts[span], span),
        )

    def _list_due(
        self,
        now: float,
        holdings: Sequence[Holding],
        certain: Sequence[Holding],
    ) -> list[Span]:
        """List the ranges that have lacked engines for long enough.

        :param holdings: holdings including those of suspected engines;
            only ranges that are short among these are due
        :param certain: holdings without those of suspected engines; the
            delay of a range starts when it is short among these
        """
        short = short_if_gone = self._find_short_ranges(holdings)
        if certain is not holdings:
            short_if_gone = self._find_short_ranges(certain)
        before = self._short_since

        def find_since(span: Span) -> float:
            # A part of a short range has been short for as long.
            wider = [
                since
                for (start, end), since in before.items()
                if start <= span[0] and span[1] <= end
            ]
            return min(wider, default=now)

        self._short_since = {
            span: find_since(span) for span in (*short, *short_if_gone)
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
        holdings = list(self._list_holdings(known, False))
        chosen = self._pick_spare(span, free)
        if chosen is None and span not in _count_ranges(holdings):
            chosen = self._pick_replica(free, holdings)
        if chosen is None:
            return None
        start, end = span
        if chosen.max_layers:
            # The layers that do not fit are still missing, so a later
            # order covers them.
            end = min(end, start + chosen.max_layers)
        target = self.target
        holding = Holding(target.model, target.version, start, end)
        return Order(chosen.agent, holding, target.layers, chosen.holding)

    def _pick_spare(self, span: Span, free: Sequence[Engine]) -> Engine | None:
        size = span[1] - span[0]

        def rank(engine: Engine) -> tuple[int, int, str]:
            max_layers = engine.max_layers or size
            return (
                max(0, size - max_layers),
                engine.request_count,
                engine.agent,
            )

        spare = [engine for engine in free if engine.holding.is_spare]
        return min(spare, key=rank, default=None)

    def _pick_replica(
        self, free: Sequence[Engine], holdings: Sequence[Holding]
    ) -> Engine | None:
        counts = _count_ranges(holdings)

        def rank(engine: Engine) -> tuple[int, int, str]:
            return (
                -counts[engine.holding.span],
                engine.request_count,
                engine.agent,
            )

        replicated = [
            engine
            for engine in free
            if self._is_of_target(engine.holding)
            and counts[engine.holding.span] > 1
        ]
        return min(replicated, key=rank, default=None)
