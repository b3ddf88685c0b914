"""Steps for endpoint health that dozens of entries share."""

import random

import behave
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import failover
from dunlintide_daemon.gateway import gossipmessages
import msgspec

TARGET = 0.6
DEATH = 10.0
TICK_SECONDS = 0.005
# Interval between two messages of an entry, in seconds; each entry starts at
# a random offset.
MESSAGE_SECONDS = 0.15
PARTS = 5
# Range of the interval between two events of a stream, in seconds; the upper
# bound is a forward pass on a slow accelerator.
PERIOD_SECONDS = (0.04, 0.1)


class Stream:
    """A stream whose events stop when an engine of its chain dies."""

    def __init__(self, names, draw, waits=False):
        self.names = names
        self.period = draw.uniform(*PERIOD_SECONDS)
        self.next_event = float('inf') if waits else DEATH - 1.0 + self.period
        self.last_event = DEATH
        self.has_events = False
        self.moved_at = None


class Entry:
    """An entry's streams and its record of endpoint health."""

    def __init__(self, streams, draw):
        self.streams = streams
        self.health = endpointhealth.EndpointHealth()
        self.next_message = DEATH - 1.0 + draw.uniform(0.0, MESSAGE_SECONDS)
        self.ejected = set()

    def step(self, now, dead):
        for stream in self.streams:
            if stream.moved_at is not None:
                continue
            if now >= stream.next_event and not (
                now >= DEATH and dead in stream.names
            ):
                self.record_event(stream, now)
            limits = failover.choose_limits(TARGET, TARGET)
            if now - stream.last_event >= limits.suspected:
                self.check_stall(stream, limits, now)

    def record_event(self, stream, now):
        stream.last_event, stream.next_event = now, now + stream.period
        if not stream.has_events:
            stream.has_events = True
            self.health.record_accepted(stream.names, now)
        self.health.report_progress(stream.names, now)

    def check_stall(self, stream, limits, now):
        health = self.health
        since = failover.choose_stall_start(stream.last_event, now)
        suspects = health.find_ejected(
            stream.names, now
        ) or health.find_suspects(stream.names, since, now, stream.has_events)
        still = health.find_stalled(stream.names, since)
        evidence = failover.classify_evidence(suspects, still)
        if not failover.decide(
            now - stream.last_event, limits, evidence
        ).should_move:
            return
        stream.moved_at = now
        health.record_finished(stream.names, stream.has_events)
        for name in suspects:
            health.eject(name, now)
            self.ejected.add(name)

    def send_message(self, others, now):
        if now < self.next_message:
            return
        self.next_message += MESSAGE_SECONDS
        flows = self.health.list_progress_ages(now)
        for other in others:
            if other is self:
                continue
            for name, age in flows.items():
                other.health.receive_progress(name, now - age, now)
            for name in self.health.list_ejected(now):
                other.health.receive_ejection(name, now)


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
def simulate(context, seconds):
    now = DEATH - 1.0
    while now < DEATH + seconds:
        for entry in context.entries:
            entry.step(now, context.dead)
            entry.send_message(context.entries, now)
        now += TICK_SECONDS


def list_streams(context):
    return [each for entry in context.entries for each in entry.streams]


@behave.then('no engine is left out and no stream is moved')
def check_calm(context):
    ejected = [entry.ejected for entry in context.entries]
    assert not any(ejected), ejected
    assert all(each.moved_at is None for each in list_streams(context))


@behave.then('it is left out by an entry, and no other engine by any')
def check_left_out(context):
    found = set().union(*(entry.ejected for entry in context.entries))
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
        if each.moved_at is not None
        and each.moved_at - each.last_event <= seconds + TICK_SECONDS
    ]
    assert len(hit) > 3, hit
    assert len(soon) >= part * len(hit), [
        each.moved_at and each.moved_at - each.last_event for each in hit
    ]


@behave.then('no other stream is moved')
def check_others(context):
    for each in list_streams(context):
        assert each.moved_at is None or context.dead in each.names, each.names


@behave.given('an entry with one stream that waits through engine "x"')
def make_one(context):
    context.health = endpointhealth.EndpointHealth()
    context.health.report_progress('abcd', 9.0)


@behave.when(
    'another entry\'s stream flowed through "x" until {end:f} and then ended'
)
def flow(context, end):
    for count in range(4):
        received_at = end - count * MESSAGE_SECONDS
        context.health.receive_progress(
            'x', received_at - max(PERIOD_SECONDS), received_at
        )


@behave.then('nothing is suspected from {start:f} to {end:f}')
def check_unsuspected(context, start, end):
    now = start
    while now < end:
        for silence in (0.36, 0.5):
            since = failover.choose_stall_start(now - silence, now)
            found = context.health.find_suspects('abcdx', since, now, False)
            assert not found, (found, now)
        now += TICK_SECONDS


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


def _make_message():
    use = (7, 1, 1, 40)
    return gossipmessages.Message('e', 1, [use], [5], [], [], [], [], [12])


@behave.then('a message without removals is as long as before')
def check_length(context):
    message = _make_message()
    sent = gossipmessages.encode(gossipmessages.add_removals(message, []))
    assert sent == msgspec.msgpack.encode(message)
    assert gossipmessages.decode(sent).ok_value.removed == []


@behave.then('older decoders pass over removals, and read the rest')
def check_removals(context):
    message = _make_message()
    sent = gossipmessages.encode(gossipmessages.add_removals(message, [9]))
    assert gossipmessages.decode(sent).ok_value.removed == [9]
    older = msgspec.msgpack.decode(sent, type=gossipmessages.Message)
    assert older == message, older
