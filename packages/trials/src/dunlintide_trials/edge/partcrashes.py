"""Streams with parts that crash engines beside sound ones, and checks."""

import contextlib
import itertools
import threading
import time
from typing import Callable, Iterable, Sequence

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners
from dunlintide_trials.edge import scene as scenes

__all__ = [
    'BOUND_CRASHES',
    'MAX_LATE',
    'STABLE_SECONDS',
    'Prompt',
    'SentStream',
    'compute_whole_share',
    'find_settled',
    'list_late_sends',
    'run_streams',
]

# Crashes by a part after which its requests must be kept from engines.
BOUND_CRASHES = 5
# How long after that crash entries in touch may go on, in seconds.
STABLE_SECONDS = 3.0
# Requests that may reach engines later, from all entries together.
MAX_LATE = 3
# Events of a stream.
EVENTS = 20
# Longest pause after a Retry-After, in seconds.
MAX_PAUSE_SECONDS = 0.3

IsExcused = Callable[[str, float, float], bool]


def _never(entry: str, first: float, last: float) -> bool:
    return False


@attrs.frozen
class Prompt:
    """Which requests a caller sends.

    :ivar parts: shared parts; one of each item's alternatives in turn
    :ivar is_sound: whether none of its parts crashes engines
    :ivar pause: time between two requests, in seconds
    """

    parts: tuple[tuple[str, ...], ...]
    is_sound: bool
    pause: float = 0.05
    key: str = operators.KEY


@attrs.frozen
class SentStream:
    """A stream as its caller saw it.

    :ivar sent: monotonic time, in seconds
    :ivar looks_complete: whether its answer ended as announced
    :ivar is_whole: whether it got a complete answer with all events
    """

    name: str
    sent: float
    is_sound: bool
    status: int
    looks_complete: bool
    is_whole: bool


def _send(entry: scenes.Entry, name: str, prompt: Prompt, number: int):
    """Send one stream.

    :returns: it as its caller saw it, and the Retry-After in seconds
    """
    # No two requests are alike: the last part and the body are their own.
    shared = [choices[number % len(choices)] for choices in prompt.parts]
    parts = (*shared, f'own-{name}')
    body = f'prompt {name}'.encode()
    sent = time.monotonic()
    status, looks_complete, is_whole, pause = 0, False, False, 0.0
    with contextlib.suppress(OSError, ValueError, IndexError):
        with contextlib.closing(callers.Caller(entry.listen)) as caller:
            data = callers.build_stream(name, EVENTS, parts, body, prompt.key)
            caller.send(data)
            answer = caller.read_answer()
            status = answer.status
            looks_complete = status == 200 and answer.is_complete
            is_whole = looks_complete and answer.body.count(b'\n\n') == EVENTS
            pause = float(answer.headers.get('retry-after', 0.0))
    found = SentStream(
        name, sent, prompt.is_sound, status, looks_complete, is_whole
    )
    return found, pause


def run_streams(
    entries: Sequence[scenes.Entry],
    prompts: Sequence[Prompt],
    seconds: float,
    delay: float = 0.0,
) -> list[SentStream]:
    """Run a caller for each prompt, which changes entries at each request.

    :param delay: seconds after which those that are not sound begin
    """
    sent: list[SentStream] = []
    end = time.monotonic() + seconds

    def call(index: int, prompt: Prompt) -> None:
        if not prompt.is_sound:
            time.sleep(delay)
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            entry = entries[(index + number) % len(entries)]
            name = f'{entry.name}.p{index}-{number}'
            found, pause = _send(entry, name, prompt, number)
            sent.append(found)
            time.sleep(max(prompt.pause, min(pause, MAX_PAUSE_SECONDS)))

    threads = [
        threading.Thread(target=call, args=each) for each in enumerate(prompts)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sent


def _list_crash_times(fleet: runners.Fleet) -> dict[str, list[float]]:
    """List the times of crashes in order, by the part that caused them."""
    times: dict[str, list[float]] = {}
    for crash in fleet.part_crashes:
        times.setdefault(crash.part, []).append(crash.at)
    return times


def list_late_sends(
    fleet: runners.Fleet,
    find_entry: Callable[[str], str],
    is_excused: IsExcused = _never,
) -> dict[str, list[str]]:
    """List the requests that reached engines too long after the fifth crash.

    :param find_entry: returns the entry that got a request, by its id
    :returns: ids of the requests by crashing part
    """
    late: dict[str, list[str]] = {}
    for part, crashes in _list_crash_times(fleet).items():
        if len(crashes) < BOUND_CRASHES:
            continue
        bound = crashes[BOUND_CRASHES - 1] + STABLE_SECONDS
        late[part] = [
            each.name
            for runner in fleet.runners
            for each in runner.received
            if part in each.parts
            and each.at > bound
            and not is_excused(
                find_entry(each.name), each.at - STABLE_SECONDS, each.at
            )
        ]
    return late


def find_settled(fleet: runners.Fleet) -> float:
    """Return the time from which sound streams are to be served again.

    :returns: monotonic time in seconds, infinite without a crash
    """
    settled = [
        crashes[:BOUND_CRASHES][-1] + 2 * STABLE_SECONDS
        for crashes in _list_crash_times(fleet).values()
    ]
    return max(settled, default=float('inf'))


def compute_whole_share(
    sent: Iterable[SentStream], first: float, last: float
) -> tuple[float, int]:
    """Compute which share of sound streams was whole at the first try.

    :param first: monotonic time from which streams count, in seconds
    :param last: the time up to which they count
    :returns: the share, and how many streams count
    """
    counted = [
        each.is_whole
        for each in sent
        if each.is_sound and first <= each.sent < last
    ]
    return sum(counted) / max(1, len(counted)), len(counted)
