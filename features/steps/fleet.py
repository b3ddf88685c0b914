"""Steps for gossip of configuration and membership."""

import collections
import functools
import json

import attrs
import behave
import hypothesis
from hypothesis import strategies

from dunlintide_core import fleet
from dunlintide_core import records
from dunlintide_core import suspicion
from dunlintide_trials import network

_PEERS = strategies.builds(
    fleet.Peer,
    name=strategies.just('agent-1'),
    role=strategies.just(fleet.Role.AGENT),
    incarnation=strategies.integers(1, 3),
    failure_domain=strategies.just('domain-0'),
    region=strategies.just('north'),
    address=strategies.just('10.0.0.1:7080'),
    leaving=strategies.booleans(),
)
_RECORDS = strategies.builds(
    records.Record,
    peer=_PEERS,
    version=strategies.integers(0, 3),
    dead=strategies.booleans(),
    witnesses=strategies.lists(
        strategies.sampled_from('abcdef'), unique=True, max_size=4
    ).map(lambda names: tuple(sorted(names))),
)
_ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['change', 'cut', 'heal', 'restart', 'stop', 'resume']
            + ['down', 'up', 'restore', 'change']
        ),
        strategies.integers(0, 11),
        strategies.integers(1, 12),
    ),
    min_size=5,
    max_size=25,
)


def _write_document(number):
    return json.dumps({'rules': [{'name': f'rule-{number}'}]}).encode()


def _make_network(count, domains, seed=1):
    net = network.Network(seed)
    for peer in network.make_peers(count // 3, count - count // 3, domains):
        net.add(peer, [])
    net.share_membership()
    net.run(5)
    return net


@behave.then('any records of one process merge alike in any order and number')
def merge_any(context):
    @hypothesis.given(strategies.lists(_RECORDS, min_size=1, max_size=5))
    def check(given):
        forward = functools.reduce(records.join, given)
        backward = functools.reduce(records.join, reversed(given))
        again = functools.reduce(records.join, given, forward)
        assert forward == backward == again, (forward, backward, again)

    check()


@behave.then('leaving is never lost in a merge of one incarnation')
def keep_leaving(context):
    @hypothesis.given(_RECORDS, _RECORDS)
    def check(first, second):
        merged = records.join(first, second)
        same = [
            each.peer.leaving
            for each in (first, second)
            if each.peer.incarnation == merged.peer.incarnation
        ]
        assert merged.peer.leaving == any(same)

    check()


def _apply_action(net, action, number, saved):
    host = list(net.hosts.values())[number]
    if action == 'change' and net.store.up:
        net.publish(_write_document(number))
    elif action in ('cut', 'heal'):
        for each in net.hosts.values():
            inside = each.peer.failure_domain == host.peer.failure_domain
            each.partition = int(action == 'cut' and inside)
    elif action == 'restart':
        net.restart(host)
    elif action == 'stop':
        host.up = False
    elif action == 'resume' and not host.up:
        net.resume(host)
    elif action in ('down', 'up'):
        net.store.up = action == 'up'
    elif action == 'restore':
        net.restore(saved)


@behave.then(
    'no random run of changes, cuts, restarts and restores lowers one'
)
def never_lower(context):
    # Shrinking a failure would exceed the time limit of a scenario.
    @hypothesis.settings(max_examples=40, phases=[hypothesis.Phase.generate])
    @hypothesis.given(_ACTIONS, strategies.integers(0, 1 << 16))
    def check(actions, seed):
        net = _make_network(12, 3, seed)
        net.publish(_write_document(0))
        hosts = list(net.hosts.values())
        saved = net.store.snapshot
        for action, number, seconds in actions:
            _apply_action(net, action, number, saved)
            net.run(seconds)
            hosts += [h for h in net.hosts.values() if h not in hosts]
            assert all(host.rollbacks == 0 for host in hosts)
        net.store.up = True
        for host in list(net.hosts.values()):
            host.partition = 0
            if not host.up:
                net.resume(host)
        net.run(30)
        revision = net.publish(_write_document(99))
        done = net.run_until(lambda: _all_have_revision(net, revision), 60)
        assert done, [h.replica.configuration.revision for h in net.up()]

    check()


def _all_have_revision(net, revision):
    return all(h.replica.configuration.revision == revision for h in net.up())


@behave.given('a fleet of {count:d} processes in {domains:d} failure domains')
def make_fleet(context, count, domains):
    context.net = _make_network(count, domains)


@behave.given('the fleet has revision {revision:d}')
def give_revision(context, revision):
    net = context.net
    context.saved = {}
    for number in range(1, revision + 1):
        assert net.publish(_write_document(number)) == number
        context.saved[number] = net.store.snapshot
        assert net.run_until(lambda: _all_have_revision(net, number), 30)


@behave.when('the store is restored to revision {revision:d}')
def restore_store(context, revision):
    context.net.restore(context.saved[revision])


@behave.when('a process is replaced')
def replace_process(context):
    host = list(context.net.hosts.values())[4]
    context.new = context.net.restart(host)
    # The new process reads the store before any peer answers it.
    context.net._read(context.new)
    assert context.new.replica.explain_unready()


@behave.then('it becomes ready with revision {revision:d}')
def check_ready(context, revision):
    replica = context.new.replica
    assert context.net.run_until(lambda: not replica.explain_unready(), 30)
    assert (
        replica.configuration.revision == revision
    ), replica.configuration.revision


@behave.then('the watchers report that the store is behind')
def check_behind(context):
    context.net.run(network.READ_SECONDS + 5)
    watching = [h for h in context.net.up() if h.watching]
    assert watching
    assert all(h.replica.configuration.store_behind for h in watching)


@behave.then('the next change becomes revision {revision:d} everywhere')
def check_next(context, revision):
    assert context.net.publish(_write_document(revision)) == revision
    assert context.net.run_until(
        lambda: _all_have_revision(context.net, revision), 30
    )


@behave.when('the store goes away')
def lose_store(context):
    context.net.store.up = False


@behave.then('a process that reaches nobody is not ready and says why')
def check_isolated(context):
    peer = attrs.evolve(
        context.new.peer, name='lonely', address='10.9.9.9:1', incarnation=9
    )
    host = context.net.add(peer, [context.new.peer.address])
    host.partition = 7
    context.net.run(30)
    assert 'no configuration' in host.replica.explain_unready()


def _find_three(context):
    names = ('entry-0', 'entry-1', 'entry-2')
    return [context.net.hosts[name] for name in names]


@behave.then('one witness alone never has a process declared dead')
def check_one_witness(context):
    subject, witness, _ = _find_three(context)
    view = witness.replica.members
    context.start = context.net.now
    view.report_unreachable(
        context.start, subject.peer.name, witness.peer.failure_domain
    )
    assert view.get(subject.peer.name).state is records.State.SUSPECT
    assert view.expire_suspects(context.start + 1e6) == []


@behave.then('two witnesses have it declared dead after a while')
def check_two_witnesses(context):
    subject, witness, other = _find_three(context)
    name = subject.peer.name
    other.replica.members.report_unreachable(
        context.start, name, other.peer.failure_domain
    )
    view = witness.replica.members
    view.merge(context.start, other.replica.members.get(name))
    timing = suspicion.Timing()
    assert view.expire_suspects(context.start + timing.suspect / 2) == []
    assert view.expire_suspects(context.start + timing.suspect) == [name]


@behave.then('a process that was suspected in error clears itself')
def check_refutation(context):
    subject, witness, _ = _find_three(context)
    view = witness.replica.members
    name = subject.peer.name
    subject.replica.members.merge(context.net.now, view.get(name))
    view.merge(context.net.now, subject.replica.members.own_record)
    assert view.get(name).state is records.State.ALIVE


@behave.when('a process stops without a word')
def stop_process(context):
    context.subject = list(context.net.hosts.values())[7]
    context.subject.up = False


def _list_states(net, name):
    others = [h for h in net.up() if h.peer.name != name]
    found = [h.replica.members.get(name) for h in others]
    return {record.state if record else None for record in found}


@behave.then('all others hold it dead within {seconds:d} seconds')
def check_dead(context, seconds):
    name = context.subject.peer.name
    dead = {records.State.DEAD}
    assert context.net.run_until(
        lambda: _list_states(context.net, name) == dead, seconds
    )


@behave.when('a failure domain is cut off for {seconds:d} seconds')
def cut_domain(context, seconds):
    for host in context.net.hosts.values():
        host.partition = int(host.peer.failure_domain == 'domain-1')
    context.net.run(seconds)
    inside = context.net.hosts['entry-1'].replica.members
    assert inside.get('entry-0').state is records.State.SUSPECT
    for host in context.net.hosts.values():
        host.partition = 0


@behave.then('nobody was declared dead')
def check_no_deaths(context):
    deaths = [h.replica.members.deaths for h in context.net.hosts.values()]
    assert sum(deaths) == 0, deaths


def _has_agreement(net):
    views = [host.replica.members for host in net.up()]
    alive = all(len(view.list_usable()) == len(net.up()) for view in views)
    return alive and len({view.hash for view in views}) == 1


@behave.then('all views agree within {seconds:d} seconds of its return')
def check_agreement(context, seconds):
    assert context.net.run_until(lambda: _has_agreement(context.net), seconds)


@behave.then('no process cleared itself more than {most:d} times')
def check_refutations(context, most):
    counts = [
        h.replica.members.refutations for h in context.net.hosts.values()
    ]
    assert 0 < max(counts) <= most, counts


@behave.when('a process leaves behind a cut that later heals')
def leave_behind_cut(context):
    net = context.net
    context.subject = net.hosts['entry-1']
    for host in net.hosts.values():
        host.partition = int(host.peer.failure_domain == 'domain-1')
    net.run(60)
    context.subject.replica.members.announce_leaving(net.now)
    net.run(5)
    context.subject.up = False
    for host in net.hosts.values():
        host.partition = 0


@behave.then('all hold it leaving within {seconds:d} seconds')
def check_leaving(context, seconds):
    name = context.subject.peer.name

    def known():
        others = [h for h in context.net.up() if h.peer.name != name]
        return all(h.replica.members.get(name).peer.leaving for h in others)

    assert context.net.run_until(known, seconds)


def _count_watchers(net):
    return collections.Counter(
        h.peer.failure_domain for h in net.up() if h.watching
    )


@behave.then('{count:d} processes watch the store in each failure domain')
def check_watchers(context, count):
    counts = _count_watchers(context.net)
    assert counts == {f'domain-{i}': count for i in range(3)}, counts


@behave.when('both watchers of a failure domain stop')
def stop_watchers(context):
    for host in context.net.up():
        if host.watching and host.peer.failure_domain == 'domain-2':
            host.up = False


@behave.then('{count:d} others watch within {seconds:d} seconds')
def check_takeover(context, count, seconds):
    net = context.net
    assert net.run_until(
        lambda: _count_watchers(net)['domain-2'] == count, seconds
    )


@behave.when('{count:d} that had links to it call it at once')
def probe_subject(context, count):
    net, subject = context.net, context.subject.peer.name
    first, *context.callers = net.up()[: count + 1]
    for host in context.callers:
        # Each caller knows of one other witness, so it already suspects the
        # process.
        record = host.replica.members.get(subject)
        doubted = attrs.evolve(record, witnesses=(first.peer.name,))
        host.replica.members.merge(net.now, doubted)
        host.replica.probe(subject)
        net._wake(host)


@behave.then('both miss it within {seconds:d} seconds, whoever else does')
def check_callers(context, seconds):
    def all_miss():
        return all(
            host.peer.name
            in host.replica.members.get(context.subject.peer.name).witnesses
            for host in context.callers
        )

    assert context.net.run_until(all_miss, seconds)


@behave.when(
    'the half of the failure domains is cut off for {seconds:d} seconds'
)
def cut_half(context, seconds):
    for host in context.net.hosts.values():
        host.partition = int(
            host.peer.failure_domain in ('domain-0', 'domain-1')
        )
    context.net.run(seconds)
    inside = context.net.hosts['entry-0'].replica.members
    assert inside.get('entry-2').state is records.State.SUSPECT
    for host in context.net.hosts.values():
        host.partition = 0


@behave.when('{count:d} processes are replaced, one in {pause:d} seconds')
def replace_many(context, count, pause):
    for host in list(context.net.hosts.values())[:count]:
        context.net.restart(host)
        context.net.run(pause)


@behave.then(
    'all have revision {revision:d} and none had a lower one after a higher'
)
def check_never_lower(context, revision):
    for host in context.net.hosts.values():
        assert host.replica.configuration.revision == revision, host.peer.name
        assert host.rollbacks == 0, host.peer.name
