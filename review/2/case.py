"""Calls that a stopping entry still accepts are cut off at its end."""

import random
import signal
import threading
import time
import zlib

import attrs
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
import reviewscene

GRACE_SECONDS = reviewscene.BOUNDS['grace_s']
LOSS_SLACK_SECONDS = reviewscene.BOUNDS['loss_slack_ms'] / 1000
# Requests sent up to this long after SIGTERM are excused in the last sixth of
# the grace period.
EXCUSED_SECONDS = 3.0
# The operator's limit of the route, as of case-status in the site file, and
# how long a runner works on a call: half of it.
TIMEOUT_SECONDS = 3.0
WORK_SECONDS = 1.5
RUNNERS = 6
SLOTS = 6
# All clients together send this many calls a second, each on a new connection.
RATE = 16
CLIENTS = 24
# Entries of the zone, and how many are stopped at a time: the site file has
# "roll_term" with x = 2.
ENTRIES = 3
STOPPED = 2
# Rounds of stops, the calm before each, the time until a stopped entry is
# started again, and the length of it all.
ROUNDS = 3
CALM_SECONDS = 6.0
RESTART_SECONDS = 0.5
SECONDS = ROUNDS * (CALM_SECONDS + GRACE_SECONDS + RESTART_SECONDS) + 4.0
# The balancer asks each entry for its readiness, and takes it out after this
# many misses.
PROBE_SECONDS = 1.0
MISSES = 2


@attrs.define
class Sent:
    """A request and what its client saw."""

    name: str
    entry: object
    at: float
    status: int | None = None
    ended: float = 0.0
    whole: bool = False


class Balancer:
    """The platform's balancer of one zone."""

    def __init__(self, scene):
        self.entries = scene.entries
        self.record = scene.record
        self.misses = dict.fromkeys((each.name for each in self.entries), 0)
        self.salt = random.getrandbits(32)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._probe, args=(each,), daemon=True)
            for each in self.entries
        ]
        for each in self.threads:
            each.start()

    def _probe(self, entry):
        while not self.stopped.wait(PROBE_SECONDS):
            ready = entry.is_ready()
            before = self.misses[entry.name]
            self.misses[entry.name] = 0 if ready else before + 1
            if not ready and before + 1 == MISSES:
                self.record.write(f'balancer: {entry.name} out of rotation')
            if ready and before >= MISSES:
                self.record.write(f'balancer: {entry.name} in rotation')

    def choose(self, client):
        """Choose an entry for a new connection, by a hash of the client."""
        rotation = [
            each for each in self.entries if self.misses[each.name] < MISSES
        ]
        if len(rotation) < len(self.entries) / 2:
            rotation = self.entries
        hashed = zlib.crc32(f'{self.salt}/{client}'.encode())
        return rotation[hashed % len(rotation)]


def call(scene, balancer, sent, number):
    """Send one call on a new connection and wait for its end."""
    entry = balancer.choose(number % CLIENTS)
    request = Sent(f'call-{number}', entry, time.monotonic())
    try:
        caller = callers.Caller(entry.front)
    except OSError:
        return
    try:
        caller.send(
            callers.build_request(
                request.name,
                f'/orders/{number}',
                body=b'an order',
                Deadline_Ms=str(int(TIMEOUT_SECONDS * 1000)),
            )
        )
        request.at = time.monotonic()
        sent.append(request)
        answer = caller.read_answer()
        request.status, request.whole = answer.status, answer.is_complete
    except OSError:
        pass
    finally:
        request.ended = time.monotonic()
        caller.close()
    scene.record.write(
        f'client: {request.name} sent {request.at - scene.record.began:.3f} to'
        f' {entry.name}: {request.status or "connection ended, no answer"}'
    )


def send_all(scene, balancer, seconds):
    """Send calls at a steady rate, and return them once all have ended."""
    sent, threads = [], []
    began = time.monotonic()
    for number in range(int(seconds * RATE)):
        time.sleep(max(0.0, began + number / RATE - time.monotonic()))
        thread = threading.Thread(
            target=call, args=(scene, balancer, sent, number), daemon=True
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join(2 * TIMEOUT_SECONDS)
    return sent


def stop(scene, entries):
    """Send SIGTERM, SIGKILL after the grace period, and start again.

    :returns: the time of the SIGTERM
    """
    for entry in entries:
        scene.record.write(f'platform: SIGTERM to {entry.name}')
        entry.send_signal(signal.SIGTERM)
    at = time.monotonic()
    waiting = list(entries)
    while waiting:
        time.sleep(0.01)
        for entry in list(waiting):
            if time.monotonic() - at > GRACE_SECONDS:
                entry.send_signal(signal.SIGKILL)
            if entry.process.poll() is not None:
                elapsed = time.monotonic() - at
                scene.record.write(f'{entry.name} ended after {elapsed:.2f} s')
                waiting.remove(entry)
    time.sleep(RESTART_SECONDS)
    for entry in entries:
        entry.start()
    return at


def roll(scene, stops):
    """Restart the entries, some at a time, round by round.

    :param stops: gets the name of each entry and the time of its SIGTERM
    """
    for number in range(ROUNDS):
        time.sleep(CALM_SECONDS)
        if not reviewscene.is_troubled():
            continue
        chosen = [
            scene.entries[(number + each) % ENTRIES] for each in range(STOPPED)
        ]
        at = stop(scene, chosen)
        stops.extend((entry.name, at) for entry in chosen)


def find_lost(scene, sent, stops):
    """Find requests that were passed on and whose connection was cut."""
    runs = {
        run.request: run
        for fleet in scene.fleets
        for runner in fleet.runners
        for run in runner.runs
    }
    lost = []
    for request in sent:
        took = request.ended - request.at
        if (
            request.status is not None
            or request.name not in runs
            or took <= LOSS_SLACK_SECONDS
            or took >= TIMEOUT_SECONDS
        ):
            continue
        for name, at in stops:
            since = request.at - at
            if (
                name != request.entry.name
                or not EXCUSED_SECONDS < since <= GRACE_SECONDS
            ):
                continue
            lost.append(request)
            run = runs[request.name]
            scene.record.write(
                f'LOST: {request.name} at {name}, sent {since:.3f} s after'
                f' SIGTERM, passed on {run.began - at:.3f} s after it;'
                f' connection ended {request.ended - at:.3f} s after it'
                ' without an answer'
            )
    return lost


def play(scene):
    configuration = operators.make_configuration(7)
    for route in configuration['route_list']:
        if route['prefix'] == '/orders/':
            route['timeout_ms'] = int(TIMEOUT_SECONDS * 1000)
            route['target_latency_ms'] = int(WORK_SECONDS * 1000)
    scene.configure(configuration)
    fleet = scene.add_fleet(
        12, 1000.0, {}, call_seconds=WORK_SECONDS, slots=SLOTS
    )
    for _ in range(RUNNERS):
        scene.run(fleet.add('web', 'a'))
    for number in range(ENTRIES):
        scene.add_entry(f'edge-a-{number + 1}', 'a')
    scene.wait_for_ready()
    time.sleep(reviewscene.BOUNDS['stable_window_ms'] / 1000)
    balancer = Balancer(scene)
    stops = []
    roller = threading.Thread(target=roll, args=(scene, stops), daemon=True)
    roller.start()
    sent = send_all(scene, balancer, SECONDS)
    roller.join()
    balancer.stopped.set()
    served = sum(each.status == 200 for each in sent)
    if served < len(sent) / 2:
        raise RuntimeError(f'only {served} of {len(sent)} calls were served')
    lost = find_lost(scene, sent, stops)
    return (
        not lost,
        f'{len(lost)} of {len(sent)} calls were passed on and their'
        f' connection ended without an answer; {served} were served',
    )


if __name__ == '__main__':
    reviewscene.main(play, __file__)
