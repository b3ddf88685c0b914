"""Faults that a soak injects into connections through relays."""

from typing import Callable

from dunlintide_standins import relay
from dunlintide_trials import faultcontext
from dunlintide_trials import plans

__all__ = ['FAULTS', 'HOPS', 'SECONDS']

HOPS = (
    plans.Hop.ENTRY_AGENT,
    plans.Hop.AGENT_AGENT,
    plans.Hop.AGENT_ENGINE,
    plans.Hop.ENTRY_STORE,
)
_DELAY_SECONDS = (0.01, 0.2)
# Above the bandwidth that the pings of a link need, see
# docs/design/silence.md.
_BYTES_PER_SECOND = (64_000, 1_000_000)
# The upper limit exceeds the failure detection timeout.
_STALL_SECONDS = (2.0, 12.0)
_CUT_PROBABILITY = 0.5

_Inject = Callable[[faultcontext.FaultContext, relay.Relay], faultcontext.Heal]


def _stall(
    context: faultcontext.FaultContext, link_relay: relay.Relay
) -> faultcontext.Heal:
    directions = list(relay.Direction)
    link_relay.stall(context.rng.choice(directions))
    # The stalled data arrives late after a resume and never after a cut.
    cut = context.rng.random() < _CUT_PROBABILITY
    return link_relay.cut if cut else link_relay.resume


def _cut(
    _context: faultcontext.FaultContext, link_relay: relay.Relay
) -> faultcontext.Heal:
    link_relay.cut()
    return lambda: None


def _slow(
    context: faultcontext.FaultContext, link_relay: relay.Relay
) -> faultcontext.Heal:
    delay = context.rng.uniform(*_DELAY_SECONDS)
    link_relay.shape(delay=delay, rate=context.rng.uniform(*_BYTES_PER_SECOND))
    return link_relay.shape


def _make_fault(
    hop: plans.Hop, verb: str, inject: _Inject
) -> faultcontext.Fault:
    def fault(context: faultcontext.FaultContext) -> faultcontext.Heal | None:
        relays = context.running.relays
        names = {
            f'{relay_hop} {daemon}': (relay_hop, daemon)
            for relay_hop, daemon in relays
        }
        chosen = context.reserve_any([n for n in names if names[n][0] is hop])
        if chosen is None:
            return None
        revert = inject(context, relays[names[chosen]])

        def heal() -> None:
            revert()
            context.release(chosen)

        return heal

    fault.__name__ = f'{verb} {hop}'
    return fault


_STALLS = tuple(_make_fault(hop, 'stall', _stall) for hop in HOPS)
FAULTS: tuple[faultcontext.Fault, ...] = (
    *_STALLS,
    *(_make_fault(hop, 'cut', _cut) for hop in HOPS),
    *(_make_fault(hop, 'slow', _slow) for hop in HOPS),
)
SECONDS = dict.fromkeys(_STALLS, _STALL_SECONDS)
