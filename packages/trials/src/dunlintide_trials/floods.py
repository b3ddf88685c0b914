"""Load generator that floods entries with requests from its own process.

Usage: ``python -m dunlintide_trials.floods`` with a ``Plan`` as JSON on
standard input. After the planned time it prints the number of responses by
error code or outcome as JSON.
"""

import collections
import contextlib
import json
import random
import subprocess
import sys
import threading
import time
from typing import Any, Iterator

import attrs

from dunlintide_trials import client

__all__ = ['Flood', 'Plan', 'main']

_READ_SECONDS = 30.0
_DRAIN_SECONDS = 5.0
_STOP_SECONDS = 30.0


@attrs.frozen
class Plan:
    """Parameters of a flood.

    :ivar urls: URLs of entries, assigned to connections in turn
    :ivar keys: bearer keys, assigned to connections in turn
    :ivar model: model of the completions
    :ivar connections: maximum number of concurrent requests
    :ivar rate: requests per second while a connection is free
    :ivar seconds: duration of the flood
    :ivar prompt_words: words in each prompt
    :ivar max_tokens: tokens that each completion generates
    :ivar claims: whether each request has an idempotency key
    :ivar read_seconds: read timeout of a response in seconds
    """

    urls: tuple[str, ...]
    keys: tuple[str, ...]
    model: str
    connections: int
    rate: float
    seconds: float
    prompt_words: int = 6
    max_tokens: int = 16
    claims: bool = False
    read_seconds: float = _READ_SECONDS


class _Schedule:
    """Schedules requests at a fixed rate and skips missed ones.

    :ivar count: requests that were scheduled
    """

    def __init__(self, rate: float, seconds: float) -> None:
        self._lock = threading.Lock()
        self._interval = 1.0 / rate
        self._next = time.monotonic()
        self._end = self._next + seconds
        self.count = 0

    def wait(self) -> int | None:
        """Wait until the next request is due.

        :returns: number of the request, None after the end of the flood
        """
        with self._lock:
            due = max(self._next, time.monotonic())
            self._next = due + self._interval
            self.count += 1
            count = self.count
        if due >= self._end:
            return None
        time.sleep(max(0.0, due - time.monotonic()))
        return count


def _name_result(answer: client.Answer) -> str:
    return answer.code or answer.outcome


def _run(
    plan: Plan,
    number: int,
    schedule: _Schedule,
    counts: collections.Counter[str],
) -> None:
    url = plan.urls[number % len(plan.urls)]
    key = plan.keys[number % len(plan.keys)]
    caller = client.Caller(url, key, read_seconds=plan.read_seconds)
    rng = random.Random(number)
    while (count := schedule.wait()) is not None:
        words = (f'{count}-{word}' for word in range(plan.prompt_words))
        answer = caller.complete(
            ' '.join(words),
            model=plan.model,
            max_tokens=plan.max_tokens,
            stream=rng.random() < 0.5,
            idempotency_key=f'flood-{count}' if plan.claims else None,
        )
        # Each thread has a counter of its own, so no lock is needed.
        counts[_name_result(answer)] += 1
    caller.close()


def main() -> None:
    """Run the flood that is described on standard input."""
    plan = Plan(**json.load(sys.stdin))
    schedule = _Schedule(plan.rate, plan.seconds)
    counts: list[collections.Counter[str]] = []
    threads = []
    for number in range(plan.connections):
        counts.append(collections.Counter())
        thread = threading.Thread(
            target=_run, args=(plan, number, schedule, counts[-1]), daemon=True
        )
        thread.start()
        threads.append(thread)
    end = time.monotonic() + plan.seconds + _DRAIN_SECONDS
    for thread in threads:
        thread.join(max(0.0, end - time.monotonic()))
    total = sum(counts, collections.Counter())
    total['open at the end'] = sum(one.is_alive() for one in threads)
    print(json.dumps(total), flush=True)


@attrs.define
class Flood:
    """Handle to the process of a flood.

    :ivar counts: responses by error code or outcome, set after the end
    """

    process: subprocess.Popen
    counts: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    @contextlib.contextmanager
    def start(cls, plan: Plan) -> Iterator['Flood']:
        """Start a flood and wait for its end on leaving the context."""
        process = subprocess.Popen(
            (sys.executable, '-m', 'dunlintide_trials.floods'),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        flood = cls(process)
        try:
            process.stdin.write(json.dumps(attrs.asdict(plan)))
            process.stdin.close()
            yield flood
            flood.counts = flood._read()
        finally:
            process.kill()
            process.wait()

    def _read(self) -> dict[str, Any]:
        self.process.wait(_STOP_SECONDS)
        return json.loads(self.process.stdout.read() or '{}')


if __name__ == '__main__':
    main()
