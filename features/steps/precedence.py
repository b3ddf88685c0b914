"""Steps for the order of waiting over all entries, in virtual time."""

import asyncio
import collections
import itertools
import random
import statistics
import types

import attrs
import behave
from dunlintide_adapters import endpointhttp
from dunlintide_core import configuration
from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import demandtable
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import precedence
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import calls
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import streams
import edge_settings
import virtualtime

SERVICE = 'model'
SLOTS = 20
HELD_SECONDS = (0.7, 1.3)
WAIT_SECONDS = 0.3
RETRIED_WAIT_SECONDS = 1.2
DEADLINE_SECONDS = 10.0
NOTICE_SECONDS = 0.1
RUN_SECONDS = 20.0
# Time from which starts are counted, when the queues have filled up.
WARM_SECONDS = 3.0


class _Log(edge_settings.SilentLog):
    """A log that keeps its lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


class _Table(demandtable.DemandTable):
    """A table that counts what is recorded."""

    def __init__(self, *args):
        super().__init__(*args)
        self.counts = collections.Counter()

    def record_arrival(self, kind, weight, now):
        self.counts['arrival'] += 1
        super().record_arrival(kind, weight, now)

    def record_departure(self, kind, now):
        self.counts['departure'] += 1
        super().record_departure(kind, now)

    def record_start(self, kind, weight, now, waited=True):
        self.counts['start'] += 1
        self.counts['waited'] += waited
        super().record_start(kind, weight, now, waited)

    def record_end(self, kind, weight, now):
        self.counts['end'] += 1
        super().record_end(kind, weight, now)


class _Scene:
    """Entries that share the slots of one service."""

    def __init__(self, count, stack, sharing=settings.Sharing.ON):
        self.loop = virtualtime.Loop()
        stack.callback(self.close)
        stack.enter_context(
            virtualtime.replace_clocks(self.loop, (state_module,))
        )
        self.free = SLOTS
        self.random = random.Random(1)
        self.asked = collections.Counter()
        self.started = collections.Counter()
        self.in_time = collections.Counter()
        self.starts = []
        self.states = []
        self.tasks = set()
        for number in range(count):
            state = edge_settings.make_state(
                _Log(),
                name=str(number),
                demand=settings.Demand(sharing=sharing),
            )
            state.demand = _Table(state.is_shared)
            state.random = random.Random(number)
            self.states.append(state)

    def close(self):
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks))
        self.loop.close()

    def make_exchange(self, state, priority, team='', retried=False):
        return types.SimpleNamespace(
            service=SERVICE,
            priority=priority,
            team=team or None,
            terms=types.SimpleNamespace(weight=1.0),
            is_waiting=False,
            was_refused=retried,
            deadline=state.now + DEADLINE_SECONDS,
        )

    def make_ticket(self, exchange, wait, state):
        queue_class = admission.choose_queue_class(state, exchange)
        return admission.make_ticket(exchange, queue_class, state.now + wait)

    async def serve(self, state, exchange, wait):
        """Serve a request as streams and calls are."""
        ticket = self.make_ticket(exchange, wait, state)

        async def attempt():
            if not self.free:
                admission.record_full(state, ticket)
                return None
            return admission.may_start(state, ticket) or None

        try:
            found = admission.has_turn(state, ticket) and await attempt()
            if not found and admission.is_too_long(state, ticket):
                return False
            if not found:
                found = await admission.wait(
                    state, ticket, attempt, lambda: False
                )
            if not found:
                return False
            release = admission.reserve(state, exchange, ())
        finally:
            admission.leave(state, exchange)
        self.free -= 1
        self.starts.append((state.now, exchange.priority))
        # With streams of one length all slots would be freed in a bunch.
        await asyncio.sleep(self.random.uniform(*HELD_SECONDS))
        self.free += 1
        release()
        for each in self.states:
            each.wake_all()
        return True

    async def ask(self, state, priority, team):
        """Send a request as a caller that retries once does."""
        exchange = self.make_exchange(state, priority, team)
        asked_at = state.now
        is_served = await self.serve(state, exchange, WAIT_SECONDS)
        self.in_time[priority] += is_served and asked_at >= (
            self.began + WARM_SECONDS
        )
        if not is_served:
            pause = admission.choose_retry_after(state, exchange)
            await asyncio.sleep(pause or WAIT_SECONDS)
            state = self.random.choice(self.states)
            exchange = self.make_exchange(state, priority, team, True)
            wait = RETRIED_WAIT_SECONDS
            is_served = await self.serve(state, exchange, wait)
        if asked_at >= self.began + WARM_SECONDS:
            self.asked[priority, team] += 1
            self.started[priority, team] += is_served

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def tell_on(self, entry, *rows):
        """Tell entries the same rows again until the scenario ends."""
        while True:
            for state in self.states:
                state.demand.receive(entry, rows, state.now)
            await asyncio.sleep(NOTICE_SECONDS)

    async def _send_requests(self, numbers, rate, priority, team):
        for turn in itertools.count():
            await asyncio.sleep(self.random.expovariate(rate))
            state = self.states[numbers[turn % len(numbers)]]
            self.spawn(self.ask(state, priority, team))

    async def _send_notices(self):
        while True:
            await asyncio.sleep(NOTICE_SECONDS)
            for one, other in itertools.permutations(self.states, 2):
                rows = one.demand.list_rows(one.now)
                other.demand.receive(one.settings.name, rows, one.now)
            for state in self.states:
                state.wake_all()

    def run(self, *loads):
        """Run loads of entries, requests a second, priority and team."""

        async def work():
            self.began = self.loop.time()
            tasks = [self.loop.create_task(self._send_notices())]
            for load in loads:
                work = self._send_requests(*load)
                tasks.append(self.loop.create_task(work))
            await asyncio.sleep(RUN_SECONDS)
            for task in tasks[1:]:
                task.cancel()
            while self.tasks:
                await asyncio.wait(self.tasks)
            tasks[0].cancel()

        self.loop.run_until_complete(work())

    def sleep(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


@behave.given('{count:d} entries that admit requests')
def make_entries(context, count):
    context.place = _Scene(count, context.stack)


@behave.given('{count:d} entries that admit requests without sharing')
def make_unshared(context, count):
    off = settings.Sharing.OFF
    context.place = _Scene(count, context.stack, off)


@behave.given('an entry whose team "big" holds 3 slots and "small" holds 1')
def make_holders(context):
    context.place = _Scene(1, context.stack)
    (state,) = context.place.states
    for team in ('big', 'big', 'big', 'small'):
        for priority in range(3):
            kind = demandrows.Kind(SERVICE, priority, team)
            state.demand.record_start(kind, 1.0, state.now, False)


@behave.given('these requests wait there in the order of their arrival')
def add_waiters(context):
    queue = context.place.states[0].get_backlog(SERVICE)
    context.names = {}
    for row in context.table:
        waiter = backlog.Waiter(
            int(row['priority']),
            backlog.QueueClass[row['class']],
            backlog.NOT_QUEUED,
            float('inf'),
            lambda: None,
            row['team'],
        )
        queue.insert(waiter)
        context.names[waiter] = row['name']


@behave.when('{count:d} requests of priority 0 start')
def start_urgent(context, count):
    (state,) = context.place.states
    for _ in range(count):
        state.get_queue(SERVICE).record_start(0, state.now)


@behave.then('they go in the order "{names}"')
def check_order(context, names):
    (state,) = context.place.states
    order = state.get_queue(SERVICE).list_in_order(state.now)
    assert [context.names[each] for each in order] == names.split()


@behave.when('{count:d} requests start while priorities {waiting} always wait')
def start_many(context, count, waiting):
    waiting = [int(each) for each in waiting.split()]
    shares = precedence.MinimumShare(0.25)
    context.starts = collections.Counter()
    for _ in range(count):
        priority = shares.choose_priority(waiting)
        shares.record_start(priority, waiting)
        context.starts[priority] += 1


@behave.then('the starts by priority are {starts}')
def check_starts(context, starts):
    found = [context.starts[each] for each in sorted(context.starts)]
    expected = [int(each) for each in starts.split()]
    # The last starts are owed still.
    pairs = zip(found, expected, strict=True)
    assert all(abs(one - other) <= 3 for one, other in pairs), found


@behave.when(
    'priority 0 comes at {urgent:d} and priority 2 at {low:d} requests a'
    ' second to all'
)
def send_two(context, urgent, low):
    numbers = range(len(context.place.states))
    context.place.run((numbers, urgent, 0, ''), (numbers, low, 2, ''))


@behave.when(
    'priority 2 comes at {low:d} to entry 0 and priority 0 at {urgent:d} to'
    ' the others'
)
def send_apart(context, low, urgent):
    context.place.run(([0], low, 2, ''), ([1, 2, 3], urgent, 0, ''))


@behave.when(
    'a team sends {large:d} requests a second to {there} and four others 2'
    ' each to {elsewhere}'
)
def send_teams(context, large, there, elsewhere):
    there = [int(each) for each in there.split()]
    elsewhere = [int(each) for each in elsewhere.split()]
    others = [(elsewhere, 2, 1, f'team-{each}') for each in range(4)]
    context.place.run((there, large, 1, 'large'), *others)


@behave.then(
    'priority 2 gets {low:f} to {high:f} of the starts and priority 0 the rest'
)
def check_share(context, low, high):
    place = context.place
    ends = place.began + RUN_SECONDS
    starts = [
        priority
        for at, priority in place.starts
        if place.began + WARM_SECONDS <= at < ends
    ]
    part = starts.count(2) / len(starts)
    assert low <= part <= high, (part, len(starts))
    check_used(context)


@behave.then('the four others get {part:f} of what they ask for')
def check_teams(context, part):
    place = context.place
    for number in range(4):
        kind = 1, f'team-{number}'
        assert place.started[kind] >= part * place.asked[kind], place.started


@behave.then('{part:f} of the requests of priority 0 start at the first try')
def check_urgent(context, part):
    place = context.place
    started, asked = place.in_time[0], place.asked[0, '']
    assert started >= part * asked, (started, asked)


@behave.then('all capacity is used')
def check_used(context):
    place = context.place
    # Each end is noticed 0.03 s later, as waiters are woken together.
    held = statistics.mean(HELD_SECONDS) + 0.05
    usable = SLOTS / held * (RUN_SECONDS - WARM_SECONDS)
    assert place.started.total() >= 0.95 * usable, place.started


@behave.then('each request is recorded as it arrives, starts and ends')
def check_counts(context):
    for state in context.place.states:
        counts = state.demand.counts
        left = counts['waited'] + counts['departure']
        assert counts['arrival'] == left, counts
        assert counts['start'] == counts['end'] > 0, counts
        check_nothing_left(context)


@behave.given(
    'entry "{entry}" tells of {waiting:d} waiting requests of priority'
    ' {priority:d}'
)
def tell_waiting(context, entry, waiting, priority):
    row = demandrows.Row(
        demandrows.digest(SERVICE), priority, 0, waiting, 0, 0
    )
    context.place.loop.create_task(context.place.tell_on(entry, row))
    context.place.sleep(0)


@behave.given('entry "{entry}" tells of {started:d} starts in the last second')
def tell_started(context, entry, started):
    row = demandrows.Row(demandrows.digest(SERVICE), 0, 0, 0, 0, started)
    context.place.loop.create_task(context.place.tell_on('y', row))
    context.place.sleep(0)


@behave.when(
    '{count:d} requests of priority {priority:d} arrive while {free:d} slots'
    ' are free'
)
def send_some(context, count, priority, free):
    place = context.place
    place.free = free
    (state,) = place.states
    context.began = state.now
    for _ in range(count):
        exchange = place.make_exchange(state, priority)
        place.spawn(place.serve(state, exchange, DEADLINE_SECONDS))
    place.sleep(0)


@behave.when(
    'the other entry takes a slot after {taken:f} s and frees it after'
    ' {freed:f} s'
)
def take_slot(context, taken, freed):
    place = context.place
    place.loop.call_later(taken, setattr, place, 'free', 0)
    place.loop.call_later(taken, place.states[0].wake_all)
    place.loop.call_later(freed, setattr, place, 'free', 1)


@behave.then('{count:d} of them start after {wait:g} s and the others wait')
def check_start_times(context, count, wait):
    place = context.place
    place.sleep(wait + 0.101)
    waits = [at - context.began for at, _ in place.starts]
    assert len(waits) == count, waits
    assert all(abs(each - wait) < 0.005 for each in waits), waits


@behave.then('a yield ends as "{outcome}"')
def check_outcome(context, outcome):
    (state,) = context.place.states
    value = state.counters.yields.labels(outcome)._value.get()
    assert value == 1, value


@behave.then('the log names the entry "{entry}" once')
def check_log(context, entry):
    lines = context.place.states[0].log.lines
    ((event, fields),) = lines
    assert event == 'capacity left to another entry'
    assert fields['entry'] == entry and fields['seconds'] == 0.1, fields


def _wait(place, attempt, looks_first=False):
    """Queue a request of priority 1 that looks for capacity by a function.

    :param looks_first: whether it looks for capacity before, if it is first
    """
    (state,) = place.states
    exchange = place.make_exchange(state, 1)
    ticket = place.make_ticket(exchange, DEADLINE_SECONDS, state)

    async def serve():
        if admission.has_turn(state, ticket) and looks_first:
            await attempt(ticket)
        await admission.wait(state, ticket, lambda: attempt(ticket), bool)

    place.spawn(serve())


@behave.when(
    '2 requests wait and the first finds nothing any more after its yield'
)
def wait_after_yield(context):
    place = context.place
    (state,) = place.states
    context.looks = []

    async def yield_once(ticket):
        context.looks.append(('first', state.now))
        if len(context.looks) == 1:
            return admission.may_start(state, ticket) or None
        admission.record_full(state, ticket)
        return None

    async def look(ticket):
        context.looks.append(('second', state.now))

    for attempt in (yield_once, look):
        _wait(place, attempt)
    place.sleep(0)
    place.loop.call_soon(state.wake, SERVICE)
    place.sleep(2 * precedence.YIELD_SECONDS)


@behave.then('the second looks for capacity at the same time')
def check_second_looks(context):
    names = [name for name, _ in context.looks]
    assert names == ['first', 'first', 'second'], context.looks
    assert context.looks[2][1] - context.looks[1][1] < 0.001, context.looks


@behave.when(
    '{count:d} requests wait and {which} for {pause:g} s',
)
def wait_for_permits(context, count, which, pause):
    place = context.place
    (state,) = place.states
    context.looks = []

    async def look(ticket):
        is_first = not context.looks
        context.looks.append(('', state.now))
        if is_first or which == 'all of them wait for permits':
            await asyncio.sleep(pause)
        else:
            admission.record_full(state, ticket)

    for _ in range(count):
        _wait(place, look)
    place.sleep(0)
    place.loop.call_soon(state.wake, SERVICE)
    place.sleep(pause / 2)


@behave.then('the others look for capacity at the same time')
def check_others_look(context):
    check_looks(context, 4)
    times = [at for _, at in context.looks]
    assert max(times) - min(times) < 0.001, times


@behave.then('{count:d} of them look for capacity in the first second')
def check_looks(context, count):
    assert len(context.looks) == count, context.looks


@behave.when(
    '{count:d} requests wait of which the first {large:d} find nothing in'
    ' {rounds:d} rounds'
)
def wait_behind(context, count, large, rounds):
    place = context.place
    (state,) = place.states
    context.found = []

    async def look(ticket):
        number = ticket.waiter.arrival
        if number > large:
            context.found.append(number)
            return number
        admission.record_full(state, ticket)
        return None

    for _ in range(count):
        _wait(place, look)
    place.sleep(0)
    for _ in range(rounds):
        place.loop.call_soon(state.wake, SERVICE)
        place.sleep(0.1)


@behave.when(
    'a request that fits arrives behind one that does not, and nothing ends'
)
def arrive_behind(context):
    place = context.place
    context.found = []

    async def miss(ticket):
        admission.record_full(place.states[0], ticket)

    async def find(ticket):
        context.found.append(ticket)
        return ticket

    for attempt in (miss, find):
        _wait(place, attempt, looks_first=True)
    place.sleep(0.1)


@behave.then('the last {count:d} have started')
def check_found(context, count):
    assert len(context.found) == count, context.found


@behave.when('priority 2 has yielded {count:d} times')
def yield_often(context, count):
    (state,) = context.place.states
    for _ in range(count):
        assert find_yield(context, state)
        context.place.sleep(2 * precedence.YIELD_SECONDS + 1.0)


def find_yield(context, state):
    exchange = context.place.make_exchange(state, 2)
    ticket = context.place.make_ticket(exchange, 1.0, state)
    return state.get_queue(SERVICE).find_yield(ticket.waiter, state.now)


@behave.then('it does not yield the next time')
def check_owed(context):
    assert not find_yield(context, context.place.states[0])


@behave.given('{count:d} requests of priority {priority:d} wait here')
def queue_some(context, count, priority):
    (state,) = context.place.states
    for _ in range(count):
        state.get_backlog(SERVICE).add(
            priority, backlog.QueueClass.FRESH, float('inf'), lambda: None
        )


@behave.then(
    'a request of priority {priority:d} that may wait {wait:f} s is {verdict}'
)
def check_verdict(context, priority, wait, verdict):
    (state,) = context.place.states
    context.exchange = context.place.make_exchange(state, priority)
    ticket = context.place.make_ticket(context.exchange, wait, state)
    is_refused = admission.is_too_long(state, ticket)
    assert is_refused == (verdict == 'refused')
    fields = admission.describe_refusal(state, context.exchange)
    assert fields['ahead'] == len(state.get_backlog(SERVICE)), fields


@behave.then('its Retry-After is {low:f} to {high:f} s')
def check_retry_after(context, low, high):
    (state,) = context.place.states
    found = [
        admission.choose_retry_after(state, context.exchange)
        for _ in range(100)
    ]
    assert low <= min(found) < max(found) <= high, (min(found), max(found))
    context.exchange.deadline = state.now + 0.3
    assert admission.choose_retry_after(state, context.exchange) <= 0.1


class _Pool:
    """Connections that fail, or are never made."""

    def __init__(self, hangs):
        self.hangs = hangs

    async def acquire(self, *args):
        if self.hangs:
            await asyncio.sleep(DEADLINE_SECONDS)
        kind = endpointhttp.FailureKind.CONNECT
        raise endpointhttp.CallError(kind, False)


def _make_server(state, kind):
    """Return the function that serves a kind of request by one endpoint."""
    profile = edge_settings.make_profile(layers=8)
    engine = endpoints.Endpoint(
        'e', 'a:1', SERVICE, 'a', 1, kind='small', end=profile.layers
    )
    state.endpoints['e'] = engine
    if kind == 'call':
        return calls.CallServer(state).serve
    server = streams.StreamServer(state)
    return lambda exchange: server.serve(exchange, profile)


def _make_request(state, kind):
    """Return an exchange whose reply keeps what is sent."""
    then = configuration.Then(
        stream=kind == 'stream', target_seconds=1.0, repeatable=False
    )
    replies = []
    reply = types.SimpleNamespace(
        started=False, replies=replies, send=lambda head: replies.append(head)
    )
    return exchange_module.Exchange(
        request=types.SimpleNamespace(received_at=state.now),
        reply=reply,
        caller_request=callerrequests.CallerRequest(
            'r', 'h', '/', 'POST', prompt=10, answer=10
        ),
        rule=configuration.Rule('rule', None, then),
        service=SERVICE,
        deadline=state.now + DEADLINE_SECONDS,
        version=1,
        priority=1,
        fingerprint='f',
        team='red',
    )


@behave.when('a {kind} comes and {course}')
def serve_one(context, kind, course):
    place = context.place
    (state,) = place.states
    serve = _make_server(state, kind)
    state.pool = _Pool('as it connects' in course)
    hop = endpoints.Hop(state.endpoints['e'], 0, 8)
    taken = [
        state.occupancy.reserve((hop,), 0)
        for _ in range(SLOTS if course.startswith('waits') else 0)
    ]
    context.exchange = _make_request(state, kind)
    task = place.spawn(serve(context.exchange))
    place.sleep(0.2)
    if 'caller leaves' in course:
        task.cancel()
    if 'and then' in course:
        for each in taken:
            place.loop.call_soon(state.release, SERVICE, each)
    place.sleep(2.0)
    assert task.done()
    if not task.cancelled():
        assert task.result() == exchange_module.Outcome.NOT_RUN
        (head,) = context.exchange.reply.replies
        assert head.status == 503


@behave.then(
    'it was recorded to wait {waits:d}, start {starts:d} and end as often'
)
def check_recorded(context, waits, starts):
    counts = context.place.states[0].demand.counts
    assert counts['arrival'] == waits, counts
    assert counts['waited'] + counts['departure'] == waits, counts
    assert counts['start'] == counts['end'] == starts, counts


class _EmptyBudget:
    """A retry budget that allows no send."""

    entries = 1

    def spend(self, now, first):
        return False

    def can_spend(self, now):
        return False


@behave.when(
    'a stream under way finds capacity while its retry budget is empty'
)
def find_without_budget(context):
    place = context.place
    (state,) = place.states
    serve = _make_server(state, 'stream')
    hop = endpoints.Hop(state.endpoints['e'], 0, 8)
    taken = [state.occupancy.reserve((hop,), 0) for _ in range(SLOTS)]
    context.exchange = _make_request(state, 'stream')
    context.exchange.sends = context.exchange.runs = 1
    state.retry_budgets[SERVICE] = _EmptyBudget()
    context.task = place.spawn(serve(context.exchange))
    place.sleep(0.2)
    assert state.demand.has_waiting
    for each in taken:
        place.loop.call_soon(state.release, SERVICE, each)
    place.sleep(0.2)


@behave.then('nothing is recorded to wait until it ends')
def check_no_wait(context):
    place = context.place
    assert not context.task.done()
    assert not place.states[0].demand.has_waiting
    context.task.cancel()
    check_nothing_left(context)
    assert context.exchange.sends == 1


@behave.then('it was sent to no endpoint and nothing is left of it')
def check_unsent(context):
    assert not context.exchange.sends
    check_nothing_left(context)


def check_nothing_left(context):
    # What entries told each other last expires.
    context.place.sleep(1.0)
    for state in context.place.states:
        assert not state.demand.has_waiting
        assert not state.get_backlog(SERVICE)
        for priority, team in ((0, ''), (1, 'red'), (2, '')):
            load = state.demand.get_load(SERVICE, priority, team, state.now)
            assert not load


def _set_sharing(state, name):
    demand = settings.Demand(sharing=settings.Sharing(name))
    state.settings = attrs.evolve(state.settings, demand=demand)


@behave.when(
    'sharing goes from {before} to {after} while requests run and wait'
)
def switch_sharing(context, before, after):
    place = context.place
    (state,) = place.states
    _set_sharing(state, before)
    place.free = 2
    # More would be refused at once where sharing is off and nothing started.
    context.count = 5
    for number in range(context.count):
        exchange = place.make_exchange(state, number % 3)
        place.spawn(place.serve(state, exchange, DEADLINE_SECONDS))
    place.sleep(0.1)
    _set_sharing(state, after)
    place.sleep(DEADLINE_SECONDS)


@behave.then('all of them have started and nothing is left of them')
def check_all_started(context):
    assert len(context.place.starts) == context.count, context.place.starts
    check_nothing_left(context)


@behave.then('nothing of it is recorded or described')
def check_unrecorded(context):
    (state,) = context.place.states
    exchange = context.place.make_exchange(state, 1)
    assert not state.demand.counts, state.demand.counts
    assert admission.describe_refusal(state, exchange) == {}
    assert admission.choose_retry_after(state, exchange) is None


def make_engine(context):
    (state,) = context.place.states
    engine = endpoints.Endpoint('e', 'a:1', SERVICE, 'a', 1, end=8)
    state.endpoints['e'] = engine
    context.hop = endpoints.Hop(engine, 0, 8)
    return state


def refuse(context):
    context.place.loop.run_until_complete(refuse_now(context))


async def refuse_now(context):
    (state,) = context.place.states
    state.record_refusal('e', SERVICE, context.is_roomy)


@behave.given(
    'engine "e" refuses here {count:d} times, "{known}" by what is known'
)
def refuse_often(context, count, known):
    state = make_engine(context)
    context.is_roomy = known == 'far from full'
    state.occupancy.set_remote('x', {'e': occupancy.Usage(4, 4)}, state.now)
    context.held = state.occupancy.reserve((context.hop,), 0)
    for _ in range(count):
        refuse(context)


@behave.given('another entry tells that engine "e" is full')
def tell_full(context):
    state = make_engine(context)
    context.held = state.occupancy.reserve((context.hop,), 0)
    state.health.receive_full('e', state.now, 1.0)


@behave.given('engine "e" is ejected here')
def eject(context):
    (state,) = context.place.states
    state.health.eject('e', state.now)


@behave.when('a stream there ends after {seconds:f} s')
def end_stream(context, seconds):
    context.place.sleep(seconds)
    context.place.states[0].release(SERVICE, context.held)


@behave.when('the refused send ends after {seconds:f} s')
def end_refused(context, seconds):
    context.place.sleep(seconds)
    context.place.states[0].release(SERVICE, context.held, True)


@behave.when('another entry tells of {much} use there after {seconds:f} s')
def tell_use(context, much, seconds):
    context.place.sleep(seconds)
    (state,) = context.place.states
    count = 3 if much == 'less' else 4
    usages = {'e': occupancy.Usage(count, count)}
    state.record_released(state.occupancy.set_remote('x', usages, state.now))


@behave.when('engine "e" refuses again after each of {count:d} releases')
def refuse_after_releases(context, count):
    state = make_engine(context)
    context.is_roomy = False
    for _ in range(count):
        # Its streams make progress, as those of a full engine do.
        state.health.report_progress(['e'], state.now)
        refuse(context)
        context.held = state.occupancy.reserve((context.hop,), 0)
        end_stream(context, 0.05)


@behave.then('engine "e" is {condition}')
def check_condition(context, condition):
    (state,) = context.place.states
    unusable = state.health.list_unusable(state.now)
    assert ('e' in unusable) == (condition == 'avoided'), unusable
    # Others are told of the refusal as long as it counts here.
    if condition == 'in use':
        assert not state.health.list_full(state.now)


@behave.when('a request is sent {sends:d} times and refused each time')
def refuse_sends(context, sends):
    (state,) = context.place.states
    context.exchange = _make_request(state, 'stream')
    most = admission.choose_max_refusals(state, SERVICE)
    context.exchange.max_refusals = most
    context.exchange.sends = sends


@behave.then('it {may} be sent again')
def check_sends(context, may):
    (state,) = context.place.states
    may_send = context.exchange.can_retry(False, state.now)
    assert may_send == (may == 'may')


@behave.then('{count:d} of them have started after {seconds:f} s')
def check_started(context, count, seconds):
    place = context.place
    place.sleep(seconds - (place.states[0].now - context.began))
    assert len(place.starts) == count, place.starts
