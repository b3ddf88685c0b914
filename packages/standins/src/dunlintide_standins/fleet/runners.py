"""Stand-ins of engines that hold layers, and of plain services."""

import asyncio
import hashlib
import itertools
import json
import time
from typing import Any

import attrs

from dunlintide_standins.fleet import store as stores
from dunlintide_standins.fleet import wire

__all__ = [
    'Faults',
    'Fleet',
    'Run',
    'Runner',
]

_id_numbers = itertools.count(1)


@attrs.define
class Faults:
    """What is wrong with a runner.

    :ivar full: whether it refuses requests as full
    :ivar fail: requests that it runs and fails, a count
    :ivar lose: answers that it loses with a reset, a count
    :ivar cut: streams that it cuts within an event, a count
    :ivar extra: answers behind which it sends a second one, a count
    :ivar unframed: answers that it sends without a length, a count
    :ivar stall: whether work that comes to it stands still
    :ivar stall_after: events of a stream behind which its runner stalls
    :ivar lose_orders: orders that it carries out later, unanswered
    :ivar order_delay: seconds until such an order is carried out
    :ivar rate_limit: requests a second that it names, None for no limit
    """

    full: bool = False
    fail: int = 0
    lose: int = 0
    cut: int = 0
    extra: int = 0
    unframed: int = 0
    stall: bool = False
    stall_after: int | None = None
    lose_orders: int = 0
    order_delay: float = 0.0
    rate_limit: float | None = None

    def consume(self, name: str) -> bool:
        """Use up one of a count."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


@attrs.define
class Run:
    """A request that a runner began to work on.

    :ivar hops: address, first and last layer of each part, as asked
    :ivar after: event behind which it began
    :ivar began: monotonic time of its begin, in seconds
    :ivar events: events that it made
    :ivar ended: how it ended, empty while it runs
    """

    request: str
    runner: str
    headers: dict[str, str]
    hops: list[tuple[str, int, int]]
    after: int
    began: float
    events: int = 0
    ended: str = ''


def parse_hops(text: str) -> list[tuple[str, int, int]]:
    """Read a chain from its header."""
    hops = []
    for part in filter(None, text.split(',')):
        address, _, span = part.partition('=')
        first, _, last = span.partition('-')
        hops.append((address, int(first), int(last)))
    return hops


def compute_stamp(name: str, body: bytes) -> str:
    """Build the signature of an answer."""
    return hashlib.sha256(name.encode() + body).hexdigest()[:16]


class Runner:
    """One engine, or one plain service without a kind of card.

    :ivar runs: requests that it began, over all of its lives
    :ivar arrivals: monotonic times of all that it got, reports and orders
        too, in seconds
    :ivar orders: orders that it has accepted in this life
    :ivar born: start of this life, Unix milliseconds, None to tell none
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
        self.arrivals: list[float] = []
        self.overloaded = False
        self.crashed = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._seq = 0

    @property
    def address(self) -> str:
        """``host:port``."""
        return f'127.0.0.1:{self.port}'

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f'servers/{self.name}'

    async def start(self) -> None:
        """Begin a life with a new id, and be listed."""
        self.name = f'i-{next(_id_numbers):06x}'
        self.layers = None
        self.orders = 0
        self.crashed = False
        self._server = await wire.listen(self._handle, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        await self.write_entry()

    async def restart_with_same_id(self) -> None:
        """Begin another life under the same id, empty."""
        self.born = int(time.time() * 1000)
        self.layers = None
        self.orders = 0
        await self.write_entry()

    async def write_entry(self, state: str = 'ready') -> None:
        """Write its entry."""
        self._seq += 1
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': self.fleet.slots,
            'state': state,
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
        """End at once.

        :param listed: whether its entry stays for now
        """
        self.crashed = True
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if not keep_entry:
            await self.fleet.store.remove(self.key)

    async def _handle(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        self.arrivals.append(time.monotonic())
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

    async def _answer(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        if request.path == '/report':
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
            'pace': 1.0,
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
        self, channel: wire.Channel, unready_address: str = ''
    ) -> None:
        headers = {'Not-Executed': '1'}
        if unready_address:
            headers['At-Server'] = unready_address
        await channel.answer(503, b'', headers)

    async def _handle_request(
        self, request: wire.Request, channel: wire.Channel
    ) -> None:
        headers = request.headers
        expected = headers.get('expect-instance')
        if expected not in (None, self.name):
            await channel.answer(421, b'', {'Instance-Id': self.name})
            return
        if self.faults.full:
            await self._refuse(channel)
            return
        hops = parse_hops(headers.get('hop-count', ''))
        if self.kind:
            unready_address = self._find_unready_hop(hops)
            if unready_address:
                await self._refuse(channel, unready_address)
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
        try:
            if self.kind:
                await self._stream(request, channel, run)
            else:
                await self._call(request, channel, run)
        except asyncio.CancelledError:
            run.ended = run.ended or 'cancelled'
            raise

    def _find_unready_hop(self, hops: list[tuple[str, int, int]]) -> str:
        """Find the part of a chain that does not hold its layers."""
        for address, first, last in hops:
            runner = self.fleet.find(address)
            held = runner.layers if runner else None
            if not held or first < held[0] or last > held[1]:
                return address
        return ''

    async def _wait_for_hops(self, run: Run) -> None:
        """Stand still while a part of the chain does, or is dead."""
        while any(
            runner is not None and (runner.faults.stall or runner.crashed)
            for runner in (self.fleet.find(hop[0]) for hop in run.hops)
        ):
            await asyncio.sleep(0.01)

    async def _stream(
        self, request: wire.Request, channel: wire.Channel, run: Run
    ) -> None:
        count = int(request.headers['token-count'].partition(',')[2])
        headers = {
            'Attempt-Id': run.request,
            'Content-Type': 'text/event-stream',
            'Server-Stamp': compute_stamp(self.name, run.request.encode()),
        }
        await self._wait_for_hops(run)
        await channel.send(channel.build_head(200, headers, None))
        for number in range(run.after + 1, count + 1):
            await asyncio.sleep(self.fleet.event_seconds)
            await self._wait_for_hops(run)
            if self.faults.stall_after == run.events:
                await asyncio.sleep(3600)
            data = b'id: %d\ndata: %s-%d\n\n' % (
                number,
                run.request.encode(),
                number,
            )
            if run.events == 2 and self.faults.consume('cut'):
                half = data[: len(data) // 2]
                await channel.send(b'%x\r\n%b\r\n' % (len(half), half))
                run.ended = 'cut'
                channel.reset()
                return
            await channel.send(b'%x\r\n%b\r\n' % (len(data), data))
            run.events += 1
        await channel.send(b'0\r\n\r\n')
        run.ended = 'ok'

    async def _call(
        self, request: wire.Request, channel: wire.Channel, run: Run
    ) -> None:
        await asyncio.sleep(self.fleet.call_seconds)
        await self._wait_for_hops(
            Run('', '', {}, [(self.address, 0, 0)], 0, 0.0)
        )
        body = b'answer to ' + run.request.encode()
        run.ended = 'ok'
        if self.faults.consume('lose'):
            channel.reset()
            return
        headers = {
            'Attempt-Id': run.request,
            'Server-Stamp': compute_stamp(self.name, body),
        }
        if self.faults.consume('fail'):
            run.ended = 'failed'
            await channel.answer(500, b'broken', headers)
            return
        if self.faults.consume('unframed'):
            head = channel.build_head(200, headers, 0)
            head = head.replace(b'Content-Length: 0\r\n', b'')
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

    :ivar cards: memory of each kind of card, in MB
    :ivar event_seconds: time between two events of a stream
    :ivar call_seconds: time of a plain call
    """

    store: stores.Store
    layers: int
    layer_mb: float
    accelerator_mb: dict[str, float]
    slots: int = 16
    event_seconds: float = 0.01
    call_seconds: float = 0.02
    runners: list[Runner] = attrs.field(factory=list)

    def compute_max_layers(self, kind: str) -> int:
        """Tell how many layers a card holds at most."""
        return int(self.accelerator_mb[kind] // self.layer_mb)

    def find(self, address: str) -> Runner | None:
        """Find the runner at an address."""
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
