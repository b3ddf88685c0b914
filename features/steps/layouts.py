"""Steps for choosing the layers that each engine holds."""

import behave
from dunlintide_core.pipeline import layout
from hypothesis import strategies
import pipeline_scene

FLEETS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from('abc'),
        strategies.sampled_from(sorted(pipeline_scene.CARDS)),
    ),
    min_size=1,
    max_size=20,
)


def make_empty(rows):
    return [
        pipeline_scene.make_engine(f'e{index}', (0, 0), domain, kind)
        for index, (domain, kind) in enumerate(rows)
    ]


@behave.then('no layout holds more than a card takes')
def check_layout_size(context):
    def check(rows):
        for each in layout.plan_new(
            pipeline_scene.PROFILE, (), make_empty(rows)
        ):
            held = each.end - each.start
            most = pipeline_scene.PROFILE.count_max_layers(each.endpoint.kind)
            assert 0 < held <= most
            assert 0 <= each.start < each.end <= pipeline_scene.LAYERS

    pipeline_scene.repeat(check, FLEETS)


@behave.then('every domain whose cards can hold the model holds it whole')
def check_whole(context):
    def check(rows):
        placed = layout.plan_new(pipeline_scene.PROFILE, (), make_empty(rows))
        for domain in 'abc':
            held = [each for each in placed if each.endpoint.domain == domain]
            total = sum(each.end - each.start for each in held)
            covered = set()
            for each in held:
                covered.update(range(each.start, each.end))
            # Layer ranges of unequal accelerators may overlap, by at most
            # the smaller range.
            if (
                total
                >= pipeline_scene.LAYERS
                + pipeline_scene.PROFILE.count_max_layers('large')
            ):
                assert len(covered) == pipeline_scene.LAYERS, placed

    pipeline_scene.repeat(check, FLEETS)


@behave.then('an engine that comes back gets what its domain lacks')
def check_return(context):
    placed = layout.plan_new(
        pipeline_scene.PROFILE, (), make_empty([('a', 'large')] * 3)
    )
    for lost in placed:
        rest = [each for each in placed if each is not lost]
        (again,) = layout.plan_new(
            pipeline_scene.PROFILE, rest, [lost.endpoint]
        )
        covered = set()
        for each in [*rest, again]:
            covered.update(range(each.start, each.end))
        assert len(covered) == pipeline_scene.LAYERS, (rest, again)


@behave.given('a layout of "{domain}" with {count:d} cards of kind "{kind}"')
def make_layout(context, domain, count, kind):
    context.placed = layout.plan_new(
        pipeline_scene.PROFILE, (), make_empty([(domain, kind)] * count)
    )
    context.placed = [
        layout.Placement(
            pipeline_scene.make_engine(
                each.endpoint.name, (each.start, each.end), domain
            ),
            each.start,
            each.end,
        )
        for each in context.placed
    ]


def list_held(placed):
    held = set()
    for each in placed:
        held.update(range(each.start, each.end))
    return held


def plan_moves(placed):
    names = {each.endpoint.name for each in placed}
    return layout.plan_moves(
        pipeline_scene.PROFILE, placed, names, lambda name: 0.0
    )


@behave.when('any one of its engines leaves')
def lose_engine(context):
    context.rests = [
        [each for each in context.placed if each is not lost]
        for lost in context.placed
    ]


@behave.then('moves of spare engines make the domain whole again')
def check_moves(context):
    moved = 0
    for rest in context.rests:
        moves = plan_moves(rest)
        moved += len(moves)
        names = {move.endpoint.name for move in moves}
        after = [each for each in rest if each.endpoint.name not in names]
        assert len(list_held([*after, *moves])) == pipeline_scene.LAYERS, (
            rest,
            moves,
        )
    assert moved, 'no loss needed a move'


@behave.then('without a loss nothing moves')
def check_no_moves(context):
    assert not plan_moves(context.placed)
