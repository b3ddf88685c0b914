"""Steps for the detection and avoidance of slow engines."""

import behave
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import paces
import overload


@behave.when('{part:d} in {whole:d} of its engines turn {pace:d} times slower')
def slow_some(context, part, whole, pace):
    context.paces = {
        engine.name: float(pace)
        for index, engine in enumerate(context.engines)
        if index % whole < part
    }


@behave.when('{count:d} usual streams arrive in it')
def arrive(context, count):
    table = chaintable.ChainTable.from_engines(
        overload.PROFILE, context.engines
    )
    context.occupancy = occupancy.Occupancy()
    context.chains = []
    for _ in range(count):
        hops = table.choose(
            overload.make_demand(),
            context.occupancy.usages,
            paces=context.paces,
        )
        context.occupancy.reserve(hops, overload.TOKENS)
        context.chains.append(hops)


@behave.then('no layer that a sound engine holds runs on a slow one')
def check_sound(context):
    slow = context.paces
    sound = {
        layer
        for engine in context.engines
        if engine.name not in slow
        for layer in range(engine.start, engine.end)
    }
    for hops in context.chains:
        for hop in hops:
            if hop.endpoint.name in slow:
                layers = set(range(hop.start, hop.end))
                assert not layers & sound, (hop, context.engines)


@behave.then(
    'a run of {seconds:f} s an event is slow where usual ones take {usual:f} s'
)
def check_slow(context, seconds, usual):
    assert paces.is_slow_run(seconds, usual)


@behave.then(
    'a run of {seconds:f} s an event is not slow where usual ones take'
    ' {usual:f} s'
)
def check_usual(context, seconds, usual):
    assert not paces.is_slow_run(seconds, usual)


@behave.then("no run is slow while usual ones aren't known")
def check_unknown(context):
    assert not paces.is_slow_run(60.0, None)


@behave.given(
    'two entries that suspect the engines "x", "y" and "z" at {now:f}'
)
def make_two(context, now):
    context.first, context.second = paces.Paces(), paces.Paces()
    context.names = ['x', 'y', 'z']


@behave.then('the first entry asks "x", "y" and "z" at {now:f}')
def check_asked(context, now):
    assert context.first.list_due(context.names, now) == context.names


@behave.then('it asks none of them again at {now:f}')
def check_not_again(context, now):
    assert not context.first.list_due(context.names, now)


@behave.when('they tell it paces of {x:f}, {y:f} and {z:f} at {now:f}')
def report_paces(context, x, y, z, now):
    for name, pace in zip(context.names, (x, y, z)):
        context.first.record(name, pace, now)


@behave.when('the second entry hears of them at {now:f}')
def share_paces(context, now):
    for name, pace in context.first.list_own(now).items():
        context.second.receive(name, pace, now)


@behave.then('the second entry asks none of them at {now:f}')
def check_none(context, now):
    assert not context.second.list_due(context.names, now)


@behave.then('both entries know "{name}" as slow at {now:f}')
def check_both(context, name, now):
    for entry in (context.first, context.second):
        assert list(entry.list_slow(now)) == [name]


@behave.then('only the first entry asks "{name}" again, at {now:f}')
def check_again(context, name, now):
    assert context.first.list_slow_due(now) == [name]
    assert context.second.list_slow_due(now) == []


@behave.then('nobody knows "{name}" as slow at {now:f}')
def check_expired(context, name, now):
    for entry in (context.first, context.second):
        assert name not in entry.list_slow(now)


@behave.given('an entry that knows "{name}" as slow since {now:f}')
def make_knowing(context, name, now):
    context.entry = paces.Paces()
    context.entry.record(name, 5.0, now)


@behave.when('"{name}" tells a pace of {pace:f} at {now:f}')
def report_pace(context, name, pace, now):
    context.entry.record(name, pace, now)


@behave.then('it knows no engine as slow at {now:f}')
def check_no_slow(context, now):
    assert not context.entry.list_slow(now)


@behave.given('an entry that heard that "{name}" is slow at {now:f}')
def make_hearing(context, name, now):
    context.entry = paces.Paces()
    context.entry.receive(name, 5.0, now)


@behave.then('it tells other entries nothing at {now:f}')
def check_silent(context, now):
    assert not context.entry.list_own(now)


@behave.then('it does not ask "{name}" again at {now:f}')
def check_not_asked(context, name, now):
    assert not context.entry.list_slow_due(now)
