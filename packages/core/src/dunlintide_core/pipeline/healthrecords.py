"""Observations about one endpoint, and the states that follow from them."""

import attrs

__all__ = [
    'FULL_SECONDS',
    'SUSPICION_MEMORY_SECONDS',
    'HealthRecord',
]

# An endpoint counts as stalled after this multiple of its usual interval
# between two progress events: an endpoint that few streams share pauses longer
# than others, and would be ejected whenever another one fails.
STALL_INTERVALS = 4.0
# Weight of the latest interval in the moving average; about ten intervals
# count.
INTERVAL_WEIGHT = 0.1
# Longer intervals are ignored, in seconds: the endpoint was idle.
MAX_INTERVAL_SECONDS = 0.5
# How long an endpoint that refused a request as full gets no other one, in
# seconds. The next choice would fall on it again at once, as its known usage
# is low: requests that other entries gave up hold their slots a little longer.
FULL_SECONDS = 0.3
# How long a sign of failure counts, in seconds: while a failed endpoint is
# probed, the next sign comes sooner.
SUSPICION_MEMORY_SECONDS = 3.0
# An endpoint that only streams of other entries use counts as stalled after
# this time, in seconds: reports of its progress are up to two messages old.
PEER_STALL_SECONDS = 0.3


@attrs.define
class HealthRecord:
    """Observations about one endpoint; times are monotonic, in seconds.

    :ivar own_progress_at: last progress of a stream of this entry
    :ivar active_streams: streams of this entry that run on it
    :ivar peer_progress_at: last progress that other entries reported
    :ivar peer_active_until: time until which other entries' streams are
        assumed to run on it
    :ivar mean_interval: moving average of the interval between progress events
    :ivar ejected_until: end of the ejection by this entry
    :ivar ejected_at: time of the last ejection by this entry
    :ivar ejections: consecutive ejections without progress
    :ivar is_probing: whether one request probes it after an ejection
    :ivar peer_ejected_since: time since which other entries eject it
    :ivar peer_ejected_until: time until which their reports count
    :ivar accepted_at: time at which the last request that it accepted was sent
    :ivar refusing_since: time of the first of the consecutive refusals
    :ivar refused_at: time of the last refusal
    :ivar had_capacity: whether it seemed far from full at the last refusal
    :ivar peer_full_until: time until which it counts as full because it
        refused other entries
    :ivar peer_refusing_since: time since which it keeps refusing other entries
    :ivar peer_refusing_until: time until which their reports count
    :ivar refusing_until: time until which it is avoided for its refusals
    :ivar refusals: consecutive refusals without an accepted request
    :ivar released_at: time of the last release of capacity on it that ends
        the pause after a refusal
    :ivar early_ends: pauses in a row that a release ended, without an
        accepted request since
    :ivar suspected_since: time of the first of the consecutive signs of
        failure
    :ivar suspected_at: time of the last sign of failure
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
    released_at: float = float('-inf')
    early_ends: int = 0
    suspected_since: float = float('-inf')
    suspected_at: float = float('-inf')

    @property
    def last_progress_at(self) -> float:
        """Time of its last progress, for any entry."""
        return max(self.own_progress_at, self.peer_progress_at)

    def has_progressed_since(self, time: float) -> bool:
        """Return whether a stream of this entry made progress on it.

        Progress reported by other entries does not refute signs of failure: it
        may date from before the failure.
        """
        return self.own_progress_at > time

    def record_progress(self, now: float) -> None:
        """Record that a stream of this entry made progress on it."""
        pause = now - self.own_progress_at
        if pause < MAX_INTERVAL_SECONDS:
            self.mean_interval += (
                pause - self.mean_interval
            ) * INTERVAL_WEIGHT
        self.own_progress_at = now

    def is_stalled(self, now: float, other_streams: int) -> bool:
        """Return whether streams that should make progress on it do not.

        Without such streams the lack of progress means nothing: in a large
        deployment an entry has no other stream on most of its endpoints.

        :param other_streams: streams of this entry that run on it, except the
            one under examination
        """
        silence = now - self.last_progress_at
        if other_streams > 0:
            return silence >= self.mean_interval * STALL_INTERVALS
        return now < self.peer_active_until and silence >= PEER_STALL_SECONDS

    def record_suspicion(self, now: float) -> None:
        """Record a sign that the endpoint has failed."""
        is_expired = now - self.suspected_at > SUSPICION_MEMORY_SECONDS
        if is_expired or self.has_progressed_since(self.suspected_since):
            self.suspected_since = now
        self.suspected_at = now

    def is_ejected_by_peer(self, now: float) -> bool:
        """Return whether a peer ejects it, without own progress since."""
        is_reported = now < self.peer_ejected_until
        return is_reported and not self.has_progressed_since(
            self.peer_ejected_since
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether it is avoided and nothing has refuted the reason."""
        is_in_ejection = now < self.ejected_until
        failed = is_in_ejection and not self.has_progressed_since(
            self.ejected_at
        )
        return failed or self.is_ejected_by_peer(now) or self.is_refusing(now)

    def has_accepted_since(self, time: float) -> bool:
        """Return whether it accepts requests again after a refusal.

        A full endpoint accepts requests again once its streams make progress.
        A draining one also continues its streams, so only an accepted request
        counts.

        :param time: monotonic time of the refusal, in seconds
        """
        if self.accepted_at > time:
            return True
        return not self.had_capacity and self.has_progressed_since(time)

    def has_active_findings(self, now: float) -> bool:
        """Return whether any sign of failure or refusal may still count."""
        until = max(
            self.peer_ejected_until,
            self.refused_at + FULL_SECONDS,
            self.peer_full_until,
            self.refusing_until,
            self.peer_refusing_until,
        )
        return bool(self.ejections) or now < until

    def has_just_refused(self, now: float) -> bool:
        """Return whether it refused as full and nothing was released since."""
        is_recent = now < self.refused_at + FULL_SECONDS
        return is_recent and self.released_at < self.refused_at

    def is_refusing(self, now: float) -> bool:
        """Return whether it is expected to keep refusing this entry."""
        return now < self.refusing_until and not self.has_accepted_since(
            self.refused_at
        )

    def is_refusing_peers(self, now: float) -> bool:
        """Return whether other entries report that it keeps refusing."""
        is_reported = now < self.peer_refusing_until
        return is_reported and self.accepted_at <= self.peer_refusing_since
