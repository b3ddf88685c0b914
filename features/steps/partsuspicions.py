"""Steps for the suspicion of parts of prompts, in virtual time."""

import heapq
import itertools
import random

import attrs
import behave
from dunlintide_core.pipeline import partevaluation
from dunlintide_core.pipeline import partsuspicions
from dunlintide_core.pipeline import writtenparts
import hypothesis
from hypothesis import strategies

# Time between two messages of an entry, in seconds, and entries up to which
# crashes are told to all at once.
ROUND_SECONDS = 0.15
# Range of the time from a send to the first event, in seconds.
FIRST_EVENT_SECONDS = (0.05, 0.4)
BOUND_CRASHES, BOUND_SECONDS = 5, 3.0
MIDDLES = 40
BAD = 'bad'


@attrs.define(eq=False)
class _Request:
    entry: int
    parts: tuple[str, ...]
    ends: int = 0

    @property
    def is_bad(self):
        return BAD in self.parts


class _Model:
    """Entries, endpoints and requests in virtual time."""

    def __init__(self, entries, loss, seed=1):
        self.rng = random.Random(seed)
        self.entries = [
            partsuspicions.PartSuspicions() for _ in range(entries)
        ]
        self.loss = loss
        self.now = 1000.0
        self.queue = []
        self.order = itertools.count()
        self.heads, self.names, self.back = {}, itertools.count(), 0.0
        self.crashes, self.bad_sends, self.refused = [], [], []

    def at(self, delay, act):
        heapq.heappush(self.queue, (self.now + delay, next(self.order), act))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, act = heapq.heappop(self.queue)
            act()

    def add_head(self):
        self.heads[f'i-{next(self.names)}'] = []

    def repeat(self, rate, act):
        def again():
            act()
            self.at(self.rng.expovariate(rate), again)

        if rate:
            self.at(self.rng.expovariate(rate), again)

    def send(self, request):
        known = self.entries[request.entry]
        if known.find_refusal(request.parts, self.now):
            if not request.is_bad:
                self.refused.append((self.now, request.parts))
            return
        if not self.heads or request.ends > 2:
            return
        name = self.rng.choice(list(self.heads))
        if request.is_bad:
            self.bad_sends.append(self.now)
        self.heads[name].append(request)
        delay = self.rng.uniform(*FIRST_EVENT_SECONDS)
        self.at(delay, lambda: self.write(name, request))

    def write(self, name, request):
        if request not in self.heads.get(name, ()):
            return
        if request.is_bad:
            self.crashes.append(self.now)
            self.crash(name)
            return
        self.heads[name].remove(request)
        known = self.entries[request.entry]
        known.record_written(request.parts, self.now)
        known.reevaluate(self.now)

    def crash(self, name):
        for request in self.heads.pop(name):
            known = self.entries[request.entry]
            known.record_break(name, request.parts, self.now)
            self.at(0.03, lambda entry=request.entry: self.tell(entry))
            request.ends += 1
            self.at(0.005, lambda request=request: self.send(request))
        self.at(self.back, self.add_head)

    def tell(self, sender):
        known, now = self.entries[sender], self.now
        crashes = known.list_own_crashes(now)
        written = known.list_own_written(now)
        refusals = known.list_refusals(now)
        if not crashes and not written and not refusals:
            return
        for index, other in enumerate(self.entries):
            if index == sender or self.rng.random() < self.loss:
                continue
            for part, at in written:
                other.receive_written(part, at)
            for each in refusals:
                other.receive_refusal(
                    each.parts, each.since, each.asked_at, now
                )
            for report in crashes:
                other.receive_crash(report, now)

    def start(self, heads, back):
        self.back = back
        for _ in range(heads):
            self.add_head()

        def tell_all():
            # With many entries, only a few tell the others regularly.
            tellers = range(len(self.entries))
            if len(tellers) > 32:
                tellers = self.rng.sample(tellers, 8)
            for sender in tellers:
                self.tell(sender)
            self.at(ROUND_SECONDS, tell_all)

        self.at(ROUND_SECONDS, tell_all)

    def ask(self, bad):
        # Middle parts are not equally frequent; some come seldom.
        index = int(MIDDLES * self.rng.random() ** 3)
        parts = ('p0', BAD, f'm{index}') if bad else ('p0', f'm{index}')
        self.send(_Request(self.rng.randrange(len(self.entries)), parts))


@behave.given(
    '{entries:d} entries that lose {loss:g} of their news of crashes'
)
def make_entries(context, entries, loss):
    context.model = _Model(entries, loss)


@behave.given('{heads:d} endpoints that are back after {back:g} s')
def make_heads(context, heads, back):
    context.model.start(heads, back)


@behave.when(
    'for {seconds:d} s {bad:g} requests a second crash endpoints beside'
    ' {sound:g} sound ones a second'
)
def run_bad(context, seconds, bad, sound):
    model = context.model
    model.repeat(sound, lambda: model.ask(False))
    model.run(3.0)
    model.repeat(bad, lambda: model.ask(True))
    model.run(seconds)


@behave.when(
    'for {seconds:d} s {crashes:d} endpoints crash by chance {how} beside'
    ' {sound:g} sound requests a second'
)
def run_chance(context, seconds, crashes, how, sound):
    model = context.model
    model.repeat(sound, lambda: model.ask(False))
    size = 1 if how == 'singly' else 6

    def crash():
        for name in list(model.heads)[:size]:
            model.crash(name)

    model.repeat(crashes / size / seconds, crash)
    model.run(seconds)


@behave.then(
    'at most {count:d} of them reach endpoints later than {seconds:g} s after'
    ' the fifth crash'
)
def check_late(context, count, seconds):
    model = context.model
    assert seconds == BOUND_SECONDS
    assert len(model.crashes) >= partevaluation.MIN_CRASHES, model.crashes
    if len(model.crashes) < BOUND_CRASHES:
        return
    bound = model.crashes[BOUND_CRASHES - 1] + BOUND_SECONDS
    late = [at for at in model.bad_sends if at > bound]
    assert len(late) <= count, (len(late), len(model.crashes))


@behave.then('no sound request is refused')
def check_sound(context):
    refused = context.model.refused
    assert not refused, (len(refused), refused[0])


@behave.given('any reports of crashes, and of parts that were written on')
def draw_reports(context):
    parts = strategies.sampled_from(['p0', 'bad', 'm1', 'm2', 'm3'])
    run = strategies.frozensets(parts, min_size=1, max_size=3)
    times = strategies.integers(0, 40).map(lambda tick: tick / 10)
    crash = strategies.builds(
        partsuspicions.CrashReport,
        strategies.integers(0, 6).map('i-{}'.format),
        times,
        strategies.lists(run, min_size=1, max_size=3),
    )
    written = strategies.tuples(parts, times)
    context.news = strategies.tuples(
        strategies.lists(crash, max_size=10),
        strategies.lists(written, max_size=6),
    )


def _list_refused(crashes, written):
    """Return the parts that an entry refuses that heard of all of it."""
    known = writtenparts.WrittenParts()
    for part, at in written:
        known.record((part,), at)
    by_endpoint = {}
    for report in crashes:
        crash = by_endpoint.setdefault(
            report.endpoint, partevaluation.Crash(report.at)
        )
        crash.at = min(crash.at, report.at)
        crash.runs.update(map(frozenset, report.runs))
    found = partevaluation.choose_refused(list(by_endpoint.values()), known)
    return set(found)


@behave.then('entries that have all of them refuse the same parts')
def check_order(context):
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(context.news, strategies.randoms())
    def check(news, rng):
        crashes, written = news
        mixed = list(crashes), list(written)
        for each in mixed:
            rng.shuffle(each)
        first = _list_refused(crashes, written)
        second = _list_refused(*mixed)
        assert first == second, (first, second)
        cleared = {part for part, at in written if at >= 4.0}
        assert not any(cleared & parts for parts in first), first

    check()


@behave.given('an entry that refuses a part that another entry refuses')
def make_refusing(context):
    context.known = partsuspicions.PartSuspicions()
    assert context.known.receive_refusal([BAD], 10.0, 11.0, 12.0)
    assert context.known.find_refusal(['p0', BAD], 12.0)


@behave.when('a run of this entry writes on the part')
def write(context):
    (ended,) = context.known.record_written(['p0', BAD], 13.0)
    assert ended.parts == {BAD}


@behave.then(
    'the entry does not refuse it, nor when the other one says so again'
)
def check_cleared(context):
    known = context.known
    assert known.find_refusal([BAD], 14.0) is None
    assert known.receive_refusal([BAD], 10.0, 14.0, 14.0) is None
    assert known.find_refusal([BAD], 14.0) is None
    # The other one is told, so that it stops too.
    assert (BAD, 13.0) in known.list_own_written(14.0)


@behave.when('a request with it comes each 500 s for 3000 s')
def keep_asking(context):
    context.asked = [12.0 + 500.0 * number for number in range(1, 7)]
    context.found = [
        context.known.find_refusal([BAD], at) for at in context.asked
    ]


@behave.then('each of them is refused')
def check_each(context):
    assert all(context.found), context.found


@behave.then('none is refused after 601 s without one')
def check_end(context):
    at = context.asked[-1] + 601.0
    assert context.known.find_refusal([BAD], at) is None


@behave.given('three crashes under runs with two parts that were never apart')
def crash_together(context):
    known = context.known = partsuspicions.PartSuspicions()
    known.record_written(['p0'], 0.0)
    for number in range(10, 13):
        known.record_break(f'i-{number}', ['x', 'y'], float(number))
        known.record_written(['p0'], number + 0.5)
        known.record_written(['p0'], number + 0.6)
    known.reevaluate(20.0)


@behave.then('a request with both is refused, and one with either is not')
def check_both(context):
    known = context.known
    assert known.find_refusal(['p0', 'x', 'y'], 20.0)
    assert known.find_refusal(['p0', 'x'], 20.0) is None
    assert known.find_refusal(['y'], 20.0) is None
