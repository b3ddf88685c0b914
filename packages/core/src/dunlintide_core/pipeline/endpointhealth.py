"""Outlier ejection of endpoints, from the outcome of requests.

A stalled run suspects only those endpoints of its chain on which other
streams, of this entry or of others, should make progress and do not: an
endpoint stalled for all streams that use it is probably the failed one. If
that covers most of the chain, no endpoint is suspected. A suspect is ejected
for a time that doubles with each failure. Afterwards one request at a time
probes it, until it makes progress again.
"""

from typing import Iterable, Sequence

from dunlintide_core.pipeline import healthrecords

__all__ = ['EndpointHealth']

# Duration of the first ejection, in seconds: a restart takes a few seconds,
# and a wrong ejection costs little while there are copies.
FIRST_EJECTION_SECONDS = 1.0
# Longest ejection, in seconds, so that an endpoint that recovers is soon in
# use.
MAX_EJECTION_SECONDS = 8.0
# Age from which on an ejection no longer counts as consecutive, in seconds.
EJECTION_MEMORY_SECONDS = 20.0
# Maximum number of endpoints that a stalled run suspects. Engines fail one at
# a time, or two of a group; more without progress only show that few other
# requests share the chain.
MAX_SUSPECTS = 2
# Longest time for which an endpoint that keeps refusing is avoided, in
# seconds; one that died is removed from the listing a few seconds later.
MAX_REFUSAL_PAUSE_SECONDS = 2.4
# Number of consecutive refusals up to which a release ends the pause.
MAX_ENDED_REFUSALS = 2
# Number of pauses that releases end before a request must be accepted: what
# is released may be taken by others each time.
MAX_EARLY_ENDS = 3
# How long another entry's report of progress on an endpoint counts, in
# seconds: a little longer than the interval between two messages.
PEER_PROGRESS_SECONDS = 0.2
# How long a report of another entry counts, in seconds: it is repeated while
# it holds, and own progress refutes it.
PEER_REPORT_SECONDS = 0.6


class EndpointHealth:
    """Health of all endpoints, as one entry observes it."""

    def __init__(self) -> None:
        self._records: dict[str, healthrecords.HealthRecord] = {}
        # Endpoints with a sign of failure or refusal, so that a choice among
        # hundreds examines only these.
        self._flagged: set[str] = set()

    def _get(self, name: str) -> healthrecords.HealthRecord:
        """Return the record of an endpoint, created if there is none."""
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = healthrecords.HealthRecord()
        return record

    def _get_flagged(self, name: str) -> healthrecords.HealthRecord:
        """Return the record of an endpoint, marked for examination."""
        self._flagged.add(name)
        return self._get(name)

    def report_progress(self, names: Iterable[str], now: float) -> None:
        """Record that a stream of this entry made progress on endpoints.

        :param now: monotonic time in seconds
        """
        for name in names:
            record = self._get(name)
            record.record_progress(now)
            if record.ejections and record.ejected_until <= now:
                record.ejections = 0
                record.is_probing = False

    def find_stalled(self, names: Iterable[str], since: float) -> list[str]:
        """List the endpoints without any progress since a time."""
        return [
            name for name in names if self._get(name).last_progress_at <= since
        ]

    def find_suspects(
        self, names: Sequence[str], since: float, now: float, has_events: bool
    ) -> list[str]:
        """List the endpoints that a stalled run suspects.

        :param names: endpoints of its chain
        :param since: monotonic start of the silence that counts, in seconds
        :param has_events: whether the run has produced an event
        """
        suspects = []
        for name in self.find_stalled(names, since):
            record = self._get(name)
            if record.is_stalled(now, record.active_streams - int(has_events)):
                suspects.append(name)
        if len(suspects) > MAX_SUSPECTS or len(suspects) == len(names):
            return []
        return suspects

    def find_ejected(self, names: Iterable[str], now: float) -> list[str]:
        """List the endpoints that other runs have just shown to fail.

        If all chains of a failure domain share an engine that dies, the first
        stalled run identifies it. For the others the whole chain is stalled,
        since it has no other use, and they could not identify any engine.
        """
        return [
            name
            for name in names
            if name in self._records and self._records[name].is_ejected(now)
        ]

    def eject(self, name: str, now: float) -> bool:
        """Eject an endpoint for a while.

        :returns: whether it was not ejected before
        """
        record = self._get_flagged(name)
        record.record_suspicion(now)
        if now < record.ejected_until:
            return False
        if now - record.ejected_at > EJECTION_MEMORY_SECONDS:
            record.ejections = 0
        record.ejected_at = now
        pause = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**record.ejections
        )
        record.ejections += 1
        record.ejected_until = now + pause
        record.is_probing = False
        return True

    def is_usable(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get a request."""
        record = self._records.get(name)
        if record is None:
            return True
        if record.is_ejected_by_peer(now):
            return False
        if not record.ejections:
            return True
        return record.ejected_until <= now and not record.is_probing

    def list_unusable(self, now: float) -> set[str]:
        """Return endpoints ejected, being probed or expected to refuse."""
        self._flagged = {
            name
            for name in self._flagged
            if name in self._records
            and self._records[name].has_active_findings(now)
        }
        return {
            name
            for name in self._flagged
            if not self.is_usable(name, now) or self.expects_refusal(name, now)
        }

    def record_accepted(self, names: Iterable[str], sent: float) -> None:
        """Record that endpoints run a request, which is active from now on.

        :param sent: monotonic time at which it was sent to them, in seconds
        """
        for name in names:
            record = self._get(name)
            record.accepted_at = max(record.accepted_at, sent)
            record.early_ends = 0
            record.active_streams += 1

    def record_refusal(
        self, name: str, now: float, had_capacity: bool = False
    ) -> float:
        """Record that an endpoint refused a request, or caused a refusal.

        It is full, draining or dead. A full endpoint continues its streams; a
        dead one refuses all requests until it is removed from the listing. A
        draining one continues its streams and refuses all new requests, and
        each request sent to it in vain takes a retry.

        :param had_capacity: whether its known usage is far from full
        :returns: maximum time for which it is avoided, in seconds
        """
        record = self._get_flagged(name)
        if record.has_accepted_since(record.refused_at):
            record.refusals = 0
        if not record.refusals:
            record.refusing_since = now
        record.had_capacity = had_capacity
        pause = min(
            MAX_REFUSAL_PAUSE_SECONDS,
            healthrecords.FULL_SECONDS * 2**record.refusals,
        )
        record.refusals += 1
        record.record_suspicion(now)
        record.refused_at = now
        record.refusing_until = now + pause
        return pause

    def record_release(self, name: str, now: float) -> None:
        """End the pause after a refusal, as capacity was released.

        The pause goes on at an endpoint that refuses again and again: it is
        dead or leaves, or what was released there was taken by others.

        :param now: monotonic time in seconds
        """
        record = self._records.get(name)
        if record is None or name not in self._flagged:
            return
        is_paused = record.has_just_refused(now) or record.is_refusing(now)
        if not is_paused and now >= record.peer_full_until:
            return
        if (
            record.refusals > MAX_ENDED_REFUSALS
            or record.early_ends >= MAX_EARLY_ENDS
            or record.had_capacity
            and is_paused
            or not self.is_usable(name, now)
            or record.is_refusing_peers(now)
        ):
            return
        record.peer_full_until = float('-inf')
        if is_paused:
            record.early_ends += 1
            record.released_at = now
            record.refusing_until = now

    def expects_refusal(self, name: str, now: float) -> bool:
        """Return whether an endpoint is expected to refuse requests."""
        record = self._records.get(name)
        if record is None:
            return False
        return (
            record.has_just_refused(now)
            or now < record.peer_full_until
            or record.is_refusing(now)
            or record.is_refusing_peers(now)
        )

    def receive_ejection(self, name: str, now: float) -> None:
        """Record that another entry ejects an endpoint."""
        record = self._get_flagged(name)
        if now >= record.peer_ejected_until:
            record.peer_ejected_since = now
        record.record_suspicion(now)
        record.peer_ejected_until = now + PEER_REPORT_SECONDS

    def receive_full(self, name: str, now: float, part: float) -> None:
        """Record that an endpoint refused another entry as full.

        Usage reports between dozens of entries arrive late. Without this
        report each entry would learn of it by a refusal of its own, and pay
        for a retry.

        :param part: fraction of the usual pause to keep; entries draw it at
            random, so that they do not return at the same time
        """
        record = self._get_flagged(name)
        record.peer_full_until = now + healthrecords.FULL_SECONDS * part

    def list_full(self, now: float) -> list[str]:
        """List the endpoints that just refused a request of this entry."""
        return [
            name
            for name in self._flagged
            if name in self._records
            and self._records[name].has_just_refused(now)
        ]

    def receive_refusing(self, name: str, now: float) -> None:
        """Record that an endpoint keeps refusing another entry."""
        record = self._get_flagged(name)
        if now >= record.peer_refusing_until:
            record.peer_refusing_since = now
        record.peer_refusing_until = now + PEER_REPORT_SECONDS

    def get_refusing_seconds(self, name: str, now: float) -> float:
        """Return for how long an endpoint far from full has refused requests.

        :returns: seconds, 0 if it is not known to refuse
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        if record.had_capacity and record.is_refusing(now):
            return now - record.refusing_since
        if record.is_refusing_peers(now):
            return now - record.peer_refusing_since
        return 0.0

    def list_refusing(self, now: float) -> list[str]:
        """List the endpoints far from full that keep refusing this entry."""
        return [
            name
            for name, record in self._records.items()
            if record.had_capacity and record.is_refusing(now)
        ]

    def get_suspicion_seconds(self, name: str, now: float) -> float:
        """Return for how long there were only signs of failure, in seconds."""
        record = self._records.get(name)
        if (
            record is None
            or now - record.suspected_at
            > healthrecords.SUSPICION_MEMORY_SECONDS
        ):
            return 0.0
        if record.has_progressed_since(record.suspected_since):
            return 0.0
        return now - record.suspected_since

    def has_progressed_since(self, name: str, time: float) -> bool:
        """Return whether an own stream made progress after a time."""
        return self._get(name).has_progressed_since(time)

    def record_sent(self, names: Iterable[str]) -> None:
        """Record a request sent, which probes endpoints after an ejection."""
        for name in names:
            record = self._records.get(name)
            if record is not None and record.ejections:
                record.is_probing = True

    def record_finished(
        self, names: Iterable[str], was_accepted: bool
    ) -> None:
        """End a request, so that the next one may probe its endpoints.

        :param was_accepted: whether the request was accepted
        """
        for name in names:
            record = self._records.get(name)
            if record is not None:
                record.is_probing = False
                # A record that was dropped and recreated starts at zero.
                record.active_streams = max(
                    0, record.active_streams - int(was_accepted)
                )

    def list_progress_ages(self, now: float) -> dict[str, float]:
        """Return the age of the last progress on endpoints in use.

        :returns: seconds by name, for those on which streams of this entry run
        """
        return {
            name: now - record.own_progress_at
            for name, record in self._records.items()
            if record.active_streams
        }

    def receive_progress(
        self, name: str, progress_at: float, now: float
    ) -> None:
        """Record that streams of another entry run on an endpoint.

        :param progress_at: time of their last progress, by this entry's clock
        """
        record = self._get(name)
        record.peer_progress_at = max(record.peer_progress_at, progress_at)
        record.peer_active_until = now + PEER_PROGRESS_SECONDS

    def forget(self, name: str) -> None:
        """Drop the record of an endpoint that is gone."""
        self._records.pop(name, None)

    def list_ejected(self, now: float) -> list[str]:
        """List endpoints that this entry ejected or that keep refusing it.

        Reports of other entries are excluded: if entries repeated them to each
        other, they would never expire.
        """
        return [
            name
            for name, record in self._records.items()
            if record.ejected_until > now or record.is_refusing(now)
        ]

    def list_ejected_by_peers(self, now: float) -> list[str]:
        """List the endpoints that are ejected for reports of other entries."""
        return [
            name
            for name, record in self._records.items()
            if record.is_ejected_by_peer(now)
        ]
