"""Steps for the choice of the entry that a configuration is read from."""

import heapq
import random
import re

import behave
from dunlintide_core.pipeline import configurationsources

TOLD = re.compile(r'"(\w+)" in "(\w+)"(?: tells)? version (\d+)')
NOW = 100.0
# Versions before and after, and transfers that an entry serves at a time.
OLD, NEW = 5, 6
TRANSFERS = 2
TRANSFER_SECONDS = 0.1
REFUSAL_SECONDS = 0.005
# Time until what an entry tells arrives, in seconds.
NEWS_SECONDS = 0.03


@behave.given('an entry in "{domain}" with version {version:d}')
def make_entry(context, domain, version):
    context.version = version
    context.sources = configurationsources.ConfigurationSources(
        domain, random.Random(1)
    )


@behave.when('{told} tells version {more}')
def tell(context, told, more):
    text = f'{told} tells version {more}'
    for name, domain, version in TOLD.findall(text):
        context.sources.record(name, domain, int(version))


@behave.when('"{name}" has failed')
def fail(context, name):
    context.sources.record_failure(name, NOW, False)


@behave.then('it asks "{name}"')
def check_choice(context, name):
    found = context.sources.choose(context.version, NOW)
    assert found == name, found


@behave.then(
    'it asks nobody, and somebody again after {least:g} to {most:g} s'
)
def check_wait(context, least, most):
    assert context.sources.choose(context.version, NOW) is None
    wait = context.sources.get_wait(context.version, NOW)
    assert least <= wait <= most, wait
    later = NOW + wait
    assert context.sources.choose(context.version, later) is not None


@behave.then('it asks nobody, and waits for news')
def check_idle(context):
    assert context.sources.choose(context.version, NOW) is None
    assert context.sources.get_wait(context.version, NOW) is None


@behave.given('{count:d} entries of which {first:d} have a new version')
def make_fleet(context, count, first):
    context.count, context.first = count, first


class _Fleet:
    """Entries that read a version from each other, in simulated time."""

    def __init__(self, count, first):
        self.rng = random.Random(7)
        self.versions = [
            NEW if number < first else OLD for number in range(count)
        ]
        self.busy = [0] * count
        self.sources = [
            configurationsources.ConfigurationSources(
                self.name_domain(number), random.Random(number)
            )
            for number in range(count)
        ]
        # Times, numbers that keep their order, and functions to call.
        self.events = []
        self.done_at = 0.0
        self.asking = set()

    @staticmethod
    def name_domain(number):
        return f'd{number % 3}'

    def schedule(self, at, act, *arguments):
        entry = (at, len(self.events), self.rng.random(), act, arguments)
        heapq.heappush(self.events, entry)

    def tell(self, now, teller):
        for number, sources in enumerate(self.sources):
            if number != teller:
                domain = self.name_domain(teller)
                sources.record(str(teller), domain, NEW)
                if self.versions[number] < NEW:
                    self.ask(now, number)

    def ask(self, now, number):
        if self.versions[number] == NEW or number in self.asking:
            return
        sources = self.sources[number]
        name = sources.choose(OLD, now)
        if name is None:
            wait = sources.get_wait(OLD, now)
            if wait is not None:
                self.schedule(now + max(wait, 0.001), self.ask, number)
            return
        self.asking.add(number)
        source = int(name)
        if self.busy[source] >= TRANSFERS:
            self.schedule(now + REFUSAL_SECONDS, self.refuse, number, name)
            return
        self.busy[source] += 1
        self.schedule(now + TRANSFER_SECONDS, self.finish, number, source)

    def refuse(self, now, number, name):
        self.asking.discard(number)
        self.sources[number].record_failure(name, now, True)
        self.ask(now, number)

    def finish(self, now, number, source):
        self.busy[source] -= 1
        self.asking.discard(number)
        self.versions[number] = NEW
        self.done_at = now
        self.schedule(now + NEWS_SECONDS, self.tell, number)

    def run(self, first):
        for number in range(first):
            self.schedule(NEWS_SECONDS, self.tell, number)
        while self.events and OLD in self.versions:
            now, _, _, act, arguments = heapq.heappop(self.events)
            act(now, *arguments)


@behave.when('each entry serves 2 others in 0.1 s and refuses more')
def spread(context):
    context.fleet = _Fleet(context.count, context.first)
    context.fleet.run(context.first)


@behave.then('all have it after {seconds:g} s')
def check_spread(context, seconds):
    assert OLD not in context.fleet.versions
    done_at = context.fleet.done_at
    assert done_at <= seconds, done_at
