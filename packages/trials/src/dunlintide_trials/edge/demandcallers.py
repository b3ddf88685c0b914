"""Open-loop load: callers that do not wait for earlier answers.

All of them run on the event loop of the stand-ins, whose lag is measured: a
late caller or stand-in would look like a late entry.
"""

import asyncio
import contextlib
import math
import random
import time
from typing import Sequence

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_trials.edge import demandscene
from dunlintide_trials.edge import scene as scenes

__all__ = [
    'Flow',
    'Lag',
    'RequestRecord',
    'run_flows',
]

# Time without an event after which a caller gives up, in seconds.
SILENCE_SECONDS = 2.0
# Time within which a caller expects its stream to end, in seconds; the same as
# the deadline that it sends.
DEADLINE_SECONDS = 8.0
# Fraction of the time left for which a caller waits when told to return.
MAX_PAUSE_FRACTION = 1 / 3
# Time between two samples of the lag, in seconds.
LAG_SAMPLE_SECONDS = 0.01
# Limits of the lag above which a run is not valid, in seconds: a tenth and a
# half of ``demandscene.TARGET_SECONDS``.
MAX_USUAL_LAG_SECONDS = 0.05
MAX_LAG_SECONDS = 0.25
# Quantile of the lags that is limited by ``MAX_USUAL_LAG_SECONDS``.
USUAL_SHARE = 0.99
# HTTP status of a refused request.
REFUSED = 503


@attrs.frozen
class Flow:
    """Requests of one kind of caller.

    :ivar rate: requests per second
    :ivar entries: entries that they are sent to, in any order
    :ivar keys: API keys, one of which each request has
    :ivar spread: largest deviation of the length of a stream from the usual
        one, as a part of it
    """

    kind: str
    priority: int
    rate: float
    entries: tuple[scenes.Entry, ...]
    keys: tuple[str, ...]
    spread: float = 0.0


@attrs.define
class RequestRecord:
    """A request as its caller saw it, over both attempts.

    :ivar events: events that it asked for
    :ivar due: time of its first attempt after the start, in seconds
    :ivar status: status of its last attempt, 0 without one
    :ivar refusals: attempts that were refused
    :ivar first_event: seconds from its first attempt to its first event, None
        without one
    :ivar ended: time of its end after the start, in seconds
    """

    kind: str
    name: str
    due: float
    events: int = demandscene.EVENTS
    status: int = 0
    refusals: int = 0
    first_event: float | None = None
    is_complete: bool = False
    ended: float = 0.0

    @property
    def is_in_time(self) -> bool:
        """Whether it was complete and its first event within the target."""
        return (
            self.is_complete
            and self.first_event is not None
            and self.first_event <= demandscene.TARGET_SECONDS
        )


@attrs.frozen
class Lag:
    """Lag of the event loop that runs callers and stand-ins, in seconds.

    :ivar usual: lag that 0.99 of the samples do not exceed
    """

    usual: float
    longest: float

    @classmethod
    def from_samples(cls, lags: Sequence[float]) -> 'Lag':
        """Summarize the lags of an event loop."""
        ordered = sorted(lags)
        return cls(ordered[int(len(ordered) * USUAL_SHARE)], ordered[-1])

    @property
    def is_acceptable(self) -> bool:
        """Whether callers and stand-ins were on time."""
        return (
            self.usual <= MAX_USUAL_LAG_SECONDS
            and self.longest <= MAX_LAG_SECONDS
        )


async def _sample_lags(lags: list[float]) -> None:
    """Append lags of the running event loop in seconds until cancelled."""
    while True:
        due = time.monotonic() + LAG_SAMPLE_SECONDS
        await asyncio.sleep(LAG_SAMPLE_SECONDS)
        lags.append(max(0.0, time.monotonic() - due))


def _build(flow: Flow, record: RequestRecord, attempt: str, key: str) -> bytes:
    """Build a request that is recognized when it is sent again.

    :param attempt: id of the attempt, which begins with the entry's name
    """
    return callers.build_request(
        attempt,
        f'/p{flow.priority}/x',
        body=record.name.encode(),
        key=key,
        Model='m0',
        Token_Count=f'100,{record.events}',
        Prefix_Hash=f'5c:50,own-{record.name}:50',
        Deadline_Ms=str(int(DEADLINE_SECONDS * 1000)),
    )


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict]:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    rows = (line.partition(':') for line in rest)
    headers = {name.lower(): value.strip() for name, _, value in rows}
    return int(first.split()[1]), headers


async def _read_events(
    reader: asyncio.StreamReader, record: RequestRecord, began: float
) -> bool:
    """Read a chunked stream of events.

    :param began: monotonic time of the first attempt, in seconds
    :returns: whether it was complete
    """
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
        if record.first_event is None and b'\n\n' in body:
            record.first_event = time.monotonic() - began
    return body.count(b'\n\n') == record.events


async def _send(
    entry: scenes.Entry, data: bytes, record: RequestRecord, began: float
) -> float:
    """Send one attempt and read its answer.

    :param began: monotonic time of the first attempt, in seconds
    :returns: Retry-After in seconds, 0 without one
    """
    host, _, port = entry.listen.rpartition(':')
    async with contextlib.AsyncExitStack() as stack:
        # Only the wait for the head is limited by the silence time-out, as the
        # events of healthy engines follow each other much faster.
        limit = await stack.enter_async_context(
            asyncio.timeout(SILENCE_SECONDS)
        )
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.transport.abort)
        writer.write(data)
        record.status, headers = await _read_head(reader)
        if record.status != 200:
            return float(headers.get('retry-after', 0.0))
        limit.reschedule(asyncio.get_running_loop().time() + DEADLINE_SECONDS)
        record.is_complete = await _read_events(reader, record, began)
    return 0.0


async def _ask(
    flow: Flow, record: RequestRecord, start: float, rng: random.Random
) -> None:
    """Send a request, and once more at another entry when it is refused."""
    began = start + record.due
    entries = list(flow.entries)
    rng.shuffle(entries)
    key = rng.choice(flow.keys)
    part = rng.uniform(1.0 - flow.spread, 1.0 + flow.spread)
    record.events = round(demandscene.EVENTS * part)
    for attempt in range(2):
        pause = 0.0
        record.status = 0
        entry = entries[attempt % len(entries)]
        name = f'{entry.name}.{record.name}-{attempt}'
        data = _build(flow, record, name, key)
        with contextlib.suppress(OSError, ValueError, EOFError, TimeoutError):
            pause = await _send(entry, data, record, began)
        if record.status != REFUSED:
            break
        record.refusals += 1
        left = began + DEADLINE_SECONDS - time.monotonic()
        if attempt == 0:
            await asyncio.sleep(min(pause, left * MAX_PAUSE_FRACTION))
    record.ended = time.monotonic() - start


def _draw_times(
    rate: float, seconds: float, rng: random.Random, ramp: float = 0.0
) -> list[float]:
    """Draw the times of arrivals that are independent of each other.

    Their number is fixed, so that the load is the same with each seed.

    :param ramp: time at the start in which the rate rises from 0, in seconds
    """
    rising = [
        ramp * math.sqrt(rng.random()) for _ in range(round(rate * ramp / 2))
    ]
    count = round(rate * (seconds - ramp))
    return sorted(rising + [rng.uniform(ramp, seconds) for _ in range(count)])


async def _send_flows(
    flows: Sequence[Flow],
    seconds: float,
    ramp: float,
    tail: float,
    seed: str,
    records: list[RequestRecord],
) -> None:
    """Send the requests of all flows.

    The load goes on until the callers of the given time have left, so that
    those that return meet the same load as before.
    """
    arrivals = []
    for flow in flows:
        rng = random.Random(f'{seed}/{flow.kind}')
        arrivals += [
            (at, flow, random.Random(rng.random()))
            for at in _draw_times(flow.rate, seconds, rng, ramp)
        ]
        # Drawn separately, so that the load before does not depend on it.
        arrivals += [
            (seconds + at, flow, random.Random(rng.random()))
            for at in _draw_times(flow.rate, tail, rng)
        ]
    arrivals.sort(key=lambda each: each[0])
    start = time.monotonic()
    tasks, awaited = [], set()
    for at, flow, rng in arrivals:
        await asyncio.sleep(max(0.0, start + at - time.monotonic()))
        if at >= seconds and all(task.done() for task in awaited):
            break
        record = RequestRecord(flow.kind, f'{seed}.{len(records)}', at)
        records.append(record)
        tasks.append(asyncio.ensure_future(_ask(flow, record, start, rng)))
        if at < seconds:
            awaited.add(tasks[-1])
    await asyncio.gather(*awaited)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _run(
    flows: Sequence[Flow],
    seconds: float,
    ramp: float,
    tail: float,
    seed: str,
) -> tuple[list[RequestRecord], Lag]:
    records: list[RequestRecord] = []
    lags: list[float] = []
    sampler = asyncio.ensure_future(_sample_lags(lags))
    try:
        await _send_flows(flows, seconds, ramp, tail, seed, records)
    finally:
        sampler.cancel()
    return records, Lag.from_samples(lags)


def run_flows(
    scene: scenes.Scene,
    flows: Sequence[Flow],
    seconds: float,
    ramp: float,
    tail: float,
    seed: str,
) -> tuple[list[RequestRecord], Lag]:
    """Send the requests of all flows, and wait until their callers left.

    :param seconds: time in which requests arrive that are waited for
    :param ramp: time at its start in which the rates rise, in seconds
    :param tail: maximum time for which others arrive beside them, in seconds
    :param seed: seed of the arrivals, and part of the names of requests
    :returns: all requests, those of the tail included
    """
    work = _run(flows, seconds, ramp, tail, seed)
    longest = seconds + tail + 2 * DEADLINE_SECONDS
    future = asyncio.run_coroutine_threadsafe(work, scene.loop.loop)
    return future.result(longest)
