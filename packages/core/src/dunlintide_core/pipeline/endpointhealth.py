"""Which endpoints are believed to work, from what requests show.

A stalled chain accuses only those of its endpoints through which other
streams should flow, of this entry or of others, and do not: the intersection
names the culprit without a probe. Where it names most of the chain, nobody
is accused. An accused endpoint is left out for a time that doubles with each
failure, then one request at a time tries it, until something moves through
it again.
"""

from typing import Iterable, Sequence

from dunlintide_core.pipeline import healthrecords

__all__ = ['EndpointHealth']

# First time for which an accused endpoint is left out, in seconds; a
# restart takes some seconds, a mistake costs little with copies around.
FIRST_EJECTION_SECONDS = 1.0
# Longest such time, in seconds, so that what recovers is soon in use.
MAX_EJECTION_SECONDS = 8.0
# Failures this long ago don't count any more, in seconds.
EJECTION_MEMORY_SECONDS = 20.0
# Most endpoints that a still run accuses. Engines fail one at a time, or two
# of a group; more without progress show only that few other requests share
# the chain.
MAX_SUSPECTS = 2
# Longest time for which an endpoint that goes on refusing is left out, in
# seconds; one that died is not listed any more some seconds later.
MAX_REFUSAL_PAUSE_SECONDS = 2.4
# How long another entry's word that its streams flow through an endpoint
# counts, in seconds: a little longer than the pause between two messages.
PEER_PROGRESS_SECONDS = 0.2
# How long what another entry tells counts, in seconds: it is repeated
# while it holds, and own progress refutes it.
PEER_REPORT_SECONDS = 0.6


class EndpointHealth:
    """Belief in each endpoint of an entry."""

    def __init__(self) -> None:
        self._records: dict[str, healthrecords.HealthRecord] = {}
        # Endpoints of which something bad is known, so that a choice among
        # hundreds looks at these alone.
        self._flagged: set[str] = set()

    def _get(self, name: str) -> healthrecords.HealthRecord:
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = healthrecords.HealthRecord()
        return record

    def _get_flagged(self, name: str) -> healthrecords.HealthRecord:
        """Give the record of an endpoint of which something bad is told."""
        self._flagged.add(name)
        return self._get(name)

    def report_progress(self, names: Iterable[str], now: float) -> None:
        """Take note that work moved through endpoints."""
        for name in names:
            record = self._get(name)
            record.record_progress(now)
            if record.ejections and record.ejected_until <= now:
                record.ejections = 0
                record.is_probing = False

    def find_stalled(self, names: Iterable[str], since: float) -> list[str]:
        """List the endpoints through which nothing has moved since."""
        return [
            name for name in names if self._get(name).last_progress_at <= since
        ]

    def find_suspects(
        self, names: Sequence[str], since: float, now: float, has_events: bool
    ) -> list[str]:
        """List the endpoints that a run which stands still accuses.

        :param since: when the silence that counts began
        :param flows: whether the run has made an event
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

        Where all chains of a failure domain share an engine that dies, the
        first run that stands still names it; the others see their whole
        chain still, since it has no other use, and would name nobody.
        """
        return [
            name
            for name in names
            if name in self._records and self._records[name].is_ejected(now)
        ]

    def eject(self, name: str, now: float) -> bool:
        """Leave an endpoint out for a while.

        :returns: whether it was in use until now
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
        """Tell whether an endpoint may get a request."""
        record = self._records.get(name)
        if record is None:
            return True
        if record.is_ejected_by_peer(now):
            return False
        if not record.ejections:
            return True
        return record.ejected_until <= now and not record.is_probing

    def list_unusable(self, now: float) -> set[str]:
        """Name the endpoints that may get no request, or would refuse it."""
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
        """Take note that endpoints run a request, which flows from now on.

        :param sent: when it was sent to them
        """
        for name in names:
            record = self._get(name)
            record.accepted_at = max(record.accepted_at, sent)
            record.active_streams += 1

    def record_refusal(
        self, name: str, now: float, had_capacity: bool = False
    ) -> float:
        """Take note that an endpoint refused a request, or was blamed.

        It is full, leaves or is dead. A full one goes on with what it runs,
        a dead one refuses all there is until it is not listed any more. One
        that leaves does both, and each request sent to it in vain takes a
        second send.

        :param roomy: whether it is far from full by what is known of it
        :returns: how long it is left at most, in seconds
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

    def expects_refusal(self, name: str, now: float) -> bool:
        """Tell whether an endpoint is expected to refuse requests."""
        record = self._records.get(name)
        if record is None:
            return False
        just_refused = now < record.refused_at + healthrecords.FULL_SECONDS
        return (
            just_refused
            or now < record.peer_full_until
            or record.is_refusing(now)
            or record.is_refusing_peers(now)
        )

    def receive_ejection(self, name: str, now: float) -> None:
        """Take note that another entry leaves an endpoint out."""
        record = self._get_flagged(name)
        if now >= record.peer_ejected_until:
            record.peer_ejected_since = now
        record.record_suspicion(now)
        record.peer_ejected_until = now + PEER_REPORT_SECONDS

    def receive_full(self, name: str, now: float, part: float) -> None:
        """Take note that an endpoint refused another entry as full.

        Where dozens of entries know of each other's use late, each would
        find out by a refusal of its own, and pay for another send.

        :param part: of the usual pause that is kept; entries draw it, so
            that they do not return together
        """
        record = self._get_flagged(name)
        record.peer_full_until = now + healthrecords.FULL_SECONDS * part

    def list_full(self, now: float) -> list[str]:
        """List the endpoints that just refused a request of this entry."""
        return [
            name
            for name in self._flagged
            if name in self._records
            and now
            < self._records[name].refused_at + healthrecords.FULL_SECONDS
        ]

    def receive_refusing(self, name: str, now: float) -> None:
        """Take note that an endpoint goes on refusing another entry."""
        record = self._get_flagged(name)
        if now >= record.peer_refusing_until:
            record.peer_refusing_since = now
        record.peer_refusing_until = now + PEER_REPORT_SECONDS

    def get_refusing_seconds(self, name: str, now: float) -> float:
        """Tell for how long an endpoint far from full has taken nothing.

        :returns: seconds, 0 if it takes requests as far as is known
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
        """List the endpoints that go on refusing requests of this entry."""
        return [
            name
            for name, record in self._records.items()
            if record.had_capacity and record.is_refusing(now)
        ]

    def get_suspicion_seconds(self, name: str, now: float) -> float:
        """Tell for how long nothing but bad signs came, in seconds."""
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
        """Tell whether work moved through an endpoint after a time."""
        return self._get(name).has_progressed_since(time)

    def record_sent(self, names: Iterable[str]) -> None:
        """Take note of a request sent, a trial at what was left out."""
        for name in names:
            record = self._records.get(name)
            if record is not None and record.ejections:
                record.is_probing = True

    def record_finished(
        self, names: Iterable[str], was_accepted: bool
    ) -> None:
        """Let the next request try what this one did not settle.

        :param flowed: whether the request was accepted
        """
        for name in names:
            record = self._records.get(name)
            if record is not None:
                record.is_probing = False
                # A record that was dropped meanwhile begins at none.
                record.active_streams = max(
                    0, record.active_streams - int(was_accepted)
                )

    def list_progress_ages(self, now: float) -> dict[str, float]:
        """Tell how long ago work moved through endpoints in use.

        :returns: seconds by name, for those through which streams of this
            entry flow
        """
        return {
            name: now - record.own_progress_at
            for name, record in self._records.items()
            if record.active_streams
        }

    def receive_progress(
        self, name: str, progress_at: float, now: float
    ) -> None:
        """Take note that streams of another entry flow through an endpoint.

        :param moved: when they moved last, by this entry's clock
        """
        record = self._get(name)
        record.peer_progress_at = max(record.peer_progress_at, progress_at)
        record.peer_active_until = now + PEER_PROGRESS_SECONDS

    def forget(self, name: str) -> None:
        """Drop the record of an endpoint that is gone."""
        self._records.pop(name, None)

    def list_ejected(self, now: float) -> list[str]:
        """List the endpoints that are left out for what was seen here.

        What others told is not among them: told on, it would never end.
        """
        return [
            name
            for name, record in self._records.items()
            if record.ejected_until > now or record.is_refusing(now)
        ]

    def list_ejected_by_peers(self, now: float) -> list[str]:
        """List the endpoints that are left out for what others tell."""
        return [
            name
            for name, record in self._records.items()
            if record.is_ejected_by_peer(now)
        ]
