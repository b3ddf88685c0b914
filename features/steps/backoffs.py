"""Steps for endpoints that ask for a pause or say that they leave."""

import time

import behave
from dunlintide_trials.edge import backoffs
from dunlintide_trials.edge import loads

WORK = {'service': '/lists/x', 'engine': None}
DRAIN_SECONDS = 2.0
# Time from an endpoint's answer until the entry acts on it, in seconds.
REACTION_SECONDS = 0.05


def _find_one(context, kind):
    scene = context.scene
    if kind == 'service':
        return scene.list_services()[0]
    holders = [each for each in scene.list_engines() if each.layers[0] == 0]
    return min(holders, key=lambda each: each.domain)


@behave.given('calls take {seconds:f} s and endpoints run {slots:d} at once')
def slow_calls(context, seconds, slots):
    scene = context.scene
    scene.fleet.call_seconds = seconds
    scene.fleet.slots = slots
    for runner in scene.list_services():
        scene.run(runner.write_entry())

    def check():
        listed = context.entry.read_state()['endpoints']
        return all(
            each['slots'] == slots for each in listed if not each['kind']
        )

    scene.wait_until(check, 'the entry knows the slots')


@behave.when('one {kind} turns requests away and asks for {seconds:g} s')
def ask_one(context, kind, seconds):
    _ask(context, [_find_one(context, kind)], seconds)


def _ask(context, endpoints, seconds):
    context.asking = endpoints
    for runner in endpoints:
        runner.faults.backoff = (f'{seconds:g}',)


@behave.when('every service turns requests away and asks for {seconds:g} s')
def ask_all(context, seconds):
    _ask(context, context.scene.list_services(), seconds)


@behave.when(
    'every engine with the first layer turns requests away and asks for'
    ' {seconds:g} s'
)
def ask_first_engines(context, seconds):
    engines = context.scene.list_engines()
    firsts = [each for each in engines if each.layers[0] == 0]
    _ask(context, firsts, seconds)


@behave.given('every service turned a call away and asked for {seconds:g} s')
def ask_all_once(context, seconds):
    _ask(context, context.scene.list_services(), seconds)
    assert context.entry.call('turned-away', '/lists/x').status == 503
    end_asking(context)


@behave.when('every service says in its answers that it leaves')
def leave_all(context):
    context.asking = context.scene.list_services()
    for runner in context.asking:
        runner.faults.leaving = True


@behave.when('one {kind} says in its answers that it leaves')
def leave_one(context, kind):
    context.asking = [_find_one(context, kind)]
    context.asking[0].faults.leaving = True


@behave.when('callers ask for {kind} work for {seconds:d} seconds')
def call_entry(context, kind, seconds):
    context.calls = loads.run_callers(
        context.scene.entries, WORK[kind], seconds
    )


@behave.when('{count:d} callers ask for {kind} work for {seconds:d} seconds')
def call_entry_often(context, count, kind, seconds):
    context.calls = loads.run_callers(
        context.scene.entries, WORK[kind], seconds, count
    )


@behave.then('no endpoint got more than 2 requests within a pause')
def check_pauses(context):
    assert any(runner.backoffs for runner in context.asking)
    violations = [
        line
        for runner in context.asking
        # With one entry, reports and orders are its own too.
        for line in backoffs.list_backoff_violations(runner, lambda _: 'one')
    ]
    assert not violations, violations[:5]


@behave.then('all callers were answered whole')
def check_answers(context):
    assert context.calls
    for call in context.calls:
        answer = call.answer
        assert answer.status == 200 and answer.is_complete, call


def _find_known_at(context, call, seconds):
    """Return from when on an entry knows that it can't serve a call.

    A call that can be served in time after a pause may wait for its end, and
    is sent then; any other is refused as soon as it arrives.
    """
    for runner in context.asking:
        ends = [each.at + each.seconds for each in runner.backoffs]
        for each in runner.received:
            if each.name == call.name and any(
                0 <= each.at - end <= seconds for end in ends
            ):
                return each.at
    return call.sent


@behave.then('refusals took {seconds:f} s at most')
def check_refusals(context, seconds):
    taken = [
        call.ended - _find_known_at(context, call, seconds)
        for call in context.calls
        if call.answer.status == 503
    ]
    assert taken
    assert max(taken) <= seconds, f'{max(taken):.3f} s'


@behave.then('refused callers were told to return after the first pause')
def check_retry_after(context):
    checked = 0
    for call in context.calls:
        ends = [
            max(
                (
                    asked.at + asked.seconds
                    for asked in runner.backoffs
                    if asked.at < call.sent - REACTION_SECONDS
                ),
                default=0.0,
            )
            for runner in context.asking
            # Streams need not have tried every engine.
            if runner.backoffs
        ]
        if call.answer.status != 503 or min(ends) <= call.ended:
            continue
        returns = call.ended + float(call.answer.headers['retry-after'])
        assert returns >= min(ends) - REACTION_SECONDS, (call, ends)
        checked += 1
    assert checked


@behave.then('no request sent 2 s after the first such answer reached it')
def check_leaving(context):
    (runner,) = context.asking
    assert runner.leaving_answers
    sent_times = {call.name: call.sent for call in context.calls}
    violations = backoffs.list_leaving_violations(
        runner, loads.find_entry, sent_times, DRAIN_SECONDS
    )
    assert not violations, violations[:5]


@behave.when('that service takes requests again')
@behave.when('that endpoint takes requests again')
def end_asking(context):
    for runner in context.asking:
        runner.faults.backoff = ()


@behave.then('entry "{name}" sends it nothing more within {seconds:g} s')
def check_told(context, name, seconds):
    (runner,) = context.asking
    (entry,) = [each for each in context.scene.entries if each.name == name]
    told = min(each.at for each in runner.leaving_answers)

    def check():
        return runner.name in entry.read_state()['leaving']

    context.scene.wait_until(check, f'{name} is told')
    taken = time.monotonic() - told
    assert taken <= seconds, f'{taken:.2f} s'
    assert not _count_runs(context, entry, 20)


def _count_runs(context, entry, count):
    """Call an entry and count the calls that ran at the asking endpoint."""
    (runner,) = context.asking
    names = {f'{entry.name}-{number}' for number in range(count)}
    for each in sorted(names):
        assert entry.call(each, '/lists/x').status == 200
    return sum(run.request in names for run in runner.runs)


@behave.then('entry "{name}" still sends calls to it')
def check_unbound(context, name):
    (entry,) = [each for each in context.scene.entries if each.name == name]
    assert _count_runs(context, entry, 40)


@behave.then('entry "{name}" sends it nothing')
def check_bound(context, name):
    (entry,) = [each for each in context.scene.entries if each.name == name]
    assert not _count_runs(context, entry, 40)
