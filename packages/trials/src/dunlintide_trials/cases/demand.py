"""Cost of ordering requests over all entries, by the number of entries.

One entry runs its queue and its notices in virtual time, without network. The
others are like it: for each notice that it sends it receives one, from the
next of them in turn.
"""

import asyncio
import collections
import contextlib
import itertools
import random
import statistics
import time
import tracemalloc
from typing import Callable, Iterator

import attrs
from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import demandtable
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import counters
from dunlintide_daemon.gateway import demandcodec
from dunlintide_daemon.gateway import demandnotices
from dunlintide_daemon.gateway import gossip
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_trials import figures
from dunlintide_trials import virtualloop
from prometheus_client import registry

__all__ = ['CASES']

SIZES = (6, 30, 100, 300, 370)
DOMAINS = 7
TEAMS = 5600
# Bounds on all control work of an entry: bytes a second, part of a core and
# bytes of memory.
BYTES_BOUND = 5000.0
CPU_BOUND = 0.037
MEMORY_BOUND = 256 << 20
# Requests a second that start at the entry, and requests that wait there.
STARTS_PER_SECOND = 12
WAITING = 100
# Numbers of waiting requests by which the slope is measured.
QUEUE_SIZES = (12, 25, 50, 100, 200)
HELD_SECONDS = 2.0
# Longest wait in seconds: no request leaves the queue without a start.
MAX_WAIT_SECONDS = 1e6
# Messages a second of other entries that tell of freed capacity; each wakes
# those that wait.
USAGE_MESSAGES_PER_SECOND = 13
# Virtual time before the measurement and of each of its rounds, in seconds.
WARM_SECONDS = 3.0
ROUND_SECONDS = 5.0
ROUNDS = 3
# Datagrams are encoded before the measurement: more than any run receives.
MAX_RECEIVED = 2000
SERVICE = 'model'
PRIORITIES = (0, 1, 2)
ADDRESS = '127.0.0.1:1'

Kind = demandrows.Kind


def _choose_team_kind(rng: random.Random) -> Kind:
    """Choose one of many teams, so that notices have their largest size."""
    team = f'team-{rng.randrange(TEAMS)}'
    return Kind(SERVICE, rng.choice(PRIORITIES), team)


def _choose_plain_kind(rng: random.Random) -> Kind:
    """Choose a priority without a team, so that notices are small."""
    return Kind(SERVICE, rng.choice(PRIORITIES), '')


MIXES = {'teams': _choose_team_kind, 'priorities': _choose_plain_kind}


class _Log:
    """A log that drops its lines."""

    def write(self, event: str, **fields: object) -> None:
        """Drop a line."""


@attrs.define(eq=False)
class _State(state_module.State):
    """State of an entry in virtual time."""

    loop: asyncio.AbstractEventLoop = attrs.field(kw_only=True)

    @property
    def now(self) -> float:
        """Time of the loop in seconds."""
        return self.loop.time()


@attrs.frozen
class _Terms:
    weight: float = 1.0
    stream: bool = True


@attrs.define(eq=False)
class _Request:
    """What admission needs to know of a request."""

    service: str
    priority: int
    team: str
    deadline: float
    terms: _Terms = _Terms()
    is_waiting: bool = False
    was_refused: bool = False
    runs: int = 0


def _make_state(loop: asyncio.AbstractEventLoop) -> _State:
    given = settings.EdgeSettings(
        role='edge',
        name='entry-000',
        failure_domain='domain-0',
        listen=ADDRESS,
        ready_listen=ADDRESS,
        admin_listen=ADDRESS,
        metrics_listen=ADDRESS,
        gossip_listen=ADDRESS,
        store=ADDRESS,
        demand=settings.Demand(sharing=settings.Sharing.ON),
    )
    metrics = counters.Counters.from_registry(registry.CollectorRegistry())
    return _State(given, _Log(), metrics, loop=loop)


def _make_rows(
    choose_kind: Callable[[random.Random], Kind], rng: random.Random
) -> list[demandrows.Row]:
    """Build the rows of an entry where requests wait."""
    table = demandtable.DemandTable()
    for _ in range(WAITING):
        table.record_arrival(choose_kind(rng), 1.0, 0.0)
    for _ in range(STARTS_PER_SECOND):
        table.record_start(choose_kind(rng), 1.0, 0.0, waited=False)
    return table.list_rows(0.0)


class _Scene:
    """One entry of many, where requests wait and start."""

    def __init__(
        self,
        size: int,
        choose_kind: Callable[[random.Random], Kind],
        waiting: int = WAITING,
    ) -> None:
        self.loop = virtualloop.Loop()
        self.random = random.Random(size)
        self.choose_kind = choose_kind
        self.state = _make_state(self.loop)
        entries = {}
        for number in range(1, size):
            name, domain = f'entry-{number:03}', f'domain-{number % DOMAINS}'
            entries[name] = keys.Entry(name, domain, ADDRESS, ADDRESS)
            self.state.listed_entries.add(name)
            self.state.entry_domains[name] = domain
        self.state.demand.set_listed(len(entries))
        self.notices = demandnotices.DemandNotices(
            self.state, entries, self._send, self._send_usage
        )
        self.datagrams = self._encode_datagrams(list(entries))
        self.sent_bytes = 0
        self.datagram_bytes = 0
        self.received = 0
        self.started = 0
        self.free = 0
        self.held: collections.deque[Callable[[], None]] = collections.deque()
        self.tasks: set[asyncio.Task] = set()
        self._spawn(self.notices.run())
        for _ in range(waiting):
            self._spawn(self._serve())

    def close(self) -> None:
        """Cancel all tasks."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()

    def _encode_datagrams(self, names: list[str]) -> Iterator[bytes]:
        self.random.shuffle(names)
        rows = {
            name: _make_rows(self.choose_kind, self.random) for name in names
        }
        senders = itertools.islice(itertools.cycle(names), MAX_RECEIVED)
        encoded = [
            demandcodec.encode(demandcodec.Notice(name, number, rows[name]))
            for number, name in enumerate(senders, 1)
        ]
        return iter(encoded)

    def _send(self, name: str, data: bytes) -> None:
        """Count a notice, and receive one of another entry in return."""
        length = len(data) + demandnotices.HEADER_BYTES
        self.sent_bytes += length
        self.datagram_bytes = max(self.datagram_bytes, length)
        delay = self.random.uniform(0.0, demandnotices.INTERVAL_SECONDS)
        self.loop.call_later(delay, self._receive)

    def _send_usage(self, name: str) -> None:
        """Drop a usage message, which is no cost of notices."""

    def _receive(self) -> None:
        self.received += 1
        self.notices.receive(next(self.datagrams), ADDRESS)

    def _spawn(self, work) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _make_request(self) -> _Request:
        kind = self.choose_kind(self.random)
        deadline = self.state.now + HELD_SECONDS
        return _Request(kind.service, kind.priority, kind.team, deadline)

    def _make_ticket(self, request: _Request) -> admission.Ticket:
        expires = self.state.now + MAX_WAIT_SECONDS
        return admission.make_ticket(
            request, backlog.QueueClass.FRESH, expires
        )

    async def _serve(self) -> None:
        """Serve a request as streams are, without choosing a chain.

        It is followed by another, so that as many requests always wait.
        """
        state, request = self.state, self._make_request()
        ticket = self._make_ticket(request)

        async def attempt() -> bool | None:
            reservations.choose_fraction(state, request)
            if not self.free:
                admission.record_full(state, ticket)
                return None
            domains = {state.settings.failure_domain}
            return admission.may_start(state, ticket, domains) or None

        reservations.record_arrival(state, request)
        found = admission.has_turn(state, ticket) and await attempt()
        if not found:
            admission.is_too_long(state, ticket)
            await admission.wait(state, ticket, attempt, lambda: False)
        self.free -= 1
        self.held.append(admission.reserve(state, request, ()))
        self.started += 1
        self._spawn(self._serve())

    async def _refuse(self) -> None:
        """Refuse requests at once, as many as start."""
        state = self.state
        while True:
            await asyncio.sleep(1.0 / STARTS_PER_SECOND)
            request = self._make_request()
            reservations.record_arrival(state, request)
            ticket = self._make_ticket(request)
            if admission.has_turn(state, ticket):
                reservations.choose_fraction(state, request)
                admission.record_full(state, ticket)
            admission.is_too_long(state, ticket)
            admission.choose_retry_after(state, request)
            admission.describe_refusal(state, request)
            admission.record_refusal(state, request)

    async def _free_capacity(self) -> None:
        """Free the capacity of one request at a time."""
        while True:
            await asyncio.sleep(1.0 / STARTS_PER_SECOND)
            self.free += 1
            if len(self.held) > STARTS_PER_SECOND * HELD_SECONDS:
                self.held.popleft()()
            else:
                self.state.wake(SERVICE)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(gossip.INTERVAL_SECONDS)
            if self.state.demand.expire(self.state.now):
                self.state.wake_all()

    async def _receive_usage(self) -> None:
        while True:
            await asyncio.sleep(1.0 / USAGE_MESSAGES_PER_SECOND)
            self.state.wake_all()

    def start_requests(self, has_refusals: bool) -> None:
        """Let capacity become free, here and elsewhere."""
        self._spawn(self._free_capacity())
        self._spawn(self._expire())
        self._spawn(self._receive_usage())
        if has_refusals:
            self._spawn(self._refuse())

    def run(self, seconds: float) -> float:
        """Run for a virtual time.

        :returns: processor time in seconds
        """
        began = time.thread_time()
        self.loop.run_until_complete(asyncio.sleep(seconds))
        return time.thread_time() - began


@attrs.frozen
class _Costs:
    """What an entry spends, each a second.

    :ivar datagram_bytes: length of the longest notice, not a rate
    :ivar starts: requests that started
    :ivar cores: processor time in seconds
    """

    sent_bytes: float
    datagram_bytes: int
    received: float
    starts: float
    cores: float


def _measure(
    size: int,
    choose_kind: Callable[[random.Random], Kind],
    has_starts: bool = False,
    has_refusals: bool = False,
    waiting: int = WAITING,
) -> _Costs:
    """Measure an entry with waiting requests.

    :param has_starts: whether requests start, or only notices are exchanged
    :param has_refusals: whether as many others are refused meanwhile
    """
    with contextlib.closing(_Scene(size, choose_kind, waiting)) as scene:
        if has_starts:
            scene.start_requests(has_refusals)
        scene.run(WARM_SECONDS)
        scene.sent_bytes = scene.received = scene.started = 0
        rounds = [scene.run(ROUND_SECONDS) for _ in range(ROUNDS)]
        seconds = ROUNDS * ROUND_SECONDS
        return _Costs(
            scene.sent_bytes / seconds,
            scene.datagram_bytes,
            scene.received / seconds,
            scene.started / seconds,
            statistics.median(rounds) / ROUND_SECONDS,
        )


def measure_notices() -> Iterator[figures.Figure]:
    """Measure notices while requests wait and none starts."""
    for mix, choose_kind in MIXES.items():
        for size in SIZES:
            costs = _measure(size, choose_kind)
            note = (
                f'{size} entries, {costs.received:.1f} notices/s each way '
                f'of {costs.datagram_bytes} B'
            )
            # Less than one notice may be left of the allowance before.
            left = costs.datagram_bytes / (ROUNDS * ROUND_SECONDS)
            yield figures.at_most(
                f'demand.notices.bytes.{mix}.{size}',
                round(costs.sent_bytes, 1),
                'B/s',
                round(BYTES_BOUND + left, 1),
                note=note,
            )
            yield figures.at_most(
                f'demand.notices.cpu.{mix}.{size}',
                round(costs.cores, 5),
                'cores',
                CPU_BOUND,
                note=note,
            )


def _report_decisions(
    name: str, has_refusals: bool
) -> Iterator[figures.Figure]:
    """Measure notices and all decisions while requests wait and start."""
    refused = STARTS_PER_SECOND if has_refusals else 0
    for mix, choose_kind in MIXES.items():
        for size in SIZES:
            costs = _measure(size, choose_kind, True, has_refusals)
            yield figures.at_most(
                f'demand.{name}.{mix}.{size}',
                round(costs.cores, 5),
                'cores',
                CPU_BOUND,
                note=(
                    f'{size} entries, {WAITING} waiting, '
                    f'{costs.starts:.1f} starts/s, {refused} refused/s, '
                    f'{costs.received:.1f} notices/s each way'
                ),
            )


def measure_decisions() -> Iterator[figures.Figure]:
    """Measure an entry where requests wait until they start."""
    yield from _report_decisions('decisions', has_refusals=False)


def measure_refusals() -> Iterator[figures.Figure]:
    """Measure an entry that also refuses as many requests as start."""
    yield from _report_decisions('refusals', has_refusals=True)


def measure_waiting() -> Iterator[figures.Figure]:
    """Measure the largest deployment by the number of waiting requests."""
    for mix, choose_kind in MIXES.items():
        measured = []
        for waiting in QUEUE_SIZES:
            costs = _measure(SIZES[-1], choose_kind, True, waiting=waiting)
            measured.append((waiting, costs.cores))
            yield figures.plain(
                f'demand.waiting.{mix}.{waiting}',
                round(costs.cores, 5),
                'cores',
                note=f'{SIZES[-1]} entries, {costs.starts:.1f} starts/s',
            )
        slope, least = statistics.linear_regression(*zip(*measured))
        yield figures.plain(
            f'demand.waiting.{mix}.slope',
            round(slope * 100.0, 5),
            'cores/100 requests',
            note=f'{least:.5f} cores without any',
        )


def measure_calm() -> Iterator[figures.Figure]:
    """Measure the bytes that are sent while nothing waits."""
    for size in SIZES:
        with contextlib.closing(
            _Scene(size, _choose_plain_kind, waiting=0)
        ) as scene:
            scene.run(ROUNDS * ROUND_SECONDS)
            yield figures.at_most(
                f'demand.calm.{size}',
                scene.sent_bytes,
                'B',
                0,
                note=f'{size} entries, {ROUNDS * ROUND_SECONDS:g} s',
            )


def _fill_table(size: int) -> demandtable.DemandTable:
    """Fill a table with requests of all teams, and rows of all others."""
    rng = random.Random(size)
    table = demandtable.DemandTable()
    table.set_listed(size - 1)
    for number in range(TEAMS):
        kind = Kind(SERVICE, PRIORITIES[number % 3], f'team-{number}')
        table.record_start(kind, 1.0, 0.0, waited=False)
        table.record_arrival(kind, 1.0, 0.0)
    for number in range(1, size):
        rows = _make_rows(_choose_team_kind, rng)
        # Decoded, so that no row is shared with the sender.
        notice = demandcodec.Notice(f'entry-{number:03}', 1, rows)
        found = demandcodec.decode(demandcodec.encode(notice)).unwrap()
        table.receive(found.sender, found.rows, 0.0)
    return table


def measure_memory() -> Iterator[figures.Figure]:
    """Measure the table while all teams wait and all entries are heard."""
    for size in SIZES:
        tracemalloc.start()
        try:
            table = _fill_table(size)
            used, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        count = len(table.list_totals(0.0))
        yield figures.at_most(
            f'demand.memory.{size}',
            used,
            'B',
            MEMORY_BOUND,
            note=f'{size} entries, {count} kinds',
        )


CASES = [
    measure_calm,
    measure_decisions,
    measure_memory,
    measure_notices,
    measure_refusals,
    measure_waiting,
]
