"""Faults that a soak injects into connections through relays."""

from typing import Callable

from dunlintide_standins import relay
from dunlintide_trials import field as fields
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
_CUT_SHARE = 0.5

_Harm = Callable[[fields.Field, relay.Relay], fields.Heal]


def _stall(field: fields.Field, one: relay.Relay) -> fields.Heal:
    directions = list(relay.Direction)
    one.stall(field.rng.choice(directions))
    # The stalled data arrives late after a resume and never after a cut.
    cut = field.rng.random() < _CUT_SHARE
    return one.cut if cut else one.resume


def _cut(_field: fields.Field, one: relay.Relay) -> fields.Heal:
    one.cut()
    return lambda: None


def _slow(field: fields.Field, one: relay.Relay) -> fields.Heal:
    delay = field.rng.uniform(*_DELAY_SECONDS)
    one.shape(delay=delay, rate=field.rng.uniform(*_BYTES_PER_SECOND))
    return one.shape


def _make_fault(hop: plans.Hop, word: str, harm: _Harm) -> fields.Fault:
    def fault(field: fields.Field) -> fields.Heal | None:
        relays = field.running.relays
        names = {f'{place} {who}': (place, who) for place, who in relays}
        chosen = field.take_one([n for n in names if names[n][0] is hop])
        if chosen is None:
            return None
        cure = harm(field, relays[names[chosen]])

        def heal() -> None:
            cure()
            field.release(chosen)

        return heal

    fault.__name__ = f'{word} {hop}'
    return fault


_STALLS = tuple(_make_fault(hop, 'stall', _stall) for hop in HOPS)
FAULTS: tuple[fields.Fault, ...] = (
    *_STALLS,
    *(_make_fault(hop, 'cut', _cut) for hop in HOPS),
    *(_make_fault(hop, 'slow', _slow) for hop in HOPS),
)
SECONDS = dict.fromkeys(_STALLS, _STALL_SECONDS)
