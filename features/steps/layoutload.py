"""Steps for layer layouts under the load of several deployments."""

import re

import attrs
import behave
import chaintables
from dunlintide_core.pipeline import demandpeaks
from dunlintide_core.pipeline import layout
from dunlintide_core.pipeline import profiles
from dunlintide_trials import engineload
import overload

CARDS = {
    'a100': profiles.Accelerator('a100', 72_000.0, 2.4, 3.2),
    'l40s': profiles.Accelerator('l40s', 43_200.0, 5.6, 2.7),
    'v100': profiles.Accelerator('v100', 14_400.0, 5.3, 7.9),
    'l4': profiles.Accelerator('l4', 21_600.0, 16.0, 8.2),
}
USUAL_TOKENS = 970


@behave.given(
    'a model of {layers:d} layers of {size:d} MB, whose tokens take'
    ' {token:d} bytes'
)
def make_model(context, layers, size, token):
    context.profile = attrs.evolve(
        overload.PROFILE,
        layers=layers,
        layer_mb=float(size),
        token_bytes=float(token),
        accelerators=CARDS,
        usual_prompt=730,
        usual_answer=USUAL_TOKENS - 730,
    )


def hold(placement):
    return attrs.evolve(
        placement.endpoint, start=placement.start, end=placement.end
    )


def make_placements(engines):
    return [
        layout.Placement(each, each.start, each.end)
        for each in engines
        if each.end > each.start
    ]


def place(context, empty, known=None):
    """Assign layers to empty engines, given those that already hold some."""
    placed = layout.plan_new(
        context.profile, make_placements(context.engines), empty, known
    )
    assert len(placed) == len(empty)
    return list(map(hold, placed))


@behave.given('its failure domain with {cards}')
def make_domain(context, cards):
    context.empty = [
        overload.make_engine(f'{kind}-{index}', kind)
        for count, kind in re.findall(r'(\d+) (\w+)', cards)
        for index in range(int(count))
    ]
    context.engines = []
    context.engines = place(context, context.empty)


def count_holders(engines, layer):
    return sum(each.start <= layer < each.end for each in engines)


def count_least(context, engines):
    layers = range(context.profile.layers)
    return min(count_holders(engines, layer) for layer in layers)


def count_tokens(context, engines):
    """Count the cached tokens that the layer with least room can hold."""

    def measure(layer):
        return sum(
            context.profile.get_cache_capacity(
                each.kind, each.end - each.start
            )
            / (each.end - each.start)
            for each in engines
            if each.start <= layer < each.end
        )

    return min(map(measure, range(context.profile.layers)))


@behave.then(
    'its memory has {copies:d} copies of the model and each layer'
    ' {holders:d} holders'
)
def check_holders(context, copies, holders):
    memory = sum(CARDS[each.kind].memory_mb for each in context.engines)
    whole = context.profile.layers * context.profile.layer_mb
    assert memory >= copies * whole, memory / whole
    least = count_least(context, context.engines)
    assert least >= holders, [
        (each.kind, each.start, each.end) for each in context.engines
    ]


@behave.then('the loss of any one engine leaves room for {streams:d} streams')
def check_rooms(context, streams):
    for lost in context.engines:
        rest = [each for each in context.engines if each is not lost]
        room = count_tokens(context, rest)
        assert room >= streams * USUAL_TOKENS, (lost, room)


def plan_moves(context, steady=True):
    names = {each.name for each in context.engines}
    return layout.plan_moves(
        context.profile,
        make_placements(context.engines),
        names,
        lambda name: 0.0,
        is_stable=steady,
    )


def apply_moves(context, moves):
    held = {each.endpoint.name: hold(each) for each in moves}
    context.engines = [held.get(each.name, each) for each in context.engines]


@behave.when(
    'each engine is replaced, each new one listed before its old one leaves'
)
def replace_all(context):
    context.least = []
    context.loads = 0
    for index, old in enumerate(list(context.engines)):
        old = next(e for e in context.engines if e.name == old.name)
        new = overload.make_engine(f'new-{index}', old.kind)
        context.engines += place(context, [new])
        context.loads += 1
        context.engines = [e for e in context.engines if e is not old]
        context.least.append(count_least(context, context.engines))
        moves = plan_moves(context, steady=False)
        context.loads += len(moves)
        apply_moves(context, moves)


@behave.then('each layer had a holder all the time')
def check_always(context):
    assert min(context.least) >= 1, context.least


@behave.then('each engine loaded layers only once')
def check_loads(context):
    assert context.loads == len(context.empty), context.loads


@behave.when('its streams take {tokens:d} tokens at their peak')
def take_tokens(context, tokens):
    before = context.engines
    context.engines = []
    context.informed = place(context, context.empty, {'a': float(tokens)})
    context.engines = before


def count_layers(engines):
    return sum(each.end - each.start for each in engines)


@behave.then('a new layout holds as many copies as without that knowledge')
def check_same(context):
    informed = count_layers(context.informed)
    assert informed == count_layers(context.engines), informed


@behave.then('a new layout keeps room for {tokens:d} tokens with all engines')
def check_room(context, tokens):
    room = count_tokens(context, context.informed)
    assert room >= tokens, room


@behave.given(
    'streams that take {first:d} tokens from {start:f} s and {peak:d} at'
    ' {at:f} s'
)
def make_streams(context, first, start, peak, at):
    context.tokens = {start: first, at: peak, at + 1.0: first}
    context.at = start


def find_known(context, now):
    """Return the demand peak known at a time, observed every 0.2 s."""
    known = demandpeaks.DemandPeaks()
    tokens = 0
    for step in range(int(now * 5) + 1):
        tokens = context.tokens.get(step / 5, tokens)
        known.observe('a', tokens, step / 5)
    return known.list_peaks().get('a')


@behave.then('nothing is known of their demand at {now:f} s')
def check_unknown(context, now):
    assert find_known(context, now) is None


@behave.then('at {now:f} s it is between {least:d} and {most:d} tokens')
def check_known(context, now, least, most):
    assert least <= find_known(context, now) <= most


@behave.then('at {now:f} s it is less than {most:d} tokens')
def check_faded(context, now, most):
    assert find_known(context, now) < most


@behave.then('no engine of it moves')
def check_still(context):
    assert not plan_moves(context)


@behave.when('an engine is gone without which a layer has one holder')
def lose_one(context):
    for lost in context.engines:
        rest = [each for each in context.engines if each is not lost]
        if count_least(context, rest) == 1:
            context.engines = rest
            return
    raise AssertionError('each layer has three holders')


@behave.then('an engine moves there only once the fleet is steady')
def check_steady(context):
    assert not plan_moves(context, steady=False)
    moves = plan_moves(context, steady=True)
    assert moves
    apply_moves(context, moves)
    assert count_least(context, context.engines) == 2, moves


@behave.then('then none moves any more')
def check_settled(context):
    assert not plan_moves(context)


@behave.given(
    'failure domains "{one}" and "{other}" whose one {kind} holds layers'
    ' {start:d} to {end:d}'
)
def make_pair(context, one, other, kind, start, end):
    context.engines = [
        overload.make_engine(f'alone-{domain}', kind, domain, start, end)
        for domain in (one, other)
    ]


@behave.given('two more in "{domain}" that hold layers {start:d} to {end:d}')
def add_two(context, domain, start, end):
    context.engines += [
        overload.make_engine(f'spare-{index}', 'l40s', domain, start, end)
        for index in range(2)
    ]


@behave.then('no engine moves that alone holds a layer of its domain')
def check_alone_stay(context):
    moves = plan_moves(context)
    assert moves, 'no engine moves to layers that nobody holds'
    for move in moves:
        assert not move.endpoint.name.startswith('alone'), moves


@behave.given(
    '{count:d} engines without layers in {domains:d} failure domains'
)
def make_many(context, count, domains):
    load = engineload.EngineLoad.from_size(count, domains)
    context.many = [
        attrs.evolve(each, start=0, end=0) for each in load.engines
    ]


@behave.then('their layout runs no more than {most:d} lines of code')
def check_lines(context, most):
    spent = chaintables.count_lines(
        lambda: layout.plan_new(engineload.PROFILE, (), context.many)
    )
    assert spent <= most, spent
