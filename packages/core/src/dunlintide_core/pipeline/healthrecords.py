"""What one entry knows of one endpoint, and what follows from it."""

import attrs

__all__ = [
    'FORGET_DOUBT',
    'FULL',
    'Record',
]

# An endpoint is quiet that was still for so many times the usual pause
# between two moves through it: one that few streams share is still for longer
# than others, and would be left out whenever another one dies.
QUIET_INTERVALS = 4.0
# Weight of the last pause in the usual one; some ten count.
INTERVAL_WEIGHT = 0.1
# Pauses beyond this don't count, in seconds: nothing was asked of it.
LONGEST_INTERVAL = 0.5
# How long an endpoint that refused a request as full gets no other one, in
# seconds: the choice would fall on it again at once, as its use here looks
# low. Requests that others gave up hold their places a while longer.
FULL = 0.3
# A sign that an endpoint does not work counts so long, in seconds: while it
# is tried now and then, the next one comes sooner.
FORGET_DOUBT = 3.0
# An endpoint through which only other entries' streams flow is quiet after
# so long, in seconds: news of its last move are up to two messages old.
QUIET_NEWS = 0.3


@attrs.define
class Record:
    """What is known of one endpoint; times are monotonic, in seconds.

    :ivar progress: when work of this entry moved through it last
    :ivar flowing: streams of this entry that flow through it
    :ivar told_progress: when streams of other entries moved, as they tell
    :ivar told_flowing_until: until when such streams are believed to flow
    :ivar interval: usual pause between two moves
    :ivar banned_until: how long it is left out for what was seen here
    :ivar accused: when it was left out last
    :ivar failures: times that it was left out without a move since
    :ivar trial: whether a request tries it after it was left out
    :ivar heard_since: since when others leave it out
    :ivar heard_until: how long their word counts
    :ivar accepted: when a request was sent that it ran
    :ivar refusing_since: when the refusals that go on began
    :ivar refused: when it refused a request last
    :ivar roomy: whether it was far from full then
    :ivar told_full_until: how long it counts as full for others' refusals
    :ivar told_refusing: since when it goes on refusing others
    :ivar told_refusing_until: how long their word counts
    :ivar refusing_until: how long it is left for its own refusals
    :ivar refusals: refusals without an accepted request in between
    :ivar doubted_since: when the bad signs that go on began
    :ivar doubted: when the last one came
    """

    progress: float = float('-inf')
    flowing: int = 0
    told_progress: float = float('-inf')
    told_flowing_until: float = float('-inf')
    interval: float = 0.0
    banned_until: float = float('-inf')
    accused: float = float('-inf')
    failures: int = 0
    trial: bool = False
    heard_since: float = float('-inf')
    heard_until: float = float('-inf')
    accepted: float = float('-inf')
    refusing_since: float = float('-inf')
    refused: float = float('-inf')
    roomy: bool = False
    told_full_until: float = float('-inf')
    told_refusing: float = float('-inf')
    told_refusing_until: float = float('-inf')
    refusing_until: float = float('-inf')
    refusals: int = 0
    doubted_since: float = float('-inf')
    doubted: float = float('-inf')

    @property
    def last_move(self) -> float:
        """When work moved through it last, of this entry or another."""
        return max(self.progress, self.told_progress)

    def has_moved_since(self, time: float) -> bool:
        """Tell whether work of this entry moved through it.

        What others tell of their streams does not refute what is told
        against it: they may have begun before it went bad.
        """
        return self.progress > time

    def move(self, now: float) -> None:
        """Take note that work moved through it."""
        pause = now - self.progress
        if pause < LONGEST_INTERVAL:
            self.interval += (pause - self.interval) * INTERVAL_WEIGHT
        self.progress = now

    def is_quiet(self, now: float, own_flow: int) -> bool:
        """Tell whether streams that should flow through it stand still.

        Without such streams its silence says nothing: one entry of many has
        no other stream at most of its endpoints.

        :param own_flow: streams of this entry that flow through it, without
            the one that is judged
        """
        still = now - self.last_move
        if own_flow > 0:
            return still >= self.interval * QUIET_INTERVALS
        return now < self.told_flowing_until and still >= QUIET_NEWS

    def doubt(self, now: float) -> None:
        """Take note of a sign that the endpoint does not work."""
        forgotten = now - self.doubted > FORGET_DOUBT
        if forgotten or self.has_moved_since(self.doubted_since):
            self.doubted_since = now
        self.doubted = now

    def is_told_off(self, now: float) -> bool:
        heard = now < self.heard_until
        return heard and not self.has_moved_since(self.heard_since)

    def is_left_out(self, now: float) -> bool:
        """Tell whether it is left out and nothing has refuted it."""
        banned = now < self.banned_until
        failed = banned and not self.has_moved_since(self.accused)
        return failed or self.is_told_off(now) or self.goes_on_refusing(now)

    def took_since(self, time: float) -> bool:
        """Tell whether it takes requests again after a refusal.

        A full one takes one when what it runs moves on. One that leaves
        also goes on with what it runs, so only a new request shows it.
        """
        if self.accepted > time:
            return True
        return not self.roomy and self.has_moved_since(time)

    def is_troubled(self, now: float) -> bool:
        """Tell whether anything that was told of it may still count."""
        until = max(
            self.heard_until,
            self.refused + FULL,
            self.told_full_until,
            self.refusing_until,
            self.told_refusing_until,
        )
        return bool(self.failures) or now < until

    def goes_on_refusing(self, now: float) -> bool:
        return now < self.refusing_until and not self.took_since(self.refused)

    def is_told_refusing(self, now: float) -> bool:
        told = now < self.told_refusing_until
        return told and self.accepted <= self.told_refusing
