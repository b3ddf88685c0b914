"""Concurrency limits: policies that bound the requests at an endpoint."""

from typing import Callable

import attrs

__all__ = [
    'Cap',
    'INITIAL_REQUESTS',
    'InFlight',
    'Usage',
    'build_adaptive',
    'build_budget',
    'build_fixed',
]

# Fractions of the KV cache at which the adaptive cap shrinks and grows.
HIGH_KV_USAGE = 0.8
LOW_KV_USAGE = 0.6
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.25
# Limit in requests before an engine has sent a load report.
INITIAL_REQUESTS = 16


@attrs.define
class InFlight:
    """Requests in flight at an endpoint.

    :ivar requests: number of requests
    :ivar tokens: maximum number of KV cache positions that they may need
    :ivar finished: number of requests that have ended since the start
    """

    requests: int = 0
    tokens: int = 0
    finished: int = 0


@attrs.frozen
class Usage:
    """Load that an engine reports, with a delay.

    :ivar kv_usage: used fraction of the KV cache, 0 to 1
    :ivar kv_tokens: size of the KV cache in positions, 0 if unknown
    :ivar queued: number of requests queued inside the engine
    """

    kv_usage: float = 0.0
    kv_tokens: int = 0
    queued: int = 0


@attrs.frozen
class Cap:
    """A policy: three functions that share its state.

    :ivar admits: returns whether a request with the given number of
        tokens may start
    :ivar observe: updates the state with a load report
    :ivar limit: returns the current limit in requests
    """

    admits: Callable[[InFlight, int], bool]
    observe: Callable[[InFlight, Usage], None]
    limit: Callable[[InFlight], int]


def _ignore(in_flight: InFlight, usage: Usage) -> None:
    del in_flight, usage


def build_fixed(requests: int) -> Cap:
    """Build a cap with a fixed number of requests."""
    return Cap(
        admits=lambda in_flight, _: in_flight.requests < requests,
        observe=_ignore,
        limit=lambda _: requests,
    )


def build_budget(requests: int, fraction: float = 0.9) -> Cap:
    """Build a cap on the KV cache positions that requests may need.

    Until the engine has reported the size of its cache, the cap is a small
    number of requests, which doubles with each report that finds it fully
    used. If nothing is in flight, any request may start, so that a large
    one does not wait forever.

    :param requests: maximum number of requests
    :param fraction: fraction of the cache to allocate, 0 to 1
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
        # Some reports omit the size, which does not change.
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

    Above a usage of 0.8 the cap is cut by 30%, and not again until the
    requests in flight have fallen below the new cap. Below 0.6, with
    nothing queued in the engine, it grows by 25%, and not again until as
    many requests have finished as the cap allows. The policy follows
    "Adaptive in-flight cap from vLLM load" in TRL's AsyncGRPO.

    :param start: cap in requests before the first report
    :param ceiling: maximum cap in requests
    """
    cap = start
    is_reducing = False
    finished_at_increase = 0

    def observe(in_flight: InFlight, usage: Usage) -> None:
        nonlocal cap, is_reducing, finished_at_increase
        if is_reducing and in_flight.requests < cap:
            is_reducing = False
        if usage.kv_usage > HIGH_KV_USAGE:
            if not is_reducing:
                cap = max(1, int(cap * DECREASE_FACTOR))
                is_reducing = True
            return
        has_turned_over = in_flight.finished - finished_at_increase >= cap
        if (
            usage.kv_usage < LOW_KV_USAGE
            and not usage.queued
            and has_turned_over
        ):
            cap = min(ceiling, max(cap + 1, int(cap * INCREASE_FACTOR)))
            finished_at_increase = in_flight.finished

    return Cap(
        admits=lambda in_flight, _: in_flight.requests < cap,
        observe=observe,
        limit=lambda _: cap,
    )
