"""Steps for failover, outlier ejection and the retry budget."""

import behave
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import failover
from dunlintide_core.pipeline import retrybudget
import edge_settings


@behave.given('a run that may be silent for {target:f} s')
def allow_silence(context, target):
    context.limits = failover.choose_limits(target, None)


@behave.then(
    'after {silence:f} s of silence it is judged again at {limit:f} s'
)
def check_judged_again(context, silence, limit):
    unclear = failover.Evidence.UNCLEAR
    judgement = failover.decide(silence, context.limits, unclear)
    assert not judgement.should_move
    assert abs(judgement.limit - limit) < 1e-9, judgement


@behave.then(
    'after {silence:f} s of silence, once few engines are suspected, it is'
    ' moved'
)
def check_moved_early(context, silence):
    suspects = failover.Evidence.SUSPECTS
    judgement = failover.decide(silence, context.limits, suspects)
    assert judgement.should_move
    assert judgement.limit > silence


@behave.then(
    'after {silence:f} s of silence it is moved, whatever is suspected'
)
def check_moved(context, silence):
    for evidence in failover.Evidence:
        assert failover.decide(silence, context.limits, evidence).should_move


def get_health(context):
    if not hasattr(context, 'health'):
        context.health = endpointhealth.EndpointHealth()
    return context.health


@behave.when('engine "x" refuses a request at {at:f}')
def refuse(context, at):
    get_health(context).record_refusal('x', at)


@behave.when('work moves through it at {at:f}')
def report_progress(context, at):
    get_health(context).report_progress('x', at)


@behave.when(
    'another entry reports an ejection of "x" at {first:f} and at {second:f}'
)
def receive_ejections(context, first, second):
    get_health(context).receive_ejection('x', first)
    get_health(context).receive_ejection('x', second)


@behave.then('it is expected to refuse at {at:f}')
def check_refusing(context, at):
    assert context.health.expects_refusal('x', at)


@behave.then('it is not expected to refuse at {at:f}')
def check_accepting(context, at):
    assert not context.health.expects_refusal('x', at)


@behave.then('it is left out at {at:f}')
def check_left_out(context, at):
    assert not context.health.is_usable('x', at)


@behave.then('it is in use at {at:f}')
def check_in_use(context, at):
    assert context.health.is_usable('x', at)


@behave.then('other entries are told of it at {first:f}, and not at {then:f}')
def check_told(context, first, then):
    assert context.health.list_ejected(first) == ['x']
    assert context.health.list_ejected(then) == []


@behave.then('other entries are not told of it at {at:f}')
def check_not_told(context, at):
    assert context.health.list_ejected(at) == []


@behave.when('engine "{name}", far from full, refuses a request at {now:f}')
def refuse_roomy(context, name, now):
    context.name = name
    get_health(context).record_refusal(name, now, True)


@behave.when('a request sent to it at {sent:f} runs')
def accept(context, sent):
    context.health.record_accepted([context.name], sent)


@behave.when(
    'another entry tells at {first:f} and at {second:f} that "{name}" goes on'
    ' refusing'
)
def receive_refusals(context, first, second, name):
    context.name = name
    for now in (first, second):
        get_health(context).receive_refusing(name, now)


@behave.then('other entries are told at {now:f} that it goes on refusing')
def check_refusing_told(context, now):
    assert context.health.list_refusing(now) == [context.name]


@behave.then('other entries are not told at {now:f} that it goes on refusing')
def check_refusing_untold(context, now):
    assert not context.health.list_refusing(now)


@behave.given(
    'a retry budget of {count:d} in a window, all of which may be used'
)
def make_budget(context, count):
    context.budget = retrybudget.RetryBudget(
        0.0, count / retrybudget.SLACK_FRACTION, 10.0
    )


@behave.then('{count:d} fresh requests get a retry and the next does not')
def spend_fresh(context, count):
    got = [context.budget.spend(1.0, False) for _ in range(count + 1)]
    assert got == [True] * count + [False], got


@behave.then('{count:d} streams under way still get one and the next does not')
def spend_under_way(context, count):
    got = [context.budget.spend(1.0, True) for _ in range(count + 1)]
    assert got == [True] * count + [False], got


@behave.then('it has accepted nothing for {seconds:f} s at {now:f}')
def check_measured(context, seconds, now):
    measured = context.health.get_refusing_seconds(context.name, now)
    assert abs(measured - seconds) < 1e-9, measured


@behave.then(
    'the budget grants exactly the retries that it reports, to either'
)
def check_said(context):
    # If can_spend() allowed what spend() denies, a waiting request would
    # wake up at once and retry in a busy loop.
    for under_way in (True, False):
        budget = retrybudget.RetryBudget(
            0.0, 10 / retrybudget.SLACK_FRACTION, 10.0
        )
        for _ in range(11):
            said = budget.can_spend(1.0, under_way)
            assert budget.spend(1.0, under_way) is said
        assert not said


@behave.given('endpoints of a service that hold the layers "{layers}"')
def hold_layers(context, layers):
    context.state = edge_settings.make_state(edge_settings.SilentLog())
    for number, text in enumerate(layers.split()):
        start, _, end = text.replace('none', '0-0').partition('-')
        context.state.apply_endpoint(
            endpoints.Endpoint(
                str(number),
                f'127.0.0.1:{number + 1}',
                's',
                'a',
                4,
                start=int(start),
                end=int(end),
            )
        )


def _eject_each(context, is_certain):
    for name in list(context.state.endpoints):
        context.state.eject([name], 'a test', is_certain=is_certain)


@behave.when('each of them in turn seems to have failed')
def doubt_each(context):
    _eject_each(context, False)


@behave.when('each of them in turn has failed for certain')
def fail_each(context):
    _eject_each(context, True)


@behave.then('endpoints "{left}" are still in use')
def check_left(context, left):
    used = [each.name for each in context.state.list_endpoints('s')]
    assert sorted(used) == left.split(), used


@behave.then('no endpoint is in use')
def check_none_left(context):
    assert not context.state.list_endpoints('s')
