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

__all__ = ['Soundness']

# First time for which an accused endpoint is left out, in seconds; a
# restart takes some seconds, a mistake costs little with copies around.
FIRST_BAN = 1.0
# Longest such time, in seconds, so that what recovers is soon in use.
LONGEST_BAN = 8.0
# Failures this long ago don't count any more, in seconds.
FORGET = 20.0
# Most endpoints that a still run accuses. Engines fail one at a time, or two
# of a group; more without progress show only that few other requests share
# the chain.
MAX_SUSPECTS = 2
# Longest time for which an endpoint that goes on refusing is left out, in
# seconds; one that died is not listed any more some seconds later.
LONGEST_REFUSING = 2.4
# How long another entry's word that its streams flow through an endpoint
# counts, in seconds: a little longer than the pause between two messages.
FLOW_NEWS = 0.2
# How long what another entry tells counts, in seconds: it is repeated
# while it holds, and own progress refutes it.
HEARSAY = 0.6


class Soundness:
    """Belief in each endpoint of an entry."""

    def __init__(self) -> None:
        self._records: dict[str, healthrecords.Record] = {}
        # Endpoints of which something bad is known, so that a choice among
        # hundreds looks at these alone.
        self._troubled: set[str] = set()

    def _get(self, name: str) -> healthrecords.Record:
        record = self._records.get(name)
        if record is None:
            record = self._records[name] = healthrecords.Record()
        return record

    def _get_troubled(self, name: str) -> healthrecords.Record:
        """Give the record of an endpoint of which something bad is told."""
        self._troubled.add(name)
        return self._get(name)

    def report_progress(self, names: Iterable[str], now: float) -> None:
        """Take note that work moved through endpoints."""
        for name in names:
            record = self._get(name)
            record.move(now)
            if record.failures and record.banned_until <= now:
                record.failures = 0
                record.trial = False

    def find_still(self, names: Iterable[str], since: float) -> list[str]:
        """List the endpoints through which nothing has moved since."""
        return [name for name in names if self._get(name).last_move <= since]

    def find_suspects(
        self, names: Sequence[str], since: float, now: float, flows: bool
    ) -> list[str]:
        """List the endpoints that a run which stands still accuses.

        :param since: when the silence that counts began
        :param flows: whether the run has made an event
        """
        suspects = []
        for name in self.find_still(names, since):
            record = self._get(name)
            if record.is_quiet(now, record.flowing - int(flows)):
                suspects.append(name)
        if len(suspects) > MAX_SUSPECTS or len(suspects) == len(names):
            return []
        return suspects

    def find_left_out(self, names: Iterable[str], now: float) -> list[str]:
        """List the endpoints that other runs have just shown to fail.

        Where all chains of a failure domain share an engine that dies, the
        first run that stands still names it; the others see their whole
        chain still, since it has no other use, and would name nobody.
        """
        return [
            name
            for name in names
            if name in self._records and self._records[name].is_left_out(now)
        ]

    def accuse(self, name: str, now: float) -> bool:
        """Leave an endpoint out for a while.

        :returns: whether it was in use until now
        """
        record = self._get_troubled(name)
        record.doubt(now)
        if now < record.banned_until:
            return False
        if now - record.accused > FORGET:
            record.failures = 0
        record.accused = now
        pause = min(LONGEST_BAN, FIRST_BAN * 2**record.failures)
        record.failures += 1
        record.banned_until = now + pause
        record.trial = False
        return True

    def is_open(self, name: str, now: float) -> bool:
        """Tell whether an endpoint may get a request."""
        record = self._records.get(name)
        if record is None:
            return True
        if record.is_told_off(now):
            return False
        if not record.failures:
            return True
        return record.banned_until <= now and not record.trial

    def list_unusable(self, now: float) -> set[str]:
        """Name the endpoints that may get no request, or would refuse it."""
        self._troubled = {
            name
            for name in self._troubled
            if name in self._records and self._records[name].is_troubled(now)
        }
        return {
            name
            for name in self._troubled
            if not self.is_open(name, now) or self.is_full(name, now)
        }

    def accept(self, names: Iterable[str], sent: float) -> None:
        """Take note that endpoints run a request, which flows from now on.

        :param sent: when it was sent to them
        """
        for name in names:
            record = self._get(name)
            record.accepted = max(record.accepted, sent)
            record.flowing += 1

    def refuse(self, name: str, now: float, roomy: bool = False) -> float:
        """Take note that an endpoint refused a request, or was blamed.

        It is full, leaves or is dead. A full one goes on with what it runs,
        a dead one refuses all there is until it is not listed any more. One
        that leaves does both, and each request sent to it in vain takes a
        second send.

        :param roomy: whether it is far from full by what is known of it
        :returns: how long it is left at most, in seconds
        """
        record = self._get_troubled(name)
        if record.took_since(record.refused):
            record.refusals = 0
        if not record.refusals:
            record.refusing_since = now
        record.roomy = roomy
        pause = min(LONGEST_REFUSING, healthrecords.FULL * 2**record.refusals)
        record.refusals += 1
        record.doubt(now)
        record.refused = now
        record.refusing_until = now + pause
        return pause

    def is_full(self, name: str, now: float) -> bool:
        """Tell whether an endpoint is expected to refuse requests."""
        record = self._records.get(name)
        if record is None:
            return False
        just_refused = now < record.refused + healthrecords.FULL
        return (
            just_refused
            or now < record.told_full_until
            or record.goes_on_refusing(now)
            or record.is_told_refusing(now)
        )

    def hear(self, name: str, now: float) -> None:
        """Take note that another entry leaves an endpoint out."""
        record = self._get_troubled(name)
        if now >= record.heard_until:
            record.heard_since = now
        record.doubt(now)
        record.heard_until = now + HEARSAY

    def hear_full(self, name: str, now: float, part: float) -> None:
        """Take note that an endpoint refused another entry as full.

        Where dozens of entries know of each other's use late, each would
        find out by a refusal of its own, and pay for another send.

        :param part: of the usual pause that is kept; entries draw it, so
            that they do not return together
        """
        record = self._get_troubled(name)
        record.told_full_until = now + healthrecords.FULL * part

    def list_full(self, now: float) -> list[str]:
        """List the endpoints that just refused a request of this entry."""
        return [
            name
            for name in self._troubled
            if name in self._records
            and now < self._records[name].refused + healthrecords.FULL
        ]

    def hear_refusal(self, name: str, now: float) -> None:
        """Take note that an endpoint goes on refusing another entry."""
        record = self._get_troubled(name)
        if now >= record.told_refusing_until:
            record.told_refusing = now
        record.told_refusing_until = now + HEARSAY

    def measure_refusing(self, name: str, now: float) -> float:
        """Tell for how long an endpoint far from full has taken nothing.

        :returns: seconds, 0 if it takes requests as far as is known
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        if record.roomy and record.goes_on_refusing(now):
            return now - record.refusing_since
        if record.is_told_refusing(now):
            return now - record.told_refusing
        return 0.0

    def list_refusing(self, now: float) -> list[str]:
        """List the endpoints that go on refusing requests of this entry."""
        return [
            name
            for name, record in self._records.items()
            if record.roomy and record.goes_on_refusing(now)
        ]

    def measure_doubt(self, name: str, now: float) -> float:
        """Tell for how long nothing but bad signs came, in seconds."""
        record = self._records.get(name)
        if record is None or now - record.doubted > healthrecords.FORGET_DOUBT:
            return 0.0
        if record.has_moved_since(record.doubted_since):
            return 0.0
        return now - record.doubted_since

    def has_moved_since(self, name: str, time: float) -> bool:
        """Tell whether work moved through an endpoint after a time."""
        return self._get(name).has_moved_since(time)

    def begin(self, names: Iterable[str]) -> None:
        """Take note of a request sent, a trial at what was left out."""
        for name in names:
            record = self._records.get(name)
            if record is not None and record.failures:
                record.trial = True

    def end(self, names: Iterable[str], flowed: bool) -> None:
        """Let the next request try what this one did not settle.

        :param flowed: whether the request was accepted
        """
        for name in names:
            record = self._records.get(name)
            if record is not None:
                record.trial = False
                # A record that was dropped meanwhile begins at none.
                record.flowing = max(0, record.flowing - int(flowed))

    def list_flows(self, now: float) -> dict[str, float]:
        """Tell how long ago work moved through endpoints in use.

        :returns: seconds by name, for those through which streams of this
            entry flow
        """
        return {
            name: now - record.progress
            for name, record in self._records.items()
            if record.flowing
        }

    def hear_flow(self, name: str, moved: float, now: float) -> None:
        """Take note that streams of another entry flow through an endpoint.

        :param moved: when they moved last, by this entry's clock
        """
        record = self._get(name)
        record.told_progress = max(record.told_progress, moved)
        record.told_flowing_until = now + FLOW_NEWS

    def forget(self, name: str) -> None:
        """Drop the record of an endpoint that is gone."""
        self._records.pop(name, None)

    def list_doubted(self, now: float) -> list[str]:
        """List the endpoints that are left out for what was seen here.

        What others told is not among them: told on, it would never end.
        """
        return [
            name
            for name, record in self._records.items()
            if record.banned_until > now or record.goes_on_refusing(now)
        ]

    def list_heard(self, now: float) -> list[str]:
        """List the endpoints that are left out for what others tell."""
        return [
            name
            for name, record in self._records.items()
            if record.is_told_off(now)
        ]
