"""Stand-ins of engines with model layers, and of plain services."""

import asyncio
import contextlib
import enum
import hashlib
import itertools
import json
import random
import time
from typing import Any

import attrs

from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import malformed
from dunlintide_standins.fleet import store as stores
from dunlintide_standins.fleet import wire

__all__ = [
    'AskedBackoff',
    'CrashPoint',
    'Faults',
    'Fleet',
    'LateAnswer',
    'LeavingAnswer',
    'PartCrash',
    'Received',
    'Run',
    'Runner',
]

# Minimum and maximum number of late answers, and when they come, in seconds.
LATE_ANSWERS = (1, 20)
LATE_DELAY_SECONDS = (0.0, 0.01)
# Minimum and maximum number of responses that end within their head.
CUT_HEADS = (1, 5)

_id_numbers = itertools.count(1)


class LateAnswer(enum.Enum):
    """An answer to an earlier request, or to none, on a kept connection."""

    REFUSAL_WITHOUT_ID = 'a refusal without an id'
    REFUSAL_OF_EARLIER = 'a refusal of an earlier request'
    FAILURE_WITHOUT_ID = 'a failure without an id'
    SUCCESS_WITHOUT_ID = 'a success without an id'
    SUCCESS_OF_EARLIER = 'a success of an earlier request'

    def encode(self, earlier: str, signature: str) -> bytes:
        """Encode it.

        :param earlier: id of the earlier request
        :param signature: value of ``Server-Stamp``
        """
        headers = {}
        if self in (self.REFUSAL_OF_EARLIER, self.SUCCESS_OF_EARLIER):
            headers['Attempt-Id'] = earlier
        if self in (self.SUCCESS_WITHOUT_ID, self.SUCCESS_OF_EARLIER):
            headers['Server-Stamp'] = signature
            status = 200
        elif self is self.FAILURE_WITHOUT_ID:
            status = 500
        else:
            headers['Not-Executed'] = '1'
            status = 503
        body = b'late'
        return wire.build_head(status, headers, len(body)) + body


@attrs.define
class Faults:
    """Injected faults of a runner.

    A count is the number of further times that the fault occurs.

    :ivar full: whether the runner refuses requests as full
    :ivar fail: count of calls to run and to answer with an error
    :ivar lose: count of calls to run and to reset without a response
    :ivar cut: count of streams to reset within an event
    :ivar extra: count of responses to follow by a second, unrelated one
    :ivar late: count of connections on which a late answer comes before the
        next response
    :ivar late_answer: that answer
    :ivar late_delay: time after the next request at which it comes, in seconds
    :ivar pours: bytes without end that replace the answers to calls and
        streams, None for sound answers
    :ivar unframed: count of responses to send without length or chunks,
        streams included
    :ivar cut_heads: count of responses that end within their head, streams
        included
    :ivar cut_fraction: part of such a head that is sent, from 0 to 1
    :ivar malformed_answers: count of responses that are malformed, streams
        included
    :ivar malformed_kind: where such a response is malformed
    :ivar stall: whether calls and streams through the runner stop
    :ivar stall_after: number of events after which a stream stops, None
        for no stop
    :ivar stall_within: whether it stops within the next event
    :ivar lose_orders: count of orders to execute late, without a response
    :ivar order_delay: delay of such an order, in seconds
    :ivar rate_limit: value of ``Server-Limit`` in requests per second, None
        to leave the header out
    :ivar backoff: values of ``Retry-After`` with which the runner refuses
        requests, empty to take them
    :ivar leaving: whether the runner says that it leaves in all its answers
    """

    full: bool = False
    fail: int = 0
    lose: int = 0
    cut: int = 0
    extra: int = 0
    late: int = 0
    late_answer: LateAnswer = LateAnswer.REFUSAL_WITHOUT_ID
    late_delay: float = 0.0
    pours: endless.Endless | None = None
    unframed: int = 0
    cut_heads: int = 0
    cut_fraction: float = 0.5
    malformed_answers: int = 0
    malformed_kind: malformed.Malformed = malformed.Malformed.STATUS_000
    stall: bool = False
    stall_after: int | None = None
    stall_within: bool = False
    lose_orders: int = 0
    order_delay: float = 0.0
    rate_limit: float | None = None
    backoff: tuple[str, ...] = ()
    leaving: bool = False

    def consume(self, name: str) -> bool:
        """Decrement a count; return whether it was above zero."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0

    def draw_late(self, rng: random.Random, is_engine: bool) -> None:
        """Draw late answers, which spoil no stream."""
        self.late_answer = rng.choice(list(LateAnswer))
        self.late_delay = 0.0 if is_engine else rng.choice(LATE_DELAY_SECONDS)
        self.late = rng.randint(*LATE_ANSWERS)

    def draw_cut_heads(self, rng: random.Random) -> None:
        """Draw responses that end within their head, at any byte of it."""
        self.cut_fraction = rng.random()
        self.cut_heads = rng.randint(*CUT_HEADS)

    def draw_pours(self, rng: random.Random, is_engine: bool) -> None:
        """Draw bytes without end of which nothing can be forwarded."""
        kinds = endless.BEFORE_BODY
        if is_engine:
            kinds += endless.WITHIN_EVENT
        self.pours = rng.choice(kinds)


class CrashPoint(enum.Enum):
    """Where an engine crashes that begins to write an answer."""

    BEFORE_HEAD = 'before the head'
    AFTER_HEAD = 'after the head'
    WITHIN_EVENT = 'within the first event'


@attrs.define
class Run:
    """Execution of a request by a runner.

    :ivar hops: address, first layer and end layer of each hop of the chain
    :ivar after: number of the last event that the caller has already
    :ivar began: monotonic time of the start, in seconds
    :ivar events: number of events sent
    :ivar ended: outcome, empty while the request runs
    :ivar answered: monotonic time of the answer's head in seconds, 0 before
    :ivar finished: monotonic time of the end of a whole stream in seconds, 0
        without one
    """

    request: str
    runner: str
    headers: dict[str, str]
    hops: list[tuple[str, int, int]]
    after: int
    began: float
    events: int = 0
    ended: str = ''
    answered: float = 0.0
    finished: float = 0.0


@attrs.frozen
class Received:
    """A request that arrived at a runner, a report or order included.

    :ivar instance: name of the instance of the runner
    :ivar at: monotonic time in seconds
    :ivar name: id of the request, empty for a report or order
    :ivar parts: shared parts of its prompt
    """

    instance: str
    at: float
    name: str
    path: str
    parts: tuple[str, ...] = ()


@attrs.frozen
class PartCrash:
    """Crash of a runner by a part of a prompt.

    :ivar instance: name of the instance of the runner
    :ivar at: monotonic time in seconds
    :ivar name: id of the request
    """

    part: str
    instance: str
    at: float
    name: str


@attrs.frozen
class AskedBackoff:
    """A refusal of a runner that asks for a pause.

    :ivar instance: name of the instance of the runner
    :ivar at: monotonic time of the answer, in seconds
    :ivar name: id of the refused request
    :ivar seconds: length of the pause
    """

    instance: str
    at: float
    name: str
    seconds: float


@attrs.frozen
class LeavingAnswer:
    """An answer of a runner that says that it leaves.

    :ivar instance: name of the instance of the runner
    :ivar at: monotonic time of the answer, in seconds
    :ivar name: id of the request, empty for a report or order
    """

    instance: str
    at: float
    name: str


def parse_hops(text: str) -> list[tuple[str, int, int]]:
    """Parse the hops of a chain from the ``Hop-Count`` header."""
    hops = []
    for part in filter(None, text.split(',')):
        address, _, span = part.partition('=')
        first, _, last = span.partition('-')
        hops.append((address, int(first), int(last)))
    return hops


def parse_shared_parts(text: str) -> tuple[str, ...]:
    """Parse the shared parts of a prompt from the ``Prefix-Hash`` header."""
    parts = [part.partition(':')[0] for part in text.split(',')]
    return tuple(parts[:-1])


def _echo_id(request: wire.Request) -> dict[str, str]:
    """Return the header by which an answer names its request."""
    name = request.headers.get('attempt-id')
    return {} if name is None else {'Attempt-Id': name}


def compute_stamp(name: str, body: bytes) -> str:
    """Compute the ``Server-Stamp`` header from a runner's id and a body."""
    return hashlib.sha256(name.encode() + body).hexdigest()[:16]


class Runner:
    """One engine, or one plain service if ``kind`` is empty.

    A runner can be started several times, each time as a new instance. Callers
    set what it does by headers: ``Work-Ms``, ``Events``, and the sizes
    ``Answer-Bytes`` of a call's body and ``Event-Bytes`` of padding.

    :ivar kind: kind of accelerator
    :ivar runs: requests run by all instances
    :ivar received: requests received, reports and orders included
    :ivar backoffs: pauses that all instances asked for
    :ivar leaving_answers: answers with the word that the instance leaves
    :ivar orders: number of orders to the instance whose precondition held
    :ivar born: start of the instance in Unix milliseconds, None to leave it
        out of entries and reports
    :ivar overloaded: whether an order ever exceeded the accelerator's memory
    :ivar slowness: factor on the time between two events, which the runner
        reports as its pace
    """

    def __init__(
        self, fleet: 'Fleet', service: str, domain: str, kind: str = ''
    ) -> None:
        self.fleet = fleet
        self.service = service
        self.domain = domain
        self.kind = kind
        self.faults = Faults()
        self.name = ''
        self.born: int | None = None
        self.port = 0
        self.orders = 0
        self.layers: tuple[int, int] | None = None
        self.runs: list[Run] = []
        self.received: list[Received] = []
        self.backoffs: list[AskedBackoff] = []
        self.leaving_answers: list[LeavingAnswer] = []
        self.overloaded = False
        self.crashed = False
        self.slowness = 1.0
        self._server: asyncio.Server | None = None
        # State in the store's entry; empty once the entry was removed.
        self._state = 'ready'
        self._tasks: set[asyncio.Task] = set()
        self._running = 0
        self._seq = 0
        self._return: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """``host:port``."""
        return f'127.0.0.1:{self.port}'

    @property
    def arrivals(self) -> list[float]:
        """Monotonic times of all requests received, in seconds."""
        return [each.at for each in self.received]

    @property
    def key(self) -> str:
        """Key of the runner's entry in the store."""
        return f'servers/{self.name}'

    async def start(self) -> None:
        """Start an instance with a new id and write its entry."""
        self.name = f'i-{next(_id_numbers):06x}'
        self.layers = None
        self.orders = 0
        self.crashed = False
        self._server = await wire.listen(self._handle, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.write_entry('ready')

    async def restart_with_same_id(self) -> None:
        """Start a new instance without layers under the same id."""
        self.born = int(time.time() * 1000)
        self.layers = None
        self.orders = 0
        await self.write_entry('ready')

    async def remove_entry(self) -> None:
        """Leave without a word: remove the entry and write none again."""
        self._state = ''
        await self.fleet.store.remove(self.key)

    async def write_entry(self, state: str | None = None) -> None:
        """Write the runner's entry to the store, unless it was removed.

        :param state: new state, None for the one that it had
        """
        if state is not None:
            self._state = state
        if not self._state:
            return
        self._seq += 1
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': self.fleet.slots,
            'state': self._state,
            'cold_left_ms': 0,
            'seq': self._seq,
        }
        if self.born is not None:
            entry['born'] = self.born
        if self.kind:
            entry['route_type'] = self.kind
            entry['models'] = [{'name': 'm0', 'version': 1, 'adapters': []}]
            if self.layers:
                first, last = self.layers
                held = {'from': first, 'to': last, 'version': 1}
                entry['layers'] = [held]
        await self.fleet.store.report(self.key, entry)

    async def crash(self, keep_entry: bool = True) -> None:
        """Stop at once.

        :param keep_entry: whether the entry stays in the store
        """
        self.crashed = True
        if self._return is not None:
            self._return.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if not keep_entry:
            await self.fleet.store.remove(self.key)

    async def _crash_by_part(self, part: str, run: Run) -> None:
        """Crash and come back as a new instance without layers."""
        run.ended = 'crashed'
        crash = PartCrash(part, self.name, time.monotonic(), run.request)
        self.fleet.part_crashes.append(crash)
        await self.crash()

        async def come_back() -> None:
            await asyncio.sleep(self.fleet.restart_seconds)
            await self.fleet.store.remove(self.key)
            await self.start()

        self._return = asyncio.get_running_loop().create_task(come_back())
        # The crash has cancelled this task too.
        await asyncio.sleep(0)

    async def _handle(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        name = request.headers.get('attempt-id', '')
        parts = parse_shared_parts(request.headers.get('prefix-hash', ''))
        self.received.append(
            Received(self.name, time.monotonic(), name, request.path, parts)
        )
        leaving = self.faults.leaving
        if leaving:
            channel.headers['Server-Leaving'] = '1'
        else:
            channel.headers.pop('Server-Leaving', None)
        instance, built = self.name, len(channel.head_times)
        if self.faults.rate_limit is None:
            channel.headers.pop('Server-Limit', None)
        else:
            channel.headers['Server-Limit'] = f'{self.faults.rate_limit:.1f}'
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._answer(request, channel)
        finally:
            self._tasks.discard(task)
            if leaving:
                self.leaving_answers += [
                    LeavingAnswer(instance, at, name)
                    for at in channel.head_times[built:]
                ]

    async def _answer(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.name):
            headers = {'Instance-Id': self.name, **_echo_id(request)}
            await channel.answer(421, b'', headers)
        elif request.path == '/report':
            await channel.answer(200, json.dumps(self._report()).encode())
        elif request.path == '/order':
            await self._handle_order(json.loads(request.body), channel)
        else:
            await self._handle_request(request, channel)

    def _report(self) -> dict[str, Any]:
        held = []
        if self.layers:
            first, last = self.layers
            held = [{'from': first, 'to': last, 'version': 1}]
        report = {
            'busy': False,
            'seq': self.orders,
            'layers': held,
            'pace': self.slowness,
            'kv_used': 0,
            'kv_total': 1,
            'stalled': [],
        }
        if self.born is not None:
            report['born'] = self.born
        return report

    async def _handle_order(self, order: dict, channel: wire.Channel) -> None:
        if self.faults.consume('lose_orders'):
            await asyncio.sleep(self.faults.order_delay)
            await self._execute_order(order)
            await asyncio.sleep(3600)
        await channel.answer(await self._execute_order(order))

    async def _execute_order(self, order: dict) -> int:
        if order.get('precondition', self.orders) != self.orders:
            return 409
        self.orders += 1
        span = order['from'], order['to']
        max_layers = self.fleet.compute_max_layers(self.kind)
        if span[1] - span[0] > max_layers:
            self.overloaded = True
            return 400
        self.layers = span
        await self.write_entry()
        return 202

    async def _refuse(
        self,
        request: wire.Request,
        channel: wire.Channel,
        unready_address: str = '',
    ) -> None:
        headers = {'Not-Executed': '1', **_echo_id(request)}
        if unready_address:
            headers['At-Server'] = unready_address
        await channel.answer(503, b'', headers)

    async def _refuse_with_backoff(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        """Refuse a request and ask its sender for a pause."""
        values = self.faults.backoff
        headers = {
            'Not-Executed': '1',
            'Retry-After': values,
            **_echo_id(request),
        }
        await channel.answer(503, b'', headers)
        name = request.headers.get('attempt-id', '')
        with contextlib.suppress(ValueError):
            seconds = max(map(float, values))
            asked = AskedBackoff(
                self.name, channel.head_times[-1], name, seconds
            )
            self.backoffs.append(asked)

    async def _handle_request(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        headers = request.headers
        self._send_late_answer(request, channel)
        if self.faults.backoff:
            await self._refuse_with_backoff(request, channel)
            return
        if self.faults.full or self._is_full():
            await self._refuse(request, channel)
            return
        hops = parse_hops(headers.get('hop-count', ''))
        if self.kind:
            unready_address = self._find_unready_hop(hops)
            if unready_address:
                await self._refuse(request, channel, unready_address)
                return
        after = int(headers.get('last-event-id', 0))
        run = Run(
            headers.get('attempt-id', ''),
            self.name,
            headers,
            hops,
            after,
            time.monotonic(),
        )
        self.runs.append(run)
        self._running += 1
        try:
            if self.faults.pours:
                await endless.pour(channel, self.faults.pours, request)
            elif self.kind:
                await self._stream(request, channel, run)
            else:
                await self._call(request, channel, run)
        except (asyncio.CancelledError, OSError):
            # A reset connection fails the next write, before it is noticed.
            run.ended = run.ended or 'cancelled'
            raise
        finally:
            self._running -= 1

    def _send_late_answer(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        """Send the late answer of a connection, or prepare one for it."""
        name = request.headers.get('attempt-id', '')
        if channel.late_answer:
            data, channel.late_answer = channel.late_answer, b''
            if not self.faults.late_delay:
                channel.write(data)
                return
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_delay, channel.write, data)
        elif self.faults.consume('late'):
            kind = self.faults.late_answer
            channel.late_answer = kind.encode(name, compute_stamp(name, b''))

    def _is_full(self) -> bool:
        """Return whether all slots are taken, where these are enforced."""
        return self.fleet.enforces_slots and self._running >= self.fleet.slots

    def _find_unready_hop(self, hops: list[tuple[str, int, int]]) -> str:
        """Return the address of a hop that lacks its layers, empty if none."""
        for address, first, last in hops:
            runner = self.fleet.find(address)
            held = runner.layers if runner else None
            if not held or first < held[0] or last > held[1]:
                return address
        return ''

    async def _wait_for_hops(self, run: Run) -> None:
        """Wait while a runner of the chain is stalled or crashed."""
        while any(
            runner is not None and (runner.faults.stall or runner.crashed)
            for runner in (self.fleet.find(hop[0]) for hop in run.hops)
        ):
            await asyncio.sleep(0.01)

    async def _stream(
        self, request: wire.Request, channel: wire.Channel, run: Run
    ) -> None:
        most = request.headers['token-count'].partition(',')[2]
        count = int(request.headers.get('events', most))
        headers = {
            'Attempt-Id': run.request,
            'Content-Type': 'text/event-stream',
            'Server-Stamp': compute_stamp(self.name, run.request.encode()),
        }
        await self._wait_for_hops(run)
        part = self.fleet.find_crashing_part(request)
        if part and self.fleet.crash_point is CrashPoint.BEFORE_HEAD:
            await self._crash_by_part(part, run)
        run.answered = time.monotonic()
        if self.faults.consume('malformed_answers'):
            number = run.after + 1
            event = b'id: %d\ndata: %b-%d\n\n' % (
                number,
                run.request.encode(),
                number,
            )
            await self._send_malformed(channel, run, headers, event)
            return
        framed = not self.faults.consume('unframed')
        head = channel.build_head(200, headers, None, framed)
        if self.faults.consume('cut_heads'):
            run.ended = 'cut'
            await self._cut_head(channel, head)
            return
        await channel.send(head)
        try:
            await self._write_events(channel, run, count, framed, part)
        except asyncio.CancelledError:
            if not framed and run.events:
                # Only an end within an event tells that it broke off.
                channel.write(b'id: ')
            raise

    async def _send_malformed(
        self,
        channel: wire.Channel,
        run: Run,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Send a malformed response and close the connection."""
        run.ended = 'malformed'
        await channel.send(self.faults.malformed_kind.encode(headers, body))
        channel.close()

    async def _cut_head(self, channel: wire.Channel, head: bytes) -> None:
        """Send a part of a head and close the connection."""
        size = min(int(len(head) * self.faults.cut_fraction), len(head) - 1)
        await channel.send(head[:size])
        channel.close()

    async def _write_events(
        self,
        channel: wire.Channel,
        run: Run,
        count: int,
        framed: bool,
        part: str,
    ) -> None:
        """Write the events of a stream and its end.

        :param part: part of the prompt that crashes this runner, or empty
        """

        size = int(run.headers.get('event-bytes', 0))
        padding = b': %b\n' % (b'.' * size) if size else b''

        async def send(data: bytes) -> None:
            chunk = b'%x\r\n%b\r\n' % (len(data), data)
            await channel.send(chunk if framed else data)

        for number in range(run.after + 1, count + 1):
            await asyncio.sleep(self.fleet.event_seconds * self.slowness)
            await self._wait_for_hops(run)
            data = b'id: %d\ndata: %s-%d\n%b\n' % (
                number,
                run.request.encode(),
                number,
                padding,
            )
            half = data[: len(data) // 2]
            if self.faults.stall_after == run.events:
                if self.faults.stall_within:
                    await send(half)
                await asyncio.sleep(3600)
            if part:
                if self.fleet.crash_point is CrashPoint.WITHIN_EVENT:
                    await send(half)
                await self._crash_by_part(part, run)
            if run.events == 2 and self.faults.consume('cut'):
                await send(half)
                run.ended = 'cut'
                if framed:
                    channel.reset()
                else:
                    channel.close()
                return
            await send(data)
            run.events += 1
        if framed:
            await channel.send(b'0\r\n\r\n')
        else:
            channel.close()
        run.ended = 'ok'
        run.finished = time.monotonic()

    def _get_call_seconds(self, request: wire.Request) -> float:
        """Return how long a call takes, which its ``Work-Ms`` may name."""
        work = request.headers.get('work-ms')
        return self.fleet.call_seconds if work is None else int(work) / 1000

    async def _call(
        self, request: wire.Request, channel: wire.Channel, run: Run
    ) -> None:
        await asyncio.sleep(self._get_call_seconds(request))
        await self._wait_for_hops(
            Run('', '', {}, [(self.address, 0, 0)], 0, 0.0)
        )
        body = b'answer to ' + run.request.encode()
        body = body.ljust(int(request.headers.get('answer-bytes', 0)), b'.')
        run.ended = 'ok'
        run.answered = time.monotonic()
        if self.faults.consume('lose'):
            channel.reset()
            return
        headers = {
            'Attempt-Id': run.request,
            'Server-Stamp': compute_stamp(self.name, body),
        }
        if self.faults.consume('malformed_answers'):
            await self._send_malformed(channel, run, headers, body)
            return
        if self.faults.consume('fail'):
            run.ended = 'failed'
            await channel.answer(500, b'broken', headers)
            return
        if self.faults.consume('cut_heads'):
            run.ended = 'cut'
            head = channel.build_head(200, headers, len(body))
            await self._cut_head(channel, head)
            return
        if self.faults.consume('unframed'):
            head = channel.build_head(200, headers, None, framed=False)
            await channel.send(head + body)
            channel.close()
            return
        await channel.answer(200, body, headers)
        if self.faults.consume('extra'):
            headers['Attempt-Id'] = 'another'
            await channel.answer(200, b'not yours', headers)


@attrs.define(eq=False)
class Fleet:
    """All runners of a deployment.

    :ivar layers: number of layers of the model
    :ivar layer_mb: size of a layer, in MB
    :ivar accelerator_mb: memory of each kind of accelerator, in MB
    :ivar slots: slots of each runner, as in its entry
    :ivar enforces_slots: whether runners refuse what exceeds their slots
    :ivar event_seconds: time between two events of a stream
    :ivar call_seconds: duration of a plain call without ``Work-Ms``
    :ivar crashing_parts: parts of prompts that crash each engine that begins
        to write an answer on one of them
    :ivar crash_point: where such an engine crashes
    :ivar restart_seconds: time until it is back
    :ivar part_crashes: crashes by these parts, in order
    """

    store: stores.Store
    layers: int
    layer_mb: float
    accelerator_mb: dict[str, float]
    slots: int = 16
    event_seconds: float = 0.01
    call_seconds: float = 0.02
    runners: list[Runner] = attrs.field(factory=list)
    crashing_parts: set[str] = attrs.field(factory=set)
    crash_point: CrashPoint = CrashPoint.AFTER_HEAD
    restart_seconds: float = 1.5
    part_crashes: list[PartCrash] = attrs.field(factory=list)
    enforces_slots: bool = False

    def find_crashing_part(self, request: wire.Request) -> str:
        """Return the part of a request that crashes engines, or empty."""
        parts = parse_shared_parts(request.headers.get('prefix-hash', ''))
        for part in parts:
            if part in self.crashing_parts:
                return part
        return ''

    def compute_max_layers(self, kind: str) -> int:
        """Return the number of layers that fit in an accelerator's memory."""
        return int(self.accelerator_mb[kind] // self.layer_mb)

    def find(self, address: str) -> Runner | None:
        """Find the runner at an address, None if there is none."""
        for runner in self.runners:
            if runner.address == address:
                return runner
        return None

    def list_runs(self, request: str) -> list[Run]:
        """List all runs of a request."""
        return [
            run
            for runner in self.runners
            for run in runner.runs
            if run.request == request
        ]

    async def add(self, service: str, domain: str, kind: str = '') -> Runner:
        """Start another runner."""
        runner = Runner(self, service, domain, kind)
        self.runners.append(runner)
        await runner.start()
        return runner
