"""Steps for stream events that arrive split across reads."""

import behave
from dunlintide_daemon.gateway import events
from hypothesis import strategies
import pipeline_scene


def make_events(first, last):
    return [
        b'id: %d\ndata: piece %d\n\n' % (number, number)
        for number in range(first, last + 1)
    ]


def cut(data, places):
    marks = [0, *sorted(place % (len(data) + 1) for place in places)]
    marks.append(len(data))
    return [data[a:b] for a, b in zip(marks, marks[1:])]


def relay(sequence, pieces):
    splitter = events.EventSplitter()
    passed = []
    for piece in pieces:
        whole = splitter.split(piece)
        fresh, intact = sequence.filter_new(whole)
        assert intact
        passed.append(fresh)
    return b''.join(passed)


UNNAMED = b'data: no id\n\n'
PLACES = strategies.lists(strategies.integers(0, 10_000), max_size=12)


@behave.then('any cut of a stream into pieces passes the same events')
def check_pieces(context):
    def check(count, places):
        data = b''.join(make_events(1, count))
        sequence = events.EventSequence(None)
        assert relay(sequence, cut(data, places)) == data
        assert sequence.count == count

    pipeline_scene.repeat(check, strategies.integers(0, 20), PLACES)


@behave.then('a second run that overlaps the first adds only what is new')
def check_overlap(context):
    def check(places, end, start):
        sequence = events.EventSequence(None)
        first = b''.join(make_events(1, end)) + b'id: 99\nda'
        got = relay(sequence, cut(first, places))
        second = b''.join(make_events(min(start, end + 1), 20))
        got += relay(sequence, cut(second, places))
        assert got == b''.join(make_events(1, 20)), got

    pipeline_scene.repeat(
        check, PLACES, strategies.integers(1, 19), strategies.integers(1, 20)
    )


@behave.then('events without an id pass in their place in a run')
def check_unnamed(context):
    def check(places, count, named):
        pieces = make_events(1, count)
        for place in named:
            pieces.insert(place % (count + 1), UNNAMED)
        data = b''.join(pieces)
        sequence = events.EventSequence(None)
        got = relay(sequence, cut(data, places)) + sequence.take_rest()
        assert got == data, got

    pipeline_scene.repeat(
        check,
        PLACES,
        strategies.integers(1, 10),
        strategies.lists(strategies.integers(0, 10), max_size=4),
    )


@behave.then('an event without an id of a run that broke off does not')
def check_broken_unnamed(context):
    sequence = events.EventSequence(None)
    first = [*make_events(1, 3), UNNAMED]
    got = relay(sequence, first)
    sequence.begin_run()
    second = [UNNAMED, *make_events(3, 4), UNNAMED]
    got += relay(sequence, second) + sequence.take_rest()
    assert got == b''.join([*make_events(1, 4), UNNAMED]), got


@behave.then('a second run that begins too late is noticed')
def check_missing(context):
    sequence = events.EventSequence(None)
    sequence.filter_new(b''.join(make_events(1, 3)))
    _, intact = sequence.filter_new(b''.join(make_events(5, 6)))
    assert not intact
    assert sequence.last_id == '3'


@behave.then('an event whose id has 5,000 digits is first or follows none')
def check_long_id(context):
    event = b'id: %b\ndata: x\n\n' % (b'9' * 5000)
    assert events.EventSequence(None).filter_new(event) == (event, True)
    assert events.EventSequence('3').filter_new(event) == (b'', False)
    assert events.EventSequence('9' * 5000).filter_new(event) == (b'', True)
