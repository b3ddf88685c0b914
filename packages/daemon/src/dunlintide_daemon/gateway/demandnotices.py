"""Notices between entries about who waits for capacity, by datagrams.

Each notice holds its sender's complete demand, so the next one makes up for a
lost one. While nothing waits at any entry, nothing is sent.
"""

import asyncio
import collections
from typing import Callable, Mapping

from dunlintide_core.pipeline import byteallowance
from dunlintide_core.pipeline import demandrows
from dunlintide_daemon.gateway import demandcodec
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys

__all__ = ['DemandNotices']

# Time between two notices while requests wait, in seconds.
INTERVAL_SECONDS = 0.1
# Number of entries that each notice is sent to.
ENTRIES_PER_NOTICE = 6
# Time of a round over ``ROUND_ENTRIES`` others, in seconds; less than the time
# for which rows are valid.
ROUND_SECONDS = 0.45
ROUND_ENTRIES = 27
# Shortest time between two notices, in seconds, when requests begin or stop to
# wait.
MIN_INTERVAL_SECONDS = 0.03
# Time for which notices are sent after the last received one with waiting
# requests, in seconds, so that entries where nothing waits send theirs too.
PRESSED_SECONDS = 1.0
# Maximum rate in bytes per second, and maximum burst in bytes.
BYTES_PER_SECOND = 5000
SAVED_BYTES = 5000
# Length of the IP and UDP headers of a datagram, in bytes.
HEADER_BYTES = 28
# Approximate length of the fields before the rows, and of a row with a team,
# in bytes.
FIELDS_BYTES = 30
ROW_BYTES = 12
# Minimum of the limit on rows, even if a round takes longer then.
MIN_ROWS = 4
# Time for which a sequence number that is not newer than the last one is
# ignored, in seconds. A sender that restarted begins again at 1.
SEQUENCE_SECONDS = 2.0
# Shortest time between two offers of capacity to one entry, in seconds.
OFFER_INTERVAL_SECONDS = 0.01


class DemandNotices:
    """Sender and receiver of an entry's notices of demand."""

    def __init__(
        self,
        state: state_module.State,
        entries: Mapping[str, keys.Entry],
        send: Callable[[str, bytes], None],
        send_usage: Callable[[str], None],
    ) -> None:
        """Create a sender.

        :param entries: other listed entries by name, kept up to date
        :param send: sends a datagram to an entry
        :param send_usage: sends the use of endpoints to an entry
        """
        self._state = state
        self._entries = entries
        self._send = send
        self._send_usage = send_usage
        self._allowance = byteallowance.ByteAllowance(
            BYTES_PER_SECOND, SAVED_BYTES
        )
        self._sequence = 0
        # Entries that have had no notice in the current round.
        self._pending: collections.deque[str] = collections.deque()
        # Last sequence number of each entry and the time of its receipt.
        self._received: dict[str, tuple[int, float]] = {}
        self._offered_at: dict[str, float] = {}
        # Time of the last received notice with waiting requests.
        self._demand_received_at: float | None = None

    async def run(self) -> None:
        """Send notices while requests wait, until cancelled."""
        changed = self._state.demand_changed
        while True:
            while changed.is_set() or self._is_pressed():
                changed.clear()
                self.send_notices()
                await asyncio.sleep(MIN_INTERVAL_SECONDS)
                try:
                    left = INTERVAL_SECONDS - MIN_INTERVAL_SECONDS
                    async with asyncio.timeout(left):
                        await changed.wait()
                except TimeoutError:
                    continue
            await changed.wait()

    def _is_pressed(self) -> bool:
        if self._state.demand.has_waiting:
            return True
        received_at = self._demand_received_at
        if received_at is None:
            return False
        return self._state.now - received_at <= PRESSED_SECONDS

    def send_notices(self) -> None:
        """Send the demand of this entry to the next few others.

        Entries beyond the byte allowance are the first ones of the next call.
        """
        state = self._state
        if not self._entries or not state.may_share:
            return
        now = state.now
        rows = state.demand.list_rows(now, self._choose_row_limit())
        self._sequence += 1
        notice = demandcodec.Notice(state.settings.name, self._sequence, rows)
        data = demandcodec.encode(notice)
        for _ in range(min(ENTRIES_PER_NOTICE, len(self._entries))):
            if not self._allowance.spend(len(data) + HEADER_BYTES, now):
                return
            self._send(self._choose_next(), data)
            state.counters.demand_notices.labels('sent').inc()

    def _choose_row_limit(self) -> int:
        """Return for how many rows a round keeps within its time."""
        others = min(len(self._entries), ROUND_ENTRIES)
        share = BYTES_PER_SECOND * ROUND_SECONDS / others
        fitting = (share - HEADER_BYTES - FIELDS_BYTES) / ROW_BYTES
        return max(MIN_ROWS, int(fitting))

    def _choose_next(self) -> str:
        """Return the next entry of the round, beginning a new one if needed.

        :returns: name of a listed entry
        """
        while self._pending:
            name = self._pending.popleft()
            if name in self._entries:
                return name
        self._pending.extend(sorted(self._entries, key=self._rank))
        return self._pending.popleft()

    def _rank(self, name: str) -> tuple[bool, bool, str]:
        """Return the sort key of an entry within a round.

        Rounds begin after the own name, so that not all entries send to the
        same one first.
        """
        settings = self._state.settings
        is_far = self._entries[name].domain != settings.failure_domain
        return is_far, name < settings.name, name

    def receive(self, data: bytes, source: str) -> None:
        """Handle a notice of another entry.

        :param source: address of the sender
        """
        state = self._state
        decoded = demandcodec.decode(data)
        if decoded.is_err():
            state.counters.refused_items.labels('demand').inc()
            state.log.write(
                'demand notice refused',
                error=decoded.err_value,
                source=source,
            )
            return
        notice = decoded.ok_value
        if not self._accept(notice):
            state.counters.demand_notices.labels('ignored').inc()
            return
        state.counters.demand_notices.labels('received').inc()
        state.demand.receive(notice.sender, notice.rows, state.now)
        if any(row.waiting for row in notice.rows):
            if not self._is_pressed():
                state.demand_changed.set()
            self._demand_received_at = state.now

    def _accept(self, notice: demandcodec.Notice) -> bool:
        """Return whether a notice is of a listed entry and its newest."""
        if not self._state.may_share or notice.sender not in self._entries:
            return False
        now = self._state.now
        last, received_at = self._received.get(notice.sender, (-1, now))
        if notice.sequence <= last and now - received_at <= SEQUENCE_SECONDS:
            return False
        self._received[notice.sender] = notice.sequence, now
        return True

    def drop(self, name: str) -> None:
        """Forget an entry that is no longer listed."""
        self._state.demand.drop(name)
        self._received.pop(name, None)
        self._offered_at.pop(name, None)

    def offer_capacity(self, service: str) -> None:
        """Tell the entry whose request goes first that capacity is free.

        It is sent the use of endpoints at once if its request precedes all
        that wait here, so that it sees the free capacity before others do.
        """
        demand = self._state.demand
        now = self._state.now
        first = demand.find_first(service, now)
        priority, load = first or (
            demandrows.MAX_VALUE,
            demandrows.MAX_LOAD,
        )
        for name in demand.find_outranking(service, priority, load, now)[:1]:
            self._offer(name, now)

    def _offer(self, name: str, now: float) -> None:
        """Send the use of endpoints, later if it was sent a moment ago."""
        last = self._offered_at.get(name, 0.0)
        if last > now:
            return
        due = max(now, last + OFFER_INTERVAL_SECONDS)
        self._offered_at[name] = due
        if due == now:
            self._send_usage(name)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(due - now, self._send_usage, name)
