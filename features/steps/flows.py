"""Steps for endpoint health that dozens of entries share."""

import random

import behave
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import failover
from dunlintide_daemon.gateway import gossipmessages
import msgspec

TARGET = 0.6
DEATH = 10.0
TICK = 0.005
# Interval between two messages of an entry, in seconds; each entry starts at
# a random offset.
MESSAGES = 0.15
PARTS = 5
# Range of the interval between two events of a stream, in seconds; the upper
# bound is a forward pass on a slow accelerator.
PERIODS = (0.04, 0.1)


class Stream:
    """A stream whose events stop when an engine of its chain dies."""

    def __init__(self, names, draw, waits=False):
        self.names = names
        self.period = draw.uniform(*PERIODS)
        self.next = float('inf') if waits else DEATH - 1.0 + self.period
        self.moved = DEATH
        self.flows = False
        self.left = None


class Entry:
    """An entry's streams and its record of endpoint health."""

    def __init__(self, streams, draw):
        self.streams = streams
        self.belief = endpointhealth.EndpointHealth()
        self.next_message = DEATH - 1.0 + draw.uniform(0.0, MESSAGES)
        self.left_out = set()

    def step(self, now, dead):
        for stream in self.streams:
            if stream.left is not None:
                continue
            if now >= stream.next and not (
                now >= DEATH and dead in stream.names
            ):
                self.move(stream, now)
            limits = failover.choose_limits(TARGET, TARGET)
            if now - stream.moved >= limits.suspected:
                self.judge(stream, limits, now)

    def move(self, stream, now):
        stream.moved, stream.next = now, now + stream.period
        if not stream.flows:
            stream.flows = True
            self.belief.record_accepted(stream.names, now)
        self.belief.report_progress(stream.names, now)

    def judge(self, stream, limits, now):
        belief = self.belief
        since = failover.choose_stall_start(stream.moved, now)
        suspects = belief.find_ejected(
            stream.names, now
        ) or belief.find_suspects(stream.names, since, now, stream.flows)
        still = belief.find_stalled(stream.names, since)
        evidence = failover.classify_evidence(suspects, still)
        if not failover.decide(
            now - stream.moved, limits, evidence
        ).should_move:
            return
        stream.left = now
        belief.record_finished(stream.names, stream.flows)
        for name in suspects:
            belief.eject(name, now)
            self.left_out.add(name)

    def tell(self, others, now):
        if now < self.next_message:
            return
        self.next_message += MESSAGES
        flows = self.belief.list_progress_ages(now)
        for other in others:
            if other is self:
                continue
            for name, age in flows.items():
                other.belief.receive_progress(name, now - age, now)
            for name in self.belief.list_ejected(now):
                other.belief.receive_ejection(name, now)


def choose_names(draw, engines):
    """Choose a random replica for each part of the model."""
    copies = engines // PARTS
    return [f'e{part}-{draw.randrange(copies)}' for part in range(PARTS)]


@behave.given(
    '{entries:d} entries with {streams:d} streams each over {engines:d}'
    ' engines of one failure domain'
)
def make_entries(context, entries, streams, engines):
    context.draw = random.Random(7)
    context.engines = engines
    context.dead = None
    context.entries = [
        Entry(
            [
                Stream(choose_names(context.draw, engines), context.draw)
                for _ in range(streams)
            ],
            context.draw,
        )
        for _ in range(entries)
    ]


@behave.given('a stream of each entry that waits for its first event')
def add_waiting(context):
    for entry in context.entries:
        names = choose_names(context.draw, context.engines)
        entry.streams.append(Stream(names, context.draw, waits=True))


@behave.when('the engine most in use dies')
def kill(context):
    used = [
        name
        for entry in context.entries
        for stream in entry.streams
        for name in stream.names
    ]
    context.dead = max(sorted(set(used)), key=used.count)


@behave.when('{seconds:f} s pass')
def play(context, seconds):
    now = DEATH - 1.0
    while now < DEATH + seconds:
        for entry in context.entries:
            entry.step(now, context.dead)
            entry.tell(context.entries, now)
        now += TICK


def list_streams(context):
    return [each for entry in context.entries for each in entry.streams]


@behave.then('no engine is left out and no stream is moved')
def check_calm(context):
    left_out = [entry.left_out for entry in context.entries]
    assert not any(left_out), left_out
    assert all(each.left is None for each in list_streams(context))


@behave.then('it is left out by an entry, and no other engine by any')
def check_left_out(context):
    found = set().union(*(entry.left_out for entry in context.entries))
    assert found == {context.dead}, (found, context.dead)


@behave.then(
    'at least {part:f} of the streams through it are moved within'
    ' {seconds:f} s'
)
def check_moved(context, part, seconds):
    hit = [
        each for each in list_streams(context) if context.dead in each.names
    ]
    soon = [
        each
        for each in hit
        if each.left is not None and each.left - each.moved <= seconds + TICK
    ]
    assert len(hit) > 3, hit
    assert len(soon) >= part * len(hit), [
        each.left and each.left - each.moved for each in hit
    ]


@behave.then('no other stream is moved')
def check_others(context):
    for each in list_streams(context):
        assert each.left is None or context.dead in each.names, each.names


@behave.given('an entry with one stream that waits through engine "x"')
def make_one(context):
    context.belief = endpointhealth.EndpointHealth()
    context.belief.report_progress('abcd', 9.0)


@behave.when(
    'another entry\'s stream flowed through "x" until {end:f} and then ended'
)
def flow(context, end):
    for count in range(4):
        told = end - count * MESSAGES
        context.belief.receive_progress('x', told - max(PERIODS), told)


@behave.then('nothing is suspected from {start:f} to {end:f}')
def check_unsuspected(context, start, end):
    now = start
    while now < end:
        for silence in (0.36, 0.5):
            since = failover.choose_stall_start(now - silence, now)
            found = context.belief.find_suspects('abcdx', since, now, False)
            assert not found, (found, now)
        now += TICK


@behave.then(
    'ages of moves pass between entries, and older decoders pass over them'
)
def check_format(context):
    class Older(msgspec.Struct, array_like=True):
        sender: str
        version: int
        usages: list[tuple[int, int, int, int]] | None
        leaving: list[int]
        doubted: list[int]
        broken: list[tuple[str, str]]
        refused: list[int]
        refusing: list[int] = []

    use = (7, 1, 1, 40)
    message = gossipmessages.Message('e', 1, [use], [], [], [], [], [], [12])
    data = msgspec.msgpack.encode(message)
    read = msgspec.msgpack.decode(data, type=gossipmessages.Message)
    assert read.ages == [12]
    assert msgspec.msgpack.decode(data, type=Older).usages == [use]
    old = msgspec.msgpack.encode(Older('e', 1, [use], [], [], [], []))
    assert msgspec.msgpack.decode(old, type=gossipmessages.Message).ages == []
    fewer = msgspec.msgpack.encode(message)
    assert len(fewer) <= len(old) + 4
