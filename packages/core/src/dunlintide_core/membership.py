"""Membership of the fleet as seen by one process."""

import math

import attrs

from dunlintide_core import buckets
from dunlintide_core import fleet
from dunlintide_core import records
from dunlintide_core import suspicion

__all__ = ['HOST_LIST', 'View']

HOST_LIST = 'host-list'
_MAX_DELTA_RECORDS = 10
# Sends of each change per doubling of the fleet.
_SENDS_PER_LOG2 = 2


def _get_shown_fields(record: records.Record) -> tuple[object, ...]:
    """Return the fields of a record that users of the view depend on."""
    return record.peer, record.state, record.witnesses


class View:
    """Membership view of one process.

    :ivar name: name of this process
    :ivar generation: incremented when the state of a process changes
    :ivar population: incremented when a process joins or is declared dead
    :ivar changes: incremented when the description, state or witnesses of
        a process change
    :ivar refutations: number of suspicions of itself that this process
        has refuted
    :ivar deaths: number of processes that this process declared dead
    """

    def __init__(
        self,
        me: fleet.Peer,
        timing: suspicion.Timing = suspicion.Timing(),
    ) -> None:
        self.name = me.name
        self.generation = 0
        self.population = 0
        self.changes = 0
        self.refutations = 0
        self.deaths = 0
        self._timing = timing
        self._records: dict[str, records.Record] = {}
        self._state_since: dict[str, float] = {}
        self._sends: dict[str, int] = {}
        self._suspect_timers: dict[str, tuple[float, float]] = {}
        self._suspects: set[str] = set()
        self._tombstones: set[str] = set()
        self._buckets = buckets.Buckets()
        self._listed_names: set[str] = set()
        self._store(0.0, records.Record(me))

    @property
    def own_record(self) -> records.Record:
        """Record of this process."""
        return self._records[self.name]

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """Hash of the records in each bucket, by bucket index."""
        return self._buckets.hashes

    @property
    def hash(self) -> int:
        """Hash of all records; equal views have equal hashes."""
        return self._buckets.hash

    def get(self, name: str) -> records.Record | None:
        """Return the record of a process."""
        return self._records.get(name)

    def list_records(self) -> list[records.Record]:
        """Return all records, including tombstones."""
        return list(self._records.values())

    def list_present(self) -> list[records.Record]:
        """Return the records of all processes that are not dead."""
        return [each for each in self._records.values() if not each.dead]

    def list_usable(self) -> list[fleet.Peer]:
        """Return the processes that may receive new requests."""
        return [
            each.peer
            for each in self._records.values()
            if each.state is records.State.ALIVE
        ]

    def _store(self, now: float, record: records.Record) -> None:
        name = record.peer.name
        old = self._records.get(name)
        self._buckets.replace(old, record)
        self._records[name] = record
        if old is None or _get_shown_fields(old) != _get_shown_fields(record):
            self.changes += 1
        witness_count = len(old.witnesses) if old is not None else 0
        if old is None or old.state is not record.state:
            self.generation += 1
            self._state_since[name] = now
            if old is None or old.dead != record.dead:
                self.population += 1
        elif (
            witness_count < suspicion.NEEDED_WITNESSES <= len(record.witnesses)
        ):
            self._state_since[name] = now
        self._track(name, record)
        self._sends[name] = 0

    def _track(self, name: str, record: records.Record) -> None:
        self._suspects.discard(name)
        self._tombstones.discard(name)
        if record.dead:
            self._tombstones.add(name)
        elif record.witnesses:
            self._suspects.add(name)
            return
        self._suspect_timers.pop(name, None)

    def merge(self, now: float, record: records.Record) -> bool:
        """Merge a record from a peer into the view.

        :param now: seconds
        :returns: whether the view changed
        """
        name = record.peer.name
        if name == self.name:
            return self._refute(now, record)
        old = self._records.get(name)
        if old is None:
            # A shortened record has no address to connect to. The next
            # reconciliation fetches the complete one.
            if record.peer.address and not record.dead:
                self._store(now, record)
                return True
            return False
        joined = records.join(old, record)
        if joined == old:
            return False
        if not joined.peer.address:
            return False
        self._store(now, joined)
        return True

    def _refute(self, now: float, record: records.Record) -> bool:
        mine = self.own_record
        if record.peer.incarnation != mine.peer.incarnation:
            return False
        contested = record.dead or record.witnesses
        if contested and record.version >= mine.version:
            self.refutations += 1
            self._store(now, attrs.evolve(mine, version=record.version + 1))
            return True
        return False

    def announce_leaving(self, now: float) -> None:
        """Announce that this process leaves the fleet."""
        mine = self.own_record
        peer = attrs.evolve(mine.peer, leaving=True)
        self._store(now, records.Record(peer, mine.version + 1))

    def update_endpoint(self, now: float, endpoint: fleet.Endpoint) -> None:
        """Announce a changed endpoint of this process."""
        mine = self.own_record
        if mine.peer.endpoint == endpoint:
            return
        peer = attrs.evolve(
            mine.peer, endpoint=endpoint, edition=mine.peer.edition + 1
        )
        self._store(now, records.Record(peer, mine.version + 1))

    def report_unreachable(self, now: float, name: str, domain: str) -> None:
        """Add this process as a witness that a process is unreachable.

        Has no effect once there are enough witnesses, unless this process
        adds a failure domain that is still needed.

        :param name: process that does not answer
        :param domain: failure domain of this process
        """
        record = self._records.get(name)
        if record is None or record.dead or name == self.name:
            return
        known = self._list_witness_domains(record)
        if self.name in record.witnesses:
            return
        if len(record.witnesses) >= suspicion.NEEDED_WITNESSES:
            if domain in known or len(known) >= suspicion.NEEDED_WITNESSES:
                return
        self._add_witness(now, record, self.name)

    def _add_witness(
        self, now: float, record: records.Record, name: str
    ) -> None:
        witness = attrs.evolve(record, witnesses=(name,))
        self.merge(now, witness)

    def _list_witness_domains(self, record: records.Record) -> set[str]:
        domains = set()
        for name in record.witnesses:
            witness = self._records.get(name)
            domains.add(witness.peer.failure_domain if witness else name)
        return domains

    def merge_host_list(self, now: float, live: set[str]) -> None:
        """Use the host list as a further witness against suspects.

        The list lags behind starts and stops, so it counts only against a
        process that a peer already suspects and that was listed before.

        :param live: names in the list, including leaving processes
        """
        for name in sorted(self._suspects):
            if name in self._listed_names and name not in live:
                self._add_witness(now, self._records[name], HOST_LIST)
        self._listed_names = self._listed_names & self._records.keys() | live

    def _is_due(self, now: float, name: str, timeout: float) -> bool:
        # A shorter timeout applies once an outage ends. The suspicion
        # starts again then, since it may have lasted longer than the new
        # timeout already and the process may be about to return.
        previous_timeout, start = self._suspect_timers.get(
            name, (0.0, self._state_since[name])
        )
        if timeout < previous_timeout:
            start = now
        self._suspect_timers[name] = (timeout, start)
        return now - start >= timeout

    def expire_suspects(self, now: float) -> list[str]:
        """Declare timed-out suspects dead and drop expired tombstones.

        :param now: seconds
        :return: names of the processes declared dead
        """
        dead = []
        if self._suspects:
            counts = suspicion.count_suspects(self.list_present())
        for name in sorted(self._suspects):
            record = self._records[name]
            if len(record.witnesses) < suspicion.NEEDED_WITNESSES:
                continue
            timeout = suspicion.get_timeout(
                record.peer.failure_domain,
                len(self._list_witness_domains(record)),
                counts,
                self._timing,
            )
            if self._is_due(now, name, timeout):
                dead.append(name)
        for name in dead:
            record = self._records[name]
            self._store(now, attrs.evolve(record, dead=True))
        self.deaths += len(dead)
        self._expire_tombstones(now)
        return dead

    def _expire_tombstones(self, now: float) -> None:
        limit = now - self._timing.tombstone
        old = [n for n in self._tombstones if self._state_since[n] <= limit]
        for name in old:
            self._tombstones.discard(name)
            self._buckets.remove(name)
            for table in (self._records, self._state_since, self._sends):
                table.pop(name, None)

    def take_deltas(
        self, limit: int = _MAX_DELTA_RECORDS
    ) -> list[records.Record]:
        """Return recent changes to send to a peer, least sent first.

        Each change is sent a number of times proportional to the logarithm
        of the fleet's size and then dropped. Reconciliation by hash
        delivers it to processes that it did not reach.

        :param limit: maximum number of records
        """
        max_sends = _SENDS_PER_LOG2 * math.ceil(
            math.log2(len(self._records) + 1)
        )
        names = sorted(self._sends, key=self._sends.__getitem__)[:limit]
        for name in names:
            self._sends[name] += 1
        deltas = [self._records[name] for name in names]
        for name in names:
            if self._sends[name] >= max_sends:
                del self._sends[name]
        return deltas

    def list_bucket(self, index: int) -> list[records.Record]:
        """Return the records of one bucket, including tombstones."""
        return [self._records[name] for name in self._buckets.names(index)]
