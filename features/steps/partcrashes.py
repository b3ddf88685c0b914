"""Steps for parts of prompts that crash engines, with real entries."""

import contextlib
import threading
import time

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import partcrashes
from dunlintide_trials.edge import scene as scenes

DOMAINS = ('a', 'b', 'c', 'd', 'e')
# Middle parts that sound streams share with those that crash engines.
MIDDLES = ('m0', 'm1', 'm2', 'm3')
# Time of sound streams alone, in seconds.
DELAY_SECONDS = 3.0
SOUND_CALLERS = 6
BAD_CALLERS = 4
# Fewest sound streams before and after that make a share.
LEAST_STREAMS = 20
# Fewest streams that come to an entry that starts later.
LEAST_LATE_STREAMS = 5
# Share of the earlier share that counts as before: two or three of the
# streams of a run may break for another reason.
AS_BEFORE = 0.9

FIRST = ('5c',)


def _choose_prompts(case):
    """Return the prompts of sound streams and of those that crash engines."""
    church = operators.OTHER_KEY
    sound = [partcrashes.Prompt((FIRST, MIDDLES), True)] * SOUND_CALLERS
    bad = [partcrashes.Prompt((FIRST, ('bad',), MIDDLES), False)] * BAD_CALLERS
    if case == 'that are seldom':
        bad = [partcrashes.Prompt((FIRST, ('bad',)), False, 0.8)] * 2
    elif case == 'with the part first':
        bad = [partcrashes.Prompt((('bad',), MIDDLES), False)] * BAD_CALLERS
    elif case == 'with the part third':
        bad = [
            partcrashes.Prompt((FIRST, MIDDLES, ('bad',)), False)
        ] * BAD_CALLERS
    elif case == 'with one of two parts':
        bad += [
            partcrashes.Prompt((FIRST, ('odd',), MIDDLES), False)
        ] * BAD_CALLERS
    elif case == 'of two teams':
        bad += [
            partcrashes.Prompt((FIRST, ('bad',)), False, key=church)
        ] * BAD_CALLERS
    elif case == 'that have no other part':
        sound = [partcrashes.Prompt((FIRST,), True)] * SOUND_CALLERS
        bad = [partcrashes.Prompt((('bad',),), False)] * BAD_CALLERS
    return sound + bad


@behave.given('{count:d} entries before engines in five failure domains')
def make_entries(context, count):
    scene = scenes.Scene(context.pick_ports, context.make_folder())
    context.stack.callback(scene.close)
    context.scene, context.count = scene, count
    scene.configure(operators.make_configuration())
    scene.add_runners(DOMAINS)
    for number in range(count):
        scene.add_entry(f'e{number}', DOMAINS[number % len(DOMAINS)])
    scene.wait_for_entries()


@behave.given('engines crash {point} under streams with {parts}')
def set_parts(context, point, parts):
    fleet = context.scene.fleet
    fleet.crashing_parts = set(parts.split(' and '))
    fleet.crash_point = runners.CrashPoint(point)


@behave.when('sound streams come for {seconds:d} s beside such streams {case}')
def run_streams(context, seconds, case):
    scene = context.scene
    if case == 'whose answers are without length':
        for engine in scene.list_engines():
            engine.faults.unframed = 1_000_000
    context.sent = partcrashes.run_streams(
        scene.entries, _choose_prompts(case), seconds, DELAY_SECONDS
    )


@behave.when(
    'sound streams come for {seconds:d} s while an engine crashes each 1 s'
)
def run_beside_crashes(context, seconds):
    scene = context.scene
    ended = threading.Event()

    def crash():
        number = 0
        while not ended.wait(1.0):
            engines = scene.list_engines()
            engine = engines[7 * number % len(engines)]
            number += 1
            scene.run(engine.crash())
            ended.wait(0.5)
            scene.run(scene.store.remove(engine.key))
            scene.run(engine.start())

    thread = threading.Thread(target=crash)
    thread.start()
    try:
        sound = [
            partcrashes.Prompt((FIRST, (middle,)), True) for middle in MIDDLES
        ]
        context.sent = partcrashes.run_streams(
            scene.entries, sound + sound, seconds
        )
    finally:
        ended.set()
        thread.join()


@behave.when('an entry starts and such streams come to it for {seconds:d} s')
def start_entry(context, seconds):
    scene = context.scene
    entry = scene.add_entry('late')
    scene.wait_for_ready(entry)
    scene.wait_for_listing(entry)
    bad = partcrashes.Prompt((FIRST, ('bad',), MIDDLES), False, 0.05)
    context.sent = partcrashes.run_streams([entry], [bad], seconds)
    assert len(context.sent) >= LEAST_LATE_STREAMS, context.sent


@behave.then(
    'at most {count:d} streams with each part reach engines later than'
    ' {seconds:d} s after its fifth crash'
)
def check_late(context, count, seconds):
    assert (count, seconds) == (
        partcrashes.MAX_LATE,
        partcrashes.STABLE_SECONDS,
    )
    fleet = context.scene.fleet
    assert fleet.part_crashes
    late = partcrashes.list_late_sends(fleet, loads.find_entry)
    counts = {part: len(names) for part, names in late.items()}
    assert all(each <= count for each in counts.values()), (
        counts,
        len(fleet.part_crashes),
    )


@behave.then(
    'sound streams are whole at the first try as before from {seconds:d} s'
    ' after it'
)
def check_sound(context, seconds):
    assert seconds == 2 * partcrashes.STABLE_SECONDS
    fleet = context.scene.fleet
    first = fleet.part_crashes[0].at
    before, count = partcrashes.compute_whole_share(
        context.sent, 0.0, first - partcrashes.EVENTS * fleet.event_seconds * 2
    )
    assert count >= LEAST_STREAMS, count
    settled = partcrashes.find_settled(fleet)
    after, count = partcrashes.compute_whole_share(
        context.sent, settled, time.monotonic()
    )
    assert count >= LEAST_STREAMS, (count, len(fleet.part_crashes))
    assert after >= AS_BEFORE * before, (
        before,
        after,
        count,
        len(fleet.part_crashes),
    )


@behave.then('no stream looks complete that is not')
def check_complete(context):
    false = [
        each
        for each in context.sent
        if each.looks_complete and not each.is_whole
    ]
    assert not false, (len(false), false[0])


@behave.then('no entry refuses a stream for a part')
def check_not_refused(context):
    for entry in context.scene.entries:
        rows = entry.list_events('part refused')
        assert not rows, rows[0]
    assert len(context.sent) > LEAST_STREAMS


@behave.then('none of these streams reaches an engine')
def check_not_reached(context):
    names = {each.name for each in context.sent}
    reached = [
        each.name
        for runner in context.scene.fleet.runners
        for each in runner.received
        if each.name in names
    ]
    assert not reached, reached


@behave.when('an operator allows the part "{part}" at that entry')
def allow_part(context, part):
    entry = context.scene.entries[-1]
    for each in context.scene.entries:
        assert each.read_state()['refused_parts'], each.name
    with contextlib.closing(callers.Caller(entry.admin)) as caller:
        path = f'/debug/allow-parts?part={part}'
        caller.send(callers.build_request('', path))
        answer = caller.read_answer()
    assert answer.status == 200, answer


@behave.then('no entry refuses it within {seconds:d} s')
def check_allowed(context, seconds):
    end = time.monotonic() + seconds

    def list_refused():
        entries = context.scene.entries
        return [each.read_state()['refused_parts'] for each in entries]

    refused = list_refused()
    while any(refused) and time.monotonic() < end:
        time.sleep(0.05)
        refused = list_refused()
    assert not any(refused), refused
