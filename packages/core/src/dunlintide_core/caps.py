"""Policies that bound what is in flight at an endpoint."""

from typing import Callable

import attrs

__all__ = [
    'INITIAL_REQUESTS',
    'Cap',
    'InFlight',
    'Usage',
    'build_adaptive',
    'build_budget',
    'build_fixed',
]

HIGH_KV_USAGE = 0.8
LOW_KV_USAGE = 0.6
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.25
# Requests before anything is known of an engine.
INITIAL_REQUESTS = 16


@attrs.define
class InFlight:
    """What runs at an endpoint now.

    :ivar tokens: most KV cache positions that these may come to need
    :ivar finished: requests that have ended since the start
    """

    requests: int = 0
    tokens: int = 0
    finished: int = 0


@attrs.frozen
class Usage:
    """Load as an engine reports it, with a lag.

    :ivar kv_usage: used part of the KV cache, 0 to 1
    :ivar kv_tokens: positions that the KV cache holds, 0 unknown
    :ivar queued: requests that wait inside the engine
    """

    kv_usage: float = 0.0
    kv_tokens: int = 0
    queued: int = 0


@attrs.frozen
class Cap:
    """One policy, as three functions over its own state.

    :ivar admits: whether a request of so many tokens may start
    :ivar observe: takes note of a load report
    :ivar limit: returns the current bound, in requests
    """

    admits: Callable[[InFlight, int], bool]
    observe: Callable[[InFlight, Usage], None]
    limit: Callable[[InFlight], int]


def _ignore(in_flight: InFlight, usage: Usage) -> None:
    del in_flight, usage


def build_fixed(requests: int) -> Cap:
    """Build a cap on the number of requests."""
    return Cap(
        admits=lambda in_flight, _: in_flight.requests < requests,
        observe=_ignore,
        limit=lambda _: requests,
    )


def build_budget(requests: int, fraction: float = 0.9) -> Cap:
    """Build a cap on the KV cache positions that may come to be needed.

    Until the engine has told its size, a few requests may run, and twice
    as many with each report that finds so many in flight. One request may
    always start, so a large one does not wait for ever.

    :param requests: bound on the number as well
    :param part: part of the cache to hand out, 0 to 1
    """
    cache_tokens = 0
    unsized_limit = min(INITIAL_REQUESTS, requests)

    def admits(in_flight: InFlight, tokens: int) -> bool:
        if in_flight.requests >= (requests if cache_tokens else unsized_limit):
            return False
        if not cache_tokens or not in_flight.requests:
            return True
        return in_flight.tokens + tokens <= cache_tokens * fraction

    def observe(in_flight: InFlight, usage: Usage) -> None:
        nonlocal cache_tokens, unsized_limit
        # A report may leave it out; the cache does not change its size.
        cache_tokens = usage.kv_tokens or cache_tokens
        if not cache_tokens and in_flight.requests >= unsized_limit:
            unsized_limit = min(requests, 2 * unsized_limit)

    def limit(in_flight: InFlight) -> int:
        if not cache_tokens:
            return unsized_limit
        if not in_flight.requests:
            return requests
        mean = max(in_flight.tokens / in_flight.requests, 1.0)
        return max(1, min(requests, int(cache_tokens * fraction / mean)))

    return Cap(admits, observe, limit)


def build_adaptive(start: int, ceiling: int) -> Cap:
    """Build a cap that follows the reported KV cache usage.

    Above 0.8 it is cut by 30%, once, until the pool has drained below
    the new cap; below 0.6 with nothing queued it grows by 25%, once per
    turnover of the pool. The idea is from TRL's AsyncGRPO ("Adaptive
    in-flight cap from vLLM load").

    :param start: cap before the first report, in requests
    :param ceiling: largest cap, in requests
    """
    cap = start
    draining = False
    grown_at = 0

    def observe(in_flight: InFlight, usage: Usage) -> None:
        nonlocal cap, draining, grown_at
        if draining and in_flight.requests < cap:
            draining = False
        if usage.kv_usage > HIGH_KV_USAGE:
            if not draining:
                cap = max(1, int(cap * DECREASE_FACTOR))
                draining = True
            return
        has_turned_over = in_flight.finished - grown_at >= cap
        if (
            usage.kv_usage < LOW_KV_USAGE
            and not usage.queued
            and has_turned_over
        ):
            cap = min(ceiling, max(cap + 1, int(cap * INCREASE_FACTOR)))
            grown_at = in_flight.finished

    return Cap(
        admits=lambda in_flight, _: in_flight.requests < cap,
        observe=observe,
        limit=lambda _: cap,
    )
