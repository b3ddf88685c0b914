"""What one entry knows of one endpoint, and what follows from it."""

import attrs

__all__ = [
    'FULL_SECONDS',
    'SUSPICION_MEMORY_SECONDS',
    'HealthRecord',
]

# An endpoint is quiet that was still for so many times the usual pause
# between two moves through it: one that few streams share is still for longer
# than others, and would be left out whenever another one dies.
STALL_INTERVALS = 4.0
# Weight of the last pause in the usual one; some ten count.
INTERVAL_WEIGHT = 0.1
# Pauses beyond this don't count, in seconds: nothing was asked of it.
MAX_INTERVAL_SECONDS = 0.5
# How long an endpoint that refused a request as full gets no other one, in
# seconds: the choice would fall on it again at once, as its use here looks
# low. Requests that others gave up hold their places a while longer.
FULL_SECONDS = 0.3
# A sign that an endpoint does not work counts so long, in seconds: while it
# is tried now and then, the next one comes sooner.
SUSPICION_MEMORY_SECONDS = 3.0
# An endpoint through which only other entries' streams flow is quiet after
# so long, in seconds: news of its last move are up to two messages old.
PEER_STALL_SECONDS = 0.3


@attrs.define
class HealthRecord:
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

    own_progress_at: float = float('-inf')
    active_streams: int = 0
    peer_progress_at: float = float('-inf')
    peer_active_until: float = float('-inf')
    mean_interval: float = 0.0
    ejected_until: float = float('-inf')
    ejected_at: float = float('-inf')
    ejections: int = 0
    is_probing: bool = False
    peer_ejected_since: float = float('-inf')
    peer_ejected_until: float = float('-inf')
    accepted_at: float = float('-inf')
    refusing_since: float = float('-inf')
    refused_at: float = float('-inf')
    had_capacity: bool = False
    peer_full_until: float = float('-inf')
    peer_refusing_since: float = float('-inf')
    peer_refusing_until: float = float('-inf')
    refusing_until: float = float('-inf')
    refusals: int = 0
    suspected_since: float = float('-inf')
    suspected_at: float = float('-inf')

    @property
    def last_progress_at(self) -> float:
        """When work moved through it last, of this entry or another."""
        return max(self.own_progress_at, self.peer_progress_at)

    def has_progressed_since(self, time: float) -> bool:
        """Tell whether work of this entry moved through it.

        What others tell of their streams does not refute what is told
        against it: they may have begun before it went bad.
        """
        return self.own_progress_at > time

    def record_progress(self, now: float) -> None:
        """Take note that work moved through it."""
        pause = now - self.own_progress_at
        if pause < MAX_INTERVAL_SECONDS:
            self.mean_interval += (
                pause - self.mean_interval
            ) * INTERVAL_WEIGHT
        self.own_progress_at = now

    def is_stalled(self, now: float, own_flow: int) -> bool:
        """Tell whether streams that should flow through it stand still.

        Without such streams its silence says nothing: one entry of many has
        no other stream at most of its endpoints.

        :param own_flow: streams of this entry that flow through it, without
            the one that is judged
        """
        still = now - self.last_progress_at
        if own_flow > 0:
            return still >= self.mean_interval * STALL_INTERVALS
        return now < self.peer_active_until and still >= PEER_STALL_SECONDS

    def record_suspicion(self, now: float) -> None:
        """Take note of a sign that the endpoint does not work."""
        forgotten = now - self.suspected_at > SUSPICION_MEMORY_SECONDS
        if forgotten or self.has_progressed_since(self.suspected_since):
            self.suspected_since = now
        self.suspected_at = now

    def is_ejected_by_peer(self, now: float) -> bool:
        heard = now < self.peer_ejected_until
        return heard and not self.has_progressed_since(self.peer_ejected_since)

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is left out and nothing has refuted it."""
        banned = now < self.ejected_until
        failed = banned and not self.has_progressed_since(self.ejected_at)
        return failed or self.is_ejected_by_peer(now) or self.is_refusing(now)

    def has_accepted_since(self, time: float) -> bool:
        """Tell whether it takes requests again after a refusal.

        A full one takes one when what it runs moves on. One that leaves
        also goes on with what it runs, so only a new request shows it.
        """
        if self.accepted_at > time:
            return True
        return not self.had_capacity and self.has_progressed_since(time)

    def has_active_findings(self, now: float) -> bool:
        """Tell whether anything that was told of it may still count."""
        until = max(
            self.peer_ejected_until,
            self.refused_at + FULL_SECONDS,
            self.peer_full_until,
            self.refusing_until,
            self.peer_refusing_until,
        )
        return bool(self.ejections) or now < until

    def is_refusing(self, now: float) -> bool:
        return now < self.refusing_until and not self.has_accepted_since(
            self.refused_at
        )

    def is_refusing_peers(self, now: float) -> bool:
        told = now < self.peer_refusing_until
        return told and self.accepted_at <= self.peer_refusing_since
