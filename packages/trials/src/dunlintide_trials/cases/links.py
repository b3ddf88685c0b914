"""Batching of the steps of many sessions on one slow link.

Each session sends its next step when the token of the previous one
arrives, as in decoding. A relay delays both directions and limits the
bytes per second. The baseline sends one step per message, while tokens are
batched as usual.
"""

import contextlib
import threading
import time
from typing import Iterator

import attrs

from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import packing
from dunlintide_adapters.wire import link_pb2
from dunlintide_standins import relay
from dunlintide_trials import figures

__all__ = ['CASES']

SESSIONS = 1000
DELAY_SECONDS = 0.02
BYTES_PER_SECOND = 1_000_000
ACTIVATION_BYTES = 8
WARM_UP_SECONDS = 2.0
WINDOW_SECONDS = 4.0
_WAIT_SECONDS = 10.0


@attrs.define
class _Counts:
    """Messages and frames that arrived at the later stage."""

    messages: int = 0
    frames: int = 0

    def minus(self, other: '_Counts') -> '_Counts':
        return _Counts(
            self.messages - other.messages, self.frames - other.frames
        )


def _make_hello(name: str) -> link_pb2.Hello:
    return link_pb2.Hello(name=name, role='agent', incarnation=1)


def _make_step(session: str) -> link_pb2.Frame:
    step = link_pb2.Step(
        request_id=session,
        epoch=1,
        stage=1,
        count=1,
        activations=bytes(ACTIVATION_BYTES),
    )
    return link_pb2.Frame(step=step)


def _make_token(session: str) -> link_pb2.Frame:
    return link_pb2.Frame(token=link_pb2.Token(request_id=session, epoch=1))


def _serve(counts: _Counts) -> linkserver.LinkServer:
    def handle_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        counts.messages += 1
        counts.frames += len(frames)
        for frame in frames:
            link.send(_make_token(frame.step.request_id))

    handlers = links.Handlers(
        lambda link: None, handle_frames, lambda link, why: None
    )
    return linkserver.LinkServer(
        '127.0.0.1:0', lambda: _make_hello('b'), handlers
    )


def _dial(port: int, batch_bytes: int, up: threading.Event) -> links.Dialer:
    def begin(link: links.Link) -> None:
        for number in range(SESSIONS):
            link.send(_make_step(f'session-{number}'))
        up.set()

    def handle_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        for frame in frames:
            link.send(_make_step(frame.token.request_id))

    handlers = links.Handlers(begin, handle_frames, lambda link, why: None)
    # Pings queue behind steps, so a short timeout would break the link.
    timing = links.LinkTiming(silence=_WAIT_SECONDS)
    return links.Dialer(
        f'127.0.0.1:{port}',
        lambda: _make_hello('a'),
        handlers,
        timing,
        batch_bytes,
    )


def _run(batch_bytes: int) -> _Counts:
    """Count the messages and frames that arrive in the window."""
    counts = _Counts()
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(linkserver.serve(_serve(counts)))
        between = relay.Relay('127.0.0.1:0', f'127.0.0.1:{server.port}')
        stack.callback(between.stop)
        between.shape(delay=DELAY_SECONDS, rate=BYTES_PER_SECOND)
        up = threading.Event()
        dialer = _dial(between.port, batch_bytes, up)
        dialer.start()
        stack.callback(dialer.stop)
        if not up.wait(_WAIT_SECONDS):
            raise RuntimeError(
                f'the link was not up within {_WAIT_SECONDS:.0f} s'
            )
        time.sleep(WARM_UP_SECONDS)
        before = attrs.evolve(counts)
        time.sleep(WINDOW_SECONDS)
        return attrs.evolve(counts).minus(before)


def measure_batching() -> Iterator[figures.Figure]:
    """Measure the steps per message and the rate of steps."""
    batched = _run(packing.BATCH_BYTES)
    unbatched = _run(1)
    where = (
        f'{SESSIONS} sessions, {DELAY_SECONDS * 1000:.0f} ms each way, '
        f'{BYTES_PER_SECOND / 1000:.0f} kB/s; baseline: one step a message'
    )
    yield figures.plain(
        'links.batching.frames_per_message',
        round(batched.frames / batched.messages, 2),
        '1',
        round(unbatched.frames / unbatched.messages, 2),
        where,
    )
    yield figures.at_least(
        'links.batching.rate',
        round(batched.frames / WINDOW_SECONDS),
        'steps/s',
        round(unbatched.frames / WINDOW_SECONDS),
        round(unbatched.frames / WINDOW_SECONDS),
        where,
    )


CASES = [measure_batching]
