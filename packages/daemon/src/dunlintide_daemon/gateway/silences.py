"""Runs that stand still: how long they may, and when they are moved."""

import attrs

from dunlintide_core.pipeline import failover
from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'Judge',
    'Silence',
]

Stream = exchange_module.Stream


@attrs.frozen
class Silence:
    """A run that stands still.

    :ivar names: endpoints of its chain
    :ivar moved: monotonic time of its last event, in seconds
    :ivar flows: whether it has made an event
    """

    names: list[str]
    moved: float
    flows: bool


class Judge:
    """Decides on still runs with the beliefs of one entry."""

    def __init__(
        self, state: state_module.State, finder: chainfinder.ChainFinder
    ) -> None:
        self._state = state
        self._finder = finder

    def choose_limits(
        self, target: float | None, has_events: bool
    ) -> failover.StallLimits:
        """Tell how long a run may stand still.

        :param target: silence that the rule allows, in seconds, None for
            the usual one
        :param has_events: whether it has made an event
        """
        state = self._state
        usual = None
        if state.has(mechanisms.Mechanism.USUAL_PAUSES):
            seen = state.pauses if has_events else state.first_events
            usual = seen.typical
        return failover.choose_limits(
            target or chainfinder.USUAL_TARGET, usual
        )

    def judge(
        self, stream: Stream, silence: Silence, limits: failover.StallLimits
    ) -> float:
        """Decide whether a still run is moved to another chain.

        It is left only for a chain that is at hand and paid for, since a
        slow run is worth more than none.

        :returns: how long to wait from its last event, in seconds
        :raises RunEnded: when it is moved, or its time is up
        """
        state = self._state
        exchange = stream.exchange
        now = state.now
        if now >= exchange.deadline:
            raise runends.RunEnded(True, 'deadline', retry=False)
        rescued = state.has(mechanisms.Mechanism.RESCUE)
        if not (rescued and exchange.can_go_on(True, now)):
            return exchange.deadline - silence.moved
        seconds = now - silence.moved
        state.suspect_slow(silence.names)
        suspects = self._find_suspects(silence, now)
        evidence = self._weigh(silence, suspects, now)
        judgement = failover.decide(seconds, limits, evidence)
        if not judgement.should_move:
            return judgement.limit
        state.accuse(suspects, 'still', exchange.ask.name)
        before = list(exchange.tried)
        still = state.soundness.find_stalled(silence.names, silence.moved)
        exchange.tried.extend(suspects or still)
        # A permit may be refused, and a slow run is worth more than none.
        hops = self._finder.choose(stream, state.rate_limits.list_limited())
        if hops is None or not state.pay_resend(exchange.service, 'stream'):
            exchange.tried[:] = before
            return judgement.limit
        reason = f'still for {seconds:.3f} s, {evidence}'
        raise runends.RunEnded(True, reason, hops=hops)

    def _weigh(
        self, silence: Silence, suspects: list[str], now: float
    ) -> failover.Evidence:
        """Tell what is known of the endpoints of a still run."""
        since = failover.choose_stall_start(silence.moved, now)
        still = self._state.soundness.find_stalled(silence.names, since)
        return failover.classify_evidence(suspects, still)

    def _find_suspects(self, silence: Silence, now: float) -> list[str]:
        """List the endpoints that seem to hold up a still run."""
        soundness = self._state.soundness
        known = []
        if self._state.has(mechanisms.Mechanism.LEFT_OUT_NAMES):
            known = soundness.find_ejected(silence.names, now)
        since = failover.choose_stall_start(silence.moved, now)
        return known or soundness.find_suspects(
            silence.names, since, now, silence.flows
        )
