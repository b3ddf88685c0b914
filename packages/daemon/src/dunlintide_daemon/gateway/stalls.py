"""Stalled runs: how long they may stall, and when they are moved."""

import attrs

from dunlintide_core.pipeline import failover
from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'StallMonitor',
    'Stall',
]

Stream = exchange_module.Stream


@attrs.frozen
class Stall:
    """A run that makes no progress.

    :ivar names: names of the endpoints of its chain
    :ivar last_progress: monotonic time of its last event, in seconds
    :ivar has_events: whether it has produced an event
    """

    names: list[str]
    last_progress: float
    has_events: bool


class StallMonitor:
    """Decides whether stalled runs are moved to another chain."""

    def __init__(
        self, state: state_module.State, finder: chainfinder.ChainFinder
    ) -> None:
        self._state = state
        self._finder = finder

    def choose_limits(
        self, target: float | None, has_events: bool
    ) -> failover.StallLimits:
        """Choose how long a run may stall.

        :param target: wait for an event that the rule allows, in seconds,
            None for the default
        :param has_events: whether the run has produced an event
        """
        state = self._state
        usual = None
        if state.has(mechanisms.Mechanism.USUAL_PAUSES):
            durations = (
                state.longest_gaps if has_events else state.first_event_delays
            )
            usual = durations.typical
        return failover.choose_limits(
            target or chainfinder.DEFAULT_TARGET_SECONDS, usual
        )

    def check(
        self, stream: Stream, stall: Stall, limits: failover.StallLimits
    ) -> float:
        """Decide whether a stalled run is moved to another chain.

        It is moved only if a chain has room and the retry budget allows it:
        a slow run is better than none.

        :returns: time from its last event to the next check, in seconds
        :raises RunEnded: when it is moved, or its deadline has passed
        """
        state = self._state
        exchange = stream.exchange
        now = state.now
        if now >= exchange.deadline:
            raise runends.RunEnded(True, 'deadline', retry=False)
        is_enabled = state.has(mechanisms.Mechanism.RESCUE)
        if not (is_enabled and exchange.can_retry(True, now)):
            return exchange.deadline - stall.last_progress
        seconds = now - stall.last_progress
        state.suspect_slow(stall.names)
        suspects = self._find_suspects(stall, now)
        evidence = self._collect_evidence(stall, suspects, now)
        decision = failover.decide(seconds, limits, evidence)
        if not decision.should_move:
            return decision.limit
        request = exchange.caller_request.name
        state.eject(suspects, 'still', request, is_certain=False)
        before = list(exchange.excluded_endpoints)
        stalled = state.health.find_stalled(stall.names, stall.last_progress)
        exchange.excluded_endpoints.extend(suspects or stalled)
        # Endpoints with a rate limit are excluded, since a permit may be
        # refused and a slow run is better than none.
        hops = self._finder.choose(stream, state.rate_limits.list_limited())
        if hops is None or not state.spend_retry_budget(
            exchange.service, 'stream'
        ):
            exchange.excluded_endpoints[:] = before
            return decision.limit
        reason = f'still for {seconds:.3f} s, {evidence}'
        raise runends.RunEnded(True, reason, next_hops=hops)

    def _collect_evidence(
        self, stall: Stall, suspects: list[str], now: float
    ) -> failover.Evidence:
        """Classify what is known of the endpoints of a stalled run."""
        since = failover.choose_stall_start(stall.last_progress, now)
        stalled = self._state.health.find_stalled(stall.names, since)
        return failover.classify_evidence(suspects, stalled)

    def _find_suspects(self, stall: Stall, now: float) -> list[str]:
        """Return the names of endpoints that seem to stall a run."""
        health = self._state.health
        known = []
        if self._state.has(mechanisms.Mechanism.LEFT_OUT_NAMES):
            known = health.find_ejected(stall.names, now)
        since = failover.choose_stall_start(stall.last_progress, now)
        return known or health.find_suspects(
            stall.names, since, now, stall.has_events
        )
