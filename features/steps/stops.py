"""Steps for calls that arrive while an entry shuts down."""

import signal
import threading
import time

import behave
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import stopload
import edge

WARM_UP_CALLS = 6
# Time within which a call that was sent has reached a service.
ARRIVAL_SECONDS = 0.3
# Time within which a call is refused; before SIGTERM it may wait for capacity.
SLACK_SECONDS = 0.5
# Retry-After has two digits.
ROUNDING_SECONDS = 0.005


def stop_entry(context, traffic, grace):
    """Stop the entry as the platform does.

    :param grace: seconds until SIGKILL; if they are not those of its settings,
        these are changed to them
    """
    entry, stops = context.entry, []

    def reload(elapsed):
        if entry.settings['grace'] != grace:
            entry.settings['grace'] = grace
            entry.write_settings()
            entry.process.send_signal(signal.SIGHUP)

    stopload.stop_entry(entry, grace, stops, reload)
    traffic.stop()
    context.traffic = traffic
    (context.stop,) = stops


@behave.given(
    'a ready entry "{name}" in "{domain}" with a grace of {grace:g} s'
)
def add_entry(context, name, domain, grace):
    edge.add_ready_entry(context, name, domain, grace=grace)
    context.grace = grace


@behave.given('it has served calls of "{path}" that take {work:g} s')
def warm_up(context, path, work):
    traffic = stopload.Traffic(context.entry, path, work, 8.0)
    for _ in range(WARM_UP_CALLS):
        traffic.start_call()
    traffic.stop()
    assert all(call.status == 200 for call in traffic.calls), traffic.calls


@behave.when(
    'it is stopped while calls that take {work:g} s and may take'
    ' {deadline:g} s arrive'
)
def stop_under_calls(context, work, deadline):
    traffic = stopload.Traffic(context.entry, '/orders/x', work, deadline)
    traffic.start()
    time.sleep(1.0)
    stop_entry(context, traffic, context.grace)


@behave.when(
    'it is stopped while {rate:d} calls a second that take {work:g} s come on'
    ' new connections'
)
def stop_under_new_connections(context, rate, work):
    traffic = stopload.Traffic(context.entry, '/orders/x', work, 8.0)
    stopped = threading.Event()

    def start_calls():
        while not stopped.wait(1.0 / rate):
            traffic.start_call()

    thread = threading.Thread(target=start_calls)
    thread.start()
    time.sleep(1.0)
    stop_entry(context, traffic, context.grace)
    stopped.set()
    thread.join()
    traffic.stop()


@behave.then(
    'each call that ran was served, and some were that came after SIGTERM'
)
def check_served_all(context):
    ran = [call for call in context.traffic.calls if _has_run(context, call)]
    cut = [_describe(context, call) for call in ran if call.status != 200]
    assert not cut, (len(cut), len(ran), cut[:5])
    assert any(call.sent > context.stop.at for call in ran), len(ran)


def _describe(context, call):
    runs = context.scene.fleet.list_runs(call.name)
    return (
        f'{call.name}: sent {call.sent - context.stop.at:.3f} s after'
        f' SIGTERM, status {call.status} after {call.ended - call.sent:.3f} s,'
        f' runs {[run.began - context.stop.at for run in runs]}'
    )


def _has_run(context, call):
    return bool(context.scene.fleet.list_runs(call.name))


@behave.then('each call was answered or refused before the entry ended')
def check_answered(context):
    lost = [
        _describe(context, call)
        for call in context.traffic.calls
        if not call.status and _has_run(context, call)
    ]
    assert not lost, lost


@behave.then('no call that ran was refused, and none ran later')
def check_refused(context):
    refused = [call for call in context.traffic.calls if call.status == 503]
    untrue = [
        _describe(context, call) for call in refused if _has_run(context, call)
    ]
    assert not untrue, untrue
    slow = [
        _describe(context, call)
        for call in refused
        if call.ended - max(call.sent, context.stop.at) > SLACK_SECONDS
    ]
    assert not slow, slow
    assert all(
        0 < call.retry_after <= call.deadline / 3 + ROUNDING_SECONDS
        for call in refused
    ), refused


@behave.then('calls were served that arrived {seconds:g} s after SIGTERM')
def check_served(context, seconds):
    late = context.stop.at + seconds
    served = [
        call
        for call in context.traffic.calls
        if call.status == 200 and call.sent >= late
    ]
    assert served, [_describe(context, call) for call in context.traffic.calls]


@behave.given('a target latency of {seconds:g} s')
def set_target(context, seconds):
    # Callers wait for capacity for as long as this.
    context.scene.configure(
        operators.set_route_times(operators.make_configuration(8), seconds)
    )
    context.scene.wait_until(
        lambda: context.entry.read_state()['configuration']['revision'] == 8,
        'the configuration is in force',
    )


@behave.given('services that have {slots:d} slots')
def limit_slots(context, slots):
    scene = context.scene
    scene.fleet.slots = slots
    for runner in scene.list_services():
        scene.run(runner.write_entry())
    scene.wait_until(
        lambda: all(
            row['slots'] == slots
            for row in context.entry.read_state()['endpoints']
            if row['service'] == 'web'
        ),
        'the entry knows the slots',
    )


@behave.given('services that lose the answers of {count:d} calls')
def lose_answers(context, count):
    for runner in context.scene.list_services():
        runner.faults.lose = count


@behave.when(
    'it is stopped {delay:g} s after {count:d} calls of "{path}" that take'
    ' {work:g} s arrive'
)
def stop_under_long_calls(context, delay, count, path, work, kill=None):
    traffic = stopload.Traffic(context.entry, path, work, 8.0)
    for _ in range(count):
        traffic.start_call()
    context.scene.wait_until(
        lambda: len(traffic.calls) == count, 'all calls are sent'
    )
    time.sleep(ARRIVAL_SECONDS + delay)
    stop_entry(context, traffic, kill or context.grace)


@behave.when(
    'it is stopped {delay:g} s after {count:d} calls of "{path}" that take'
    ' {work:g} s arrive, and killed after {kill:g} s'
)
def stop_and_kill(context, delay, count, path, work, kill):
    stop_under_long_calls(context, delay, count, path, work, kill)


@behave.then('it ended by itself')
def check_own_end(context):
    assert not context.stop.was_killed
    assert context.entry.process.returncode == 0


@behave.then(
    '{ran:d} of them are told that they may have run, and the others to return'
)
def check_ended(context, ran):
    told = [
        (call.status, _has_run(context, call))
        for call in context.traffic.calls
    ]
    assert told.count((502, True)) == ran, told
    assert told.count((503, False)) == len(told) - ran, told


@behave.then('the log tells how each of the {count:d} calls ended')
def check_ends(context, count):
    rows = context.entry.list_events('request ended by shutdown')
    unknown = [row for row in rows if row['outcome'] == 'unknown']
    assert len(unknown) == count, rows
    ended = {
        row['request']: row['outcome']
        for row in context.entry.list_events('request ended')
    }
    names = [call.name for call in context.traffic.calls if call.status == 502]
    assert all(ended.get(name) == 'unknown' for name in names), ended


@behave.then('no call was sent later than {seconds:g} s after SIGTERM')
def check_sent(context, seconds):
    began = [
        run.began - context.stop.at
        for call in context.traffic.calls
        for run in context.scene.fleet.list_runs(call.name)
    ]
    assert began and max(began) <= seconds, began
