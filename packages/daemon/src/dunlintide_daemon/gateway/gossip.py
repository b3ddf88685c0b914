"""Gossip between entries, by datagrams.

Each message holds its sender's complete usage, so the next one makes up for
a lost one. Digests of endpoints that are unknown here are ignored.
"""

import asyncio
from typing import Callable, Container

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import configurationsources
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import occupancy
from dunlintide_daemon.gateway import demandcodec
from dunlintide_daemon.gateway import demandnotices
from dunlintide_daemon.gateway import departurenotices
from dunlintide_daemon.gateway import gossipmessages
from dunlintide_daemon.gateway import permitcodec
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions
from dunlintide_platform import keys

__all__ = ['Gossip']

# Time between two messages to an entry of the same failure domain, in seconds:
# about a tenth of the duration of a stream.
INTERVAL_SECONDS = 0.15
# Entries of other failure domains seldom use the same endpoints, and traffic
# between domains is expensive. With up to about this many other entries every
# third message goes to other domains, with twice as many every sixth, and so
# on.
ENTRIES_PER_STEP = 6
# Shortest time between two alerts, in seconds. The regular interval is too
# long: within it each entry sends a request to a dead endpoint, and each
# failure uses the shared retry budget.
ALERT_INTERVAL_SECONDS = 0.03
# Number of other entries up to which alerts go to all of them. Traffic grows
# with the square of the number, but with few entries a failure domain has
# hardly a second one to alert.
MAX_ALERTED_ENTRIES = 32
# How long a leaving or removed endpoint or a broken run is reported, in
# seconds.
REPEAT_SECONDS = 3.0
# How long a refusal is reported, in seconds: no caller is asked to return
# sooner, and at most two of three messages are lost.
REFUSAL_REPEAT_SECONDS = 0.5
# How long after its shutdown period an entry that is no longer listed may
# still coordinate rate limits, in seconds.
DEPARTED_GRACE_SECONDS = 2.0
# Range of the random factor on the pause that entries make when an engine
# refused a request of another entry because it was full.
FULL_PAUSE_JITTER = (0.5, 1.5)


class Gossip(asyncio.DatagramProtocol):
    """Sender and receiver of an entry's datagrams.

    :ivar entries: other listed entries by name
    :ivar receive_permit: called with datagrams about permits and the address
        of their sender
    :ivar demand: sender and receiver of notices of demand
    :ivar sources: versions of the configuration at the other entries
    :ivar newer_entry_found: set when an entry has a newer configuration
    """

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._transport: asyncio.DatagramTransport | None = None
        self.entries: dict[str, keys.Entry] = {}
        self._departed: dict[str, tuple[float, keys.Entry]] = {}
        self.receive_permit: Callable[[bytes, str], None] | None = None
        self._names: dict[int, str] = {}
        self._names_version: int | None = None
        self.sources = configurationsources.ConfigurationSources(
            state.settings.failure_domain, state.random
        )
        self.newer_entry_found = asyncio.Event()
        self.demand = demandnotices.DemandNotices(
            state, self.entries, self.send, self.send_usage
        )
        state.offer_capacity = self.demand.offer_capacity

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def error_received(self, error: Exception) -> None:
        self._state.log.write('gossip failed', error=str(error))

    def set_entry(self, entry: keys.Entry) -> None:
        """Add or update an entry that is listed."""
        if entry.name == self._state.settings.name:
            return
        self.entries[entry.name] = entry
        self._state.add_listed_entry(entry.name, entry.domain)
        self._state.permits.add_member(entry.name)
        self._departed.pop(entry.name, None)
        self._state.demand.set_listed(len(self.entries))
        if self._transport and self._state.part_suspicions.is_refusing:
            # It may have started just now, and serves at once.
            self._send_to(entry, gossipmessages.encode(self._build()))

    def drop_entry(self, name: str) -> None:
        """Remove an entry that is no longer listed.

        It may still coordinate rate limits while it finishes its work.
        """
        entry = self.entries.pop(name, None)
        if entry is not None:
            last = self._state.now + self._state.settings.grace
            self._departed[name] = (last + DEPARTED_GRACE_SECONDS, entry)
        self.sources.forget(name)
        self._state.shared_reading.drop(name)
        self._state.drop_listed_entry(name)
        self._state.occupancy.drop_remote(name)
        self._state.demand.set_listed(len(self.entries))
        self.demand.drop(name)

    async def run(self) -> None:
        """Send messages to the other entries until cancelled."""
        rounds = 0
        while True:
            await self._wait(INTERVAL_SECONDS)
            has_expired = self._state.occupancy.expire(self._state.now)
            if self._state.demand.expire(self._state.now) or has_expired:
                self._state.wake_all()
            self._expire_departed()
            suspicions.reevaluate(self._state)
            rounds += 1
            if self.entries:
                domains = {self._state.settings.failure_domain}
                if rounds % self._choose_cross_domain_interval() == 0:
                    domains = self._list_domains()
                self._broadcast(self._build(), domains)

    def _expire_departed(self) -> None:
        now = self._state.now
        for name, (last, _) in list(self._departed.items()):
            if now >= last:
                del self._departed[name]
                self._state.permits.remove_member(name)

    def send(self, name: str, data: bytes) -> None:
        """Send a datagram to an entry, even if it is no longer listed."""
        entry = self.entries.get(name)
        if entry is None and name in self._departed:
            entry = self._departed[name][1]
        if entry is not None:
            self._send_to(entry, data)

    def send_usage(self, name: str) -> None:
        """Send the use of endpoints to a listed entry at once."""
        self.send(name, gossipmessages.encode(self._build()))

    def _send_to(self, entry: keys.Entry, data: bytes) -> None:
        host, _, port = entry.gossip.rpartition(':')
        self._transport.sendto(data, (host, int(port)))

    async def _wait(self, seconds: float) -> None:
        """Wait for the next regular message, sending alerts meanwhile."""
        alert_pending = self._state.alert_pending
        due = self._state.now + seconds
        while (left := due - self._state.now) > 0:
            try:
                async with asyncio.timeout(left):
                    await alert_pending.wait()
            except TimeoutError:
                return
            alert_pending.clear()
            self._broadcast(*self._build_alert())
            await asyncio.sleep(ALERT_INTERVAL_SECONDS)

    def _build_alert(self) -> tuple[gossipmessages.Message, set[str]]:
        """Build a message with only ejections, refusals and paces.

        :returns: the message and the failure domains to send it to; with many
            entries only this one, to save traffic between domains, unless it
            concerns an endpoint of another domain
        """
        state = self._state
        ejected = state.health.list_ejected(state.now)
        refusing = state.health.list_refusing(state.now)
        full = state.health.list_full(state.now)
        message = gossipmessages.Message(
            state.settings.name,
            state.version,
            None,
            [],
            list(map(gossipmessages.digest, ejected)),
            [],
            [],
            list(map(gossipmessages.digest, refusing)),
            full=list(map(gossipmessages.digest, full)),
            paces=self._list_paces(),
        )
        own = state.settings.failure_domain
        if state.suspicions_pending:
            # A request with such a part may come to any entry next.
            state.suspicions_pending = False
            news = suspicions.list_news(state)
            message = gossipmessages.add_suspicions(message, news)
            return self._add_reading(message), self._list_domains()
        message = self._add_reading(message)
        if len(self.entries) <= MAX_ALERTED_ENTRIES:
            return message, self._list_domains()
        for name in (*ejected, *refusing, *full):
            endpoint = state.endpoints.get(name)
            if endpoint is not None and endpoint.domain != own:
                return message, self._list_domains()
        return message, {own}

    def _list_domains(self) -> set[str]:
        return {each.domain for each in self.entries.values()}

    def _choose_cross_domain_interval(self) -> int:
        """Return every how many messages one also goes to other domains."""
        return 3 * max(1, round(len(self.entries) / ENTRIES_PER_STEP))

    def _build(self) -> gossipmessages.Message:
        state = self._state
        now = state.now
        since = now - REPEAT_SECONDS
        departures = state.departures
        message = gossipmessages.Message(
            state.settings.name,
            state.version,
            [
                (
                    gossipmessages.digest(name),
                    usage.sequences,
                    usage.started,
                    usage.cache // gossipmessages.CACHE_UNIT,
                )
                for name, usage in state.occupancy.list_own().items()
            ],
            list(map(gossipmessages.digest, departures.list_leaving(since))),
            list(map(gossipmessages.digest, state.health.list_ejected(now))),
            state.poison_requests.list_recent(since),
            state.refusal_history.list_recent(now - REFUSAL_REPEAT_SECONDS),
            list(map(gossipmessages.digest, state.health.list_refusing(now))),
            self._list_ages(),
            paces=self._list_paces(),
        )
        removed = map(gossipmessages.digest, departures.list_removed(since))
        message = gossipmessages.add_removals(message, list(removed))
        news = suspicions.list_news(state)
        message = gossipmessages.add_suspicions(message, news)
        return self._add_reading(message)

    def _add_reading(
        self, message: gossipmessages.Message
    ) -> gossipmessages.Message:
        """Return a message with what was read of the store, if shared."""
        state = self._state
        if not (state.shares_reading and state.has_listing):
            return message
        age = max(0.0, state.now - state.listing_read_at)
        return gossipmessages.add_reading(message, state.reading_digest, age)

    def _list_paces(self) -> list[tuple[int, int]]:
        measured = self._state.paces.list_own(self._state.now)
        return [
            (
                gossipmessages.digest(name),
                round(pace / gossipmessages.PACE_UNIT),
            )
            for name, pace in measured.items()
        ]

    def _list_ages(self) -> list[int]:
        progress = self._state.health.list_progress_ages(self._state.now)
        longest = gossipmessages.LONGEST_AGE * gossipmessages.AGE_UNIT
        return [
            int(
                min(progress.get(name, longest), longest)
                / gossipmessages.AGE_UNIT
            )
            for name in self._state.occupancy.list_own()
        ]

    def _broadcast(
        self, message: gossipmessages.Message, domains: Container[str]
    ) -> None:
        """Send a message, and rate limits if there are any.

        :param domains: failure domains of the entries to send to
        """
        sent = [gossipmessages.encode(message)]
        update = self._state.permits.make_update(self._state.now)
        if update is not None:
            sent.append(permitcodec.encode(update))
        for entry in self.entries.values():
            if entry.domain in domains:
                for data in sent:
                    self._send_to(entry, data)

    def _get_names(self) -> dict[int, str]:
        """Return the names by digest, rebuilt when the listing changes."""
        version = self._state.listing_version
        if version != self._names_version:
            self._names = self._build_digests()
            self._names_version = version
        return self._names

    def _build_digests(self) -> dict[int, str]:
        state = self._state
        names = {gossipmessages.digest(name): name for name in state.endpoints}
        domains = sorted({each.domain for each in state.endpoints.values()})
        for index, one in enumerate(domains):
            for other in domains[index + 1 :]:
                pipe = chains.name_pipe(one, other)
                names[gossipmessages.digest(pipe)] = pipe
        return names

    def datagram_received(self, data: bytes, address: tuple) -> None:
        if data.startswith(permitcodec.MARK):
            if self.receive_permit is not None:
                self.receive_permit(data, address[0])
            return
        if data.startswith(demandcodec.MARK):
            self.demand.receive(data, address[0])
            return
        decoded = gossipmessages.decode(data)
        if decoded.is_err():
            self._state.counters.refused_items.labels('message').inc()
            self._state.log.write(
                'gossip refused', error=decoded.err_value, source=address[0]
            )
            return
        self._apply(decoded.ok_value)

    def _apply(self, message: gossipmessages.MessageWithReading) -> None:
        state = self._state
        now = state.now
        names = self._get_names()
        state.permits.liveness.record_received(message.sender, now)
        for digest in message.leaving:
            if digest in names:
                state.mark_leaving(names[digest], message.sender)
        removed = [names[each] for each in message.removed if each in names]
        removed = [name for name in removed if name in state.endpoints]
        departurenotices.receive_removals(state, removed, message.sender)
        if state.has(mechanisms.Mechanism.HEARSAY):
            for digest in message.ejected:
                if digest in names:
                    state.health.receive_ejection(names[digest], now)
        if state.has(mechanisms.Mechanism.TOLD_REFUSALS):
            for digest in message.refusing:
                if digest in names:
                    state.health.receive_refusing(names[digest], now)
            for digest in message.full:
                if digest in names:
                    factor = state.random.uniform(*FULL_PAUSE_JITTER)
                    state.health.receive_full(names[digest], now, factor)
        for digest, pace in message.paces:
            if digest in names:
                state.paces.receive(
                    names[digest], pace * gossipmessages.PACE_UNIT, now
                )
        for fingerprint, endpoint in message.broken:
            state.poison_requests.receive_broken_run(
                fingerprint, endpoint, now
            )
        suspicions.receive_news(state, message.suspicions, message.sender)
        for digest in message.refused:
            state.refusal_history.receive_refusal(digest, now)
        if message.usages is not None:
            usages = {
                names[digest]: occupancy.Usage(
                    sequences, started, cache * gossipmessages.CACHE_UNIT
                )
                for digest, sequences, started, cache in message.usages
                if digest in names
            }
            self._apply_progress(message, names, now)
            # Waiters are woken only if capacity was freed: with dozens of
            # entries messages come every few milliseconds.
            released = state.occupancy.set_remote(message.sender, usages, now)
            if released:
                state.record_released(released)
                state.wake_all()
        self._apply_version(message)
        self._apply_reading(message, now)

    def _apply_reading(
        self, message: gossipmessages.MessageWithReading, now: float
    ) -> None:
        """Record what an entry of this failure domain has read."""
        state = self._state
        entry = self.entries.get(message.sender)
        if message.reading is None or entry is None:
            return
        if entry.domain == state.settings.failure_domain:
            digest, age = message.reading
            read_at = now - age * gossipmessages.AGE_UNIT
            state.shared_reading.receive(entry.name, digest, read_at, now)

    def _apply_version(self, message: gossipmessages.Message) -> None:
        """Record which version of the configuration another entry has."""
        state = self._state
        state.newest_told_version = max(
            state.newest_told_version, message.version
        )
        entry = self.entries.get(message.sender)
        if entry is None:
            return
        self.sources.record(entry.name, entry.domain, message.version)
        if message.version > state.version:
            self.newer_entry_found.set()

    def _apply_progress(
        self,
        message: gossipmessages.Message,
        names: dict[int, str],
        now: float,
    ) -> None:
        """Record at which endpoints streams of another entry progress."""
        health = self._state.health
        for (digest, *_), age in zip(message.usages, message.ages):
            if age < gossipmessages.LONGEST_AGE and digest in names:
                progress_at = now - age * gossipmessages.AGE_UNIT
                health.receive_progress(names[digest], progress_at, now)
