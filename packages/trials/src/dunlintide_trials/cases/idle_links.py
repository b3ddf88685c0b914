"""Processor time and memory of links without requests, at both ends.

Such links carry pings and load reports.
"""

from multiprocessing import connection
import statistics
import threading
import time
from typing import Iterator

import attrs
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import reports
from dunlintide_trials import childprocesses
from dunlintide_trials import figures

__all__ = ['CASES', 'GROUP', 'Usage', 'measure']

GROUP = 'links'

LINKS = (8, 16, 24, 32)
# Links of an entry in a deployment of the intended size.
_ENTRY_LINKS = 30
_SECONDS = 8.0
_REPORTED_REQUESTS = 10
_START_SECONDS = 30.0
_SETTLE_SECONDS = 2.0
# Far above the budget of 3.7%, as the machine also runs other work.
_CPU_BOUND = 0.12
_KB = 1e3


@attrs.frozen
class Usage:
    """Resources that a process used.

    :ivar cores: processor time as a share of a core
    :ivar resident: resident memory in bytes
    :ivar threads: number of threads
    """

    cores: float
    resident: int
    threads: int


def _ignore(*_) -> None:
    pass


def _run_agent(
    pipe: connection.Connection, folder: str | None, running: int
) -> None:
    """Act as an agent that accepts links and reports its load on them."""
    handlers = links.Handlers(_ignore, _ignore, _ignore)
    hello = link_pb2.Hello(name='agent', role='agent', incarnation=1)
    transport = childprocesses.open_transport(folder, 'agent', 'agent')
    server = linkserver.LinkServer(
        '127.0.0.1:0', lambda: hello, handlers, transport=transport
    )
    load = link_pb2.Load(running=running, cap=64, kv_usage=0.5)
    report_filter = reports.ReportFilter()
    with linkserver.serve(server):
        pipe.send(server.port)
        while not pipe.poll(1.0):
            if not report_filter.admit(load, time.monotonic()):
                continue
            for link in server.links():
                link.send(link_pb2.Frame(load=load))


def _run_entry(
    pipe: connection.Connection, port: int, count: int, folder: str | None
) -> None:
    """Act as an entry that dials agents, all of them at one port."""
    up = threading.Semaphore(0)
    handlers = links.Handlers(lambda link: up.release(), _ignore, _ignore)
    hello = link_pb2.Hello(name='entry', role='entry', incarnation=1)
    transport = childprocesses.open_transport(folder, 'entry', 'entry')
    dialers = [
        links.Dialer(
            f'127.0.0.1:{port}',
            lambda: hello,
            handlers,
            transport=transport,
            role='agent',
        )
        for _ in range(count)
    ]
    for dialer in dialers:
        dialer.start()
    for _ in dialers:
        if not up.acquire(timeout=_START_SECONDS):
            raise TimeoutError(
                f'a link was not up within {_START_SECONDS:.0f} s'
            )
    pipe.send(count)
    pipe.recv()
    for dialer in dialers:
        dialer.stop()


def measure(
    count: int, folder: str | None = None, running: int = 0
) -> tuple[Usage, Usage]:
    """Return the usage of the dialling and of the accepting process.

    :param count: number of idle links
    :param folder: folder with the certificates of both processes, None for
        no TLS
    :param running: requests that the accepting side reports as running
    """
    with (
        childprocesses.start_process(_run_agent, folder, running) as accepting,
        childprocesses.start_process(
            _run_entry, accepting.first_message, count, folder
        ) as dialling,
    ):
        both = [dialling, accepting]
        time.sleep(_SETTLE_SECONDS)
        before = [each.read_cpu_seconds() for each in both]
        start = time.monotonic()
        time.sleep(_SECONDS)
        spent = time.monotonic() - start
        dialled, accepted = (
            Usage(
                (each.read_cpu_seconds() - earlier) / spent,
                each.process.memory_info().rss,
                each.process.num_threads(),
            )
            for each, earlier in zip(both, before)
        )
    return dialled, accepted


def _describe(case: str, running: int) -> Iterator[figures.Figure]:
    measured = [measure(count, running=running) for count in LINKS]
    for side, name in enumerate(('dialled', 'accepted')):
        usages = [pair[side] for pair in measured]
        cores = statistics.linear_regression(
            LINKS, [each.cores for each in usages]
        )
        memory = statistics.linear_regression(
            LINKS, [each.resident for each in usages]
        )
        listed = ', '.join(
            f'{each.cores:.4f} at {count}'
            for count, each in zip(LINKS, usages)
        )
        yield figures.at_most(
            f'{case}.{name}',
            round(cores.intercept + cores.slope * _ENTRY_LINKS, 4),
            'cores',
            _CPU_BOUND,
            note=f'line at {_ENTRY_LINKS} links: {listed}',
        )
        yield figures.plain(
            f'{case}.{name}.slope',
            round(cores.slope, 6),
            'cores',
            note='for one link more',
        )
        yield figures.plain(
            f'{case}.{name}.memory',
            round(memory.slope / _KB, 1),
            'kB',
            note=f'for one link more; threads at {LINKS[-1]}: '
            f'{usages[-1].threads}',
        )


def measure_idle() -> Iterator[figures.Figure]:
    """Measure idle links to an agent without work."""
    yield from _describe('links.idle', 0)


def measure_reported() -> Iterator[figures.Figure]:
    """Measure idle links to an agent that runs requests of others."""
    yield from _describe('links.reported', _REPORTED_REQUESTS)


CASES = [measure_idle, measure_reported]
