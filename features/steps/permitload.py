"""Steps that simulate load on rate-limited endpoints in virtual time."""

import heapq
import itertools
import random

import behave
from dunlintide_core.pipeline import permits
from dunlintide_core.pipeline import ratelimits
from dunlintide_trials.edge import windows

ENDPOINT = 'runner-1'
# Offered load as a multiple of the limit.
OVERLOAD = 3.0
END_SECONDS = 24.0
# Range of message delays.
DELAY_SECONDS = (0.0002, 0.002)
# Time for which a request tries to get a permit.
REQUEST_SECONDS = 1.0
DOWN_SECONDS = 1.0


class Network:
    """Entries that exchange messages in virtual time."""

    def __init__(self, count, limit, loss, seed):
        self.draw = random.Random(seed)
        self.loss = loss
        self.limit = limit
        self.now = 0.0
        self.names = [f'entry-{number}' for number in range(count)]
        self.entries = {name: self.make_entry(name) for name in self.names}
        self.sent = []
        self._order = itertools.count()
        self._events = []

    def make_entry(self, name):
        limits = ratelimits.RateLimits()
        limits.record(ENDPOINT, self.limit, self.now, self.now)
        entry = permits.Permits(name, limits, self.draw)
        for other in self.names:
            entry.add_member(other)
        return entry

    def schedule(self, at, work, *arguments):
        heapq.heappush(self._events, (at, next(self._order), work, arguments))

    def send(self, sends):
        for receiver, message in sends:
            if self.draw.random() >= self.loss:
                at = self.now + self.draw.uniform(*DELAY_SECONDS)
                self.schedule(at, self.deliver, receiver, message)

    def deliver(self, receiver, message):
        entry = self.entries.get(receiver)
        if entry is not None:
            self.send(entry.receive(message, self.now))

    def arrive(self, name, expires):
        """Let a request try to get a permit until it expires."""
        entry = self.entries.get(name)
        if entry is not None:
            self.advance(name, entry, entry.open(ENDPOINT, self.now), expires)

    def advance(self, name, entry, ticket, expires):
        if self.entries.get(name) is not entry:
            return
        if ticket.verdict is None:
            self.send(entry.advance(ticket, self.now))
        if ticket.is_granted:
            self.sent.append((self.now, name))
        elif ticket.verdict is None:
            # Polls for the answer every 2 ms, up to the time of the next try.
            at = min(ticket.due, self.now + 0.002)
            self.schedule(at, self.wait, name, entry, ticket, expires)
        elif self.now + ticket.pause < expires:
            self.schedule(self.now + ticket.pause, self.arrive, name, expires)

    def wait(self, name, entry, ticket, expires):
        if ticket.verdict is None and self.now < ticket.due:
            at = min(ticket.due, self.now + 0.002)
            self.schedule(at, self.wait, name, entry, ticket, expires)
        else:
            self.advance(name, entry, ticket, expires)

    def restart(self, name):
        """Kill an entry and start it with empty state after DOWN_SECONDS."""
        del self.entries[name]
        self.schedule(self.now + DOWN_SECONDS, self.start, name)

    def start(self, name):
        self.entries[name] = self.make_entry(name)

    def load(self, weights):
        """Schedule requests until END_SECONDS over the weighted entries."""
        at = 0.0
        while at < END_SECONDS:
            at += self.draw.expovariate(self.limit * OVERLOAD)
            name = self.draw.choices(self.names, weights)[0]
            self.schedule(at, self.arrive, name, at + REQUEST_SECONDS)

    def run(self):
        while self._events and self._events[0][0] < END_SECONDS:
            self.now, _, work, arguments = heapq.heappop(self._events)
            work(*arguments)

    def coordinator(self):
        entry = next(iter(self.entries.values()))
        return entry.choose_coordinator(ENDPOINT, self.now)

    def count_most(self):
        """Count the requests in the busiest window after stabilisation."""
        since = windows.STABLE_SECONDS
        return windows.count_max_requests(
            at for at, _ in self.sent if at >= since
        )

    def measure_use(self):
        """Return the used fraction of the limit after stabilisation."""
        since = windows.STABLE_SECONDS
        times = [at for at, _ in self.sent if at >= since]
        return len(times) / (self.limit * (END_SECONDS - since))


def _make_weights(count, spread):
    if spread == 'even':
        return [1.0] * count
    return [1.0 / (rank + 1) ** 2 for rank in range(count)]


@behave.given('{count:d} entries that lose {loss:f} of their messages')
def make_network(context, count, loss):
    context.count = count
    context.loss = loss


@behave.when(
    'load of three times a limit of {limit:f} a second comes in {spread}'
    ' parts, and the coordinator restarts {restarts:d} times'
)
def play(context, limit, spread, restarts):
    context.networks = []
    for seed in range(3):
        network = Network(context.count, limit, context.loss, seed)
        network.load(_make_weights(context.count, spread))
        for number in range(restarts):
            at = 8.0 + 5.0 * number
            network.schedule(at, lambda n=network: n.restart(n.coordinator()))
        network.run()
        context.networks.append(network)


@behave.then('no window holds more than the limit allows')
def check_windows(context):
    for seed, network in enumerate(context.networks):
        allowed = windows.compute_max_requests(network.limit)
        most = network.count_most()
        assert most <= allowed, f'seed {seed}: {most} of {allowed}'


@behave.then('{part:f} of the limit is used or more')
def check_use(context, part):
    uses = [round(each.measure_use(), 3) for each in context.networks]
    assert min(uses) >= part, uses
