"""Steps for an entry that gets most new connections, with real entries."""

import contextlib
import random
import threading
import time

import behave
from dunlintide_standins.fleet import callers

# Share of new connections that go to one entry.
CROWD_SHARE = 0.9
PAUSE_SECONDS = 0.05
STREAM_EVENTS = 10
# Part of the earlier share that must be served.
LEAST_PART = 0.75


def _ask(entry, name, is_stream):
    """Return whether a request got a complete answer, None if unread."""
    try:
        caller = callers.Caller(entry.listen)
    except OSError:
        return None
    with contextlib.closing(caller):
        try:
            if is_stream:
                caller.send(callers.build_stream(name, STREAM_EVENTS))
            else:
                caller.send(callers.build_request(name, '/lists/x'))
            answer = caller.read_answer()
        except (OSError, ValueError, IndexError):
            return False
    return answer.status == 200 and answer.is_complete


def _run(context, count, seconds, share):
    """Return the time and the result of each request that was read."""
    entries = context.scene.entries
    end = time.monotonic() + seconds
    served = []

    def call(index):
        rng = random.Random(index)
        number = 0
        while time.monotonic() < end:
            number += 1
            entry = rng.choice(entries)
            if rng.random() < share:
                entry = entries[0]
            sent = time.monotonic()
            name = f'{entry.name}.w{count}-{index}-{number}'
            result = _ask(entry, name, rng.random() < 0.5)
            if result is not None:
                served.append((sent, result))
            time.sleep(PAUSE_SECONDS)

    threads = [
        threading.Thread(target=call, args=(index,)) for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return served


def _compute_share(served):
    return sum(result for _, result in served) / max(1, len(served))


@behave.when(
    '{count:d} callers open a connection for each request for {seconds:d} s'
)
def run_even(context, count, seconds):
    context.before = _run(context, count, seconds, 0.0)


@behave.when(
    '{count:d} callers then open most of them to one entry for {seconds:d} s'
)
def run_crowded(context, count, seconds):
    context.crowded_at = time.monotonic()
    context.crowded = _run(context, count, seconds, CROWD_SHARE)


@behave.then(
    'from {seconds:d} s on at least three quarters as many are served at the'
    ' first try'
)
def check_served(context, seconds):
    since = context.crowded_at + seconds
    late = [each for each in context.crowded if each[0] >= since]
    before, after = _compute_share(context.before), _compute_share(late)
    assert len(context.before) >= 20 and len(late) >= 20
    assert after >= LEAST_PART * before, (before, after, len(late))
