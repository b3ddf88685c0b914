"""Callers that send one request after the other to entries."""

import contextlib
import threading
import time
from typing import Sequence

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_trials.edge import scene as scenes

__all__ = [
    'Call',
    'find_entry',
    'run_callers',
]


@attrs.frozen
class Call:
    """A request and its answer as the caller saw them.

    :ivar name: id of the request
    :ivar sent: monotonic time of the request, in seconds
    :ivar ended: monotonic time of the end of the answer, in seconds
    """

    name: str
    sent: float
    ended: float
    answer: callers.Answer


def find_entry(name: str) -> str:
    """Return the name of the entry that got a request.

    :param name: id of the request
    """
    return name.partition('.')[0]


def _call_until(
    entry: scenes.Entry,
    prefix: str,
    path: str | None,
    end: float,
    max_pause: float,
    calls: list[Call],
) -> None:
    number = 0
    while time.monotonic() < end:
        number += 1
        name = f'{entry.name}.{prefix}-{number}'
        sent = time.monotonic()
        with contextlib.closing(callers.Caller(entry.listen)) as caller:
            if path is None:
                caller.send(callers.build_stream(name, 3))
            else:
                caller.send(callers.build_request(name, path))
            answer = caller.read_answer()
        calls.append(Call(name, sent, time.monotonic(), answer))
        pause = float(answer.headers.get('retry-after', 0.0))
        time.sleep(min(pause, max_pause))


def run_callers(
    entries: Sequence[scenes.Entry],
    path: str | None,
    seconds: float,
    count: int = 12,
    max_pause: float = 0.5,
) -> list[Call]:
    """Run callers for some seconds, spread over the entries.

    :param path: path of their calls, None for short streams
    :param count: number of callers
    :param max_pause: longest pause of a caller that got a Retry-After, in
        seconds
    """
    calls: list[Call] = []
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=_call_until,
            args=(
                entries[index % len(entries)],
                f'c{index}',
                path,
                end,
                max_pause,
                calls,
            ),
        )
        for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return calls
