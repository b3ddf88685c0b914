"""Budget of time from the acknowledgement of a configuration to its effect.

Load pattern: the operators write a version of up to a megabyte, the store has
it at once, and each entry reads it over its own link. An entry that nobody
else tells of it, at worst in the batch pause behind another change, has to
put it in force in time all the same.
"""

import attrs

from dunlintide_core.pipeline import watchbudget

__all__ = ['ConfigurationBudget']

# Share that is left for decoding, the lag of the event loop and the way of a
# request through the entry.
RESERVE_FRACTION = 0.2
# Share after which a body that has stopped arriving is given up. Callers use
# the same link, and lost packets are sent again after some tenths of a second.
IDLE_FRACTION = 0.25
# Narrowest link of an entry that is planned for, in Mbit/s.
NARROWEST_MBITS_PER_SECOND = 10.0
_BITS = 8
_MEGA = 1e6


@attrs.frozen
class ConfigurationBudget:
    """Times of the steps, in seconds; without a lost answer they fit.

    :ivar watch: times of the watch, for the tighter one of both bounds
    :ivar idle: longest time without a byte of a body
    :ivar transfer: time that is left for the way of the version
    """

    watch: watchbudget.WatchBudget
    idle: float
    transfer: float

    @classmethod
    def from_bounds(
        cls, drain: float, apply: float | None
    ) -> 'ConfigurationBudget':
        """Divide the time of a configuration.

        :param drain: seconds for which requests may be sent to an endpoint
            after the store has accepted that it leaves
        :param apply: seconds until a configuration must be in force, None for
            the same as ``drain``
        """
        bound = drain if apply is None else apply
        watch = watchbudget.WatchBudget.from_drain(min(drain, bound))
        reserve = RESERVE_FRACTION * bound
        return cls(
            watch=watch,
            idle=IDLE_FRACTION * bound,
            transfer=bound - watch.batch - watch.connect - reserve,
        )

    def compute_largest(self, mbits_per_second: float) -> int:
        """Return the largest answer that a link passes in time, in bytes."""
        return int(self.transfer * mbits_per_second * _MEGA / _BITS)

    def compute_longest_pause(self, size: int) -> float:
        """Return the longest pause behind a change, in seconds.

        After it a version still passes the narrowest link in time; one that
        takes longer gets the pause that batches changes. A lost answer does
        not depend on the pause, as a call is given up a fixed time after the
        last answer.

        :param size: expected size of a version as it is sent, in bytes
        """
        watch = self.watch
        needed = size * _BITS / (NARROWEST_MBITS_PER_SECOND * _MEGA)
        left = watch.batch + self.transfer - needed
        return max(watch.batch, min(watch.silence - watch.slack, left))
