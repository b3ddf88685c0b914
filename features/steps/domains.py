"""Steps for entries that learn the usage of other domains late."""

import random

import behave
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import occupancy
from dunlintide_trials import engineload

PROFILE = engineload.PROFILE
TOKENS = PROFILE.usual_prompt + PROFILE.usual_answer
# Seconds between an entry's usage messages, within its failure domain and
# to other domains.
LOCAL_INTERVAL = 0.15
REMOTE_INTERVAL = 5.0
STREAM_SECONDS = 1.5


def get_cache_capacity(engine):
    return PROFILE.get_cache_capacity(engine.kind, engine.end - engine.start)


class Entry:
    """An entry with its own view of the usage of engines."""

    def __init__(self, name, domain, draw):
        self.name = name
        self.domain = domain
        self.occupancy = occupancy.Occupancy()
        self.due = {
            True: draw.uniform(0.0, LOCAL_INTERVAL),
            False: draw.uniform(0.0, REMOTE_INTERVAL),
        }

    def publish_usage(self, entries, now):
        for near, pause in ((True, LOCAL_INTERVAL), (False, REMOTE_INTERVAL)):
            if now < self.due[near]:
                continue
            self.due[near] += pause
            usages = {
                name: occupancy.Usage(use.sequences, use.started, use.cache)
                for name, use in self.occupancy.list_own().items()
            }
            for other in entries:
                same = other.domain == self.domain
                if other is not self and same == near:
                    other.occupancy.set_remote(self.name, usages, now)


class EngineMemory:
    """The actual memory of engines; refuses chains that do not fit."""

    def __init__(self, engines):
        self.rooms = {each.name: get_cache_capacity(each) for each in engines}

    def admit(self, hops):
        needs = {
            hop.endpoint.name: TOKENS * (hop.end - hop.start) for hop in hops
        }
        if any(self.rooms[name] < need for name, need in needs.items()):
            return False
        self.change(needs, -1)
        return True

    def change(self, needs, sign):
        for name, need in needs.items():
            self.rooms[name] += sign * need

    def release(self, hops):
        for hop in hops:
            self.rooms[hop.endpoint.name] += TOKENS * (hop.end - hop.start)


@behave.given(
    '{count:d} engines in {domains:d} failure domains and {entries:d} entries'
    ' in each'
)
def make_domains(context, count, domains, entries):
    context.draw = random.Random(5)
    load = engineload.EngineLoad.from_size(count, domains)
    context.engines, context.choices = load.engines, load.table
    context.domains = sorted(load.table.domains)
    context.entries = [
        Entry(f'{domain}/{index}', domain, context.draw)
        for domain in context.domains
        for index in range(entries)
    ]
    # The layer with the least memory bounds the streams of a domain.
    context.stream_capacities = {
        domain: min(
            sum(
                get_cache_capacity(each) / (each.end - each.start)
                for each in context.engines
                if each.domain == domain and each.start <= layer < each.end
            )
            for layer in range(PROFILE.layers)
        )
        / TOKENS
        for domain in context.domains
    }


def simulate(context, seconds, rates):
    """Simulate arriving streams at ``rates`` per second, by domain."""
    context.served_locally = context.served_remotely = 0
    context.refused = context.lost = 0
    engines = EngineMemory(context.engines)
    ends = []
    now = 0.0
    step = 0.01
    while now < seconds:
        while ends and ends[0][0] <= now:
            _, entry, hops, held = ends.pop(0)
            engines.release(hops)
            entry.occupancy.release(held)
        for entry in context.entries:
            entry.publish_usage(context.entries, now)
            entry.occupancy.expire(now)
            local = [e for e in context.entries if e.domain == entry.domain]
            rate = rates[entry.domain] / len(local)
            if context.draw.random() < rate * step:
                arrive(context, engines, entry, now, ends)
        now += step


def arrive(context, engines, entry, now, ends):
    demand = chains.Demand(
        PROFILE.usual_prompt, PROFILE.usual_answer, TOKENS, entry.domain
    )
    unusable = set()
    for _ in range(3):
        hops = context.choices.choose(demand, entry.occupancy.usages, unusable)
        if hops is None:
            break
        if engines.admit(hops):
            held = entry.occupancy.reserve(
                hops, TOKENS, chains.list_pipes(hops)
            )
            ends.append((now + STREAM_SECONDS, entry, hops, held))
            domains = {hop.endpoint.domain for hop in hops}
            if domains == {entry.domain}:
                context.served_locally += 1
            else:
                context.served_remotely += 1
            return
        context.refused += 1
        unusable.update(hop.endpoint.name for hop in hops)
    context.lost += 1


@behave.when(
    'streams arrive for {seconds:d} s at {part:f} of what their domains hold'
)
def arrive_evenly(context, seconds, part):
    rates = {
        domain: part * held / STREAM_SECONDS
        for domain, held in context.stream_capacities.items()
    }
    simulate(context, seconds, rates)


@behave.when('streams of one domain come at {part:f} of what it holds')
def arrive_at_one(context, part):
    rates = {
        domain: 0.2 * held / STREAM_SECONDS
        for domain, held in context.stream_capacities.items()
    }
    first = context.domains[0]
    rates[first] = part * context.stream_capacities[first] / STREAM_SECONDS
    simulate(context, 8, rates)


@behave.then("at least {part:f} of the chains stay in their caller's domain")
def check_stays(context, part):
    served = context.served_locally + context.served_remotely
    assert context.served_locally >= part * served, (
        context.served_locally,
        served,
    )


@behave.then('engines refuse less than {part:f} of the sends')
def check_refused(context, part):
    sends = context.served_locally + context.served_remotely + context.refused
    assert context.refused < part * sends, (context.refused, sends)


@behave.then('at least {part:f} of them are served, some in other domains')
def check_served(context, part):
    served = context.served_locally + context.served_remotely
    total = served + context.lost
    assert served >= part * total, (served, total)
    assert context.served_remotely, served
