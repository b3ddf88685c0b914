"""Steps for the gossip datagrams of one entry among many."""

from unittest import mock

import attrs
import behave
from dunlintide_daemon.gateway import gossip
from dunlintide_daemon.gateway import gossipmessages
from dunlintide_platform import keys
from dunlintide_trials import engineload
import edge_settings
import msgspec

ENGINES = 123


class Transport:
    """A datagram transport that records destination hosts."""

    def __init__(self):
        self.hosts = []

    def sendto(self, data, address):
        self.hosts.append(address[0])


@behave.given(
    'an entry of domain "{own}" among {count:d} entries of {domains:d} domains'
)
def make_entry(context, own, count, domains):
    names = 'abcdefg'[:domains]
    context.state = edge_settings.make_state(mock.Mock())
    context.state.settings = attrs.evolve(
        context.state.settings, name='own', failure_domain=own
    )
    context.gossip = gossip.Gossip(context.state)
    context.transport = Transport()
    context.gossip.connection_made(context.transport)
    context.by_host = {}
    for index in range(count - 1):
        domain = names[index % domains]
        host = f'10.0.{names.index(domain)}.{index}'
        context.by_host[host] = domain
        entry = keys.Entry(f'e{index}', domain, f'{host}:1', f'{host}:2')
        context.gossip.set_entry(entry)
    for engine in engineload.EngineLoad.from_size(ENGINES, domains).engines:
        domain = names[int(engine.domain.rpartition('-')[2])]
        put(context, attrs.evolve(engine, domain=domain))


def put(context, engine):
    context.state.endpoints[engine.name] = engine
    context.state.listing_version += 1


@behave.when('it leaves out an engine of domain "{domain}"')
def leave_out(context, domain):
    name = find_name(context, domain)
    context.state.health.eject(name, context.state.now)
    report_outage(context)


def find_name(context, domain):
    return next(
        each.name
        for each in context.state.endpoints.values()
        if each.domain == domain
    )


def report_outage(context):
    context.transport.hosts.clear()
    message, domains = context.gossip._build_alert()
    context.gossip._broadcast(message, domains)


def check_told(context, domains):
    expected = {
        host for host, domain in context.by_host.items() if domain in domains
    }
    assert sorted(context.transport.hosts) == sorted(expected)


@behave.then('only the entries of domain "{one}" are told at once')
def check_one(context, one):
    check_told(context, {one})


@behave.then('the entries of all domains are told at once')
def check_all(context):
    check_told(context, set(context.by_host.values()))


@behave.when('an engine of domain "{domain}" refuses it as full')
def refuse_full(context, domain):
    for endpoint in list(context.state.endpoints.values()):
        context.state.health.forget(endpoint.name)
    name = find_name(context, domain)
    context.state.health.record_refusal(name, context.state.now)
    report_outage(context)


def receive(context, count):
    engines = list(context.state.endpoints)[:ENGINES]
    uses = [(gossipmessages.digest(name), 3, 1, 40) for name in engines]
    ages = [5] * len(uses)
    for index in range(count):
        message = gossipmessages.Message(
            f'e{index % 60}', 1, uses, [], [], [], [], [], ages
        )
        data = msgspec.msgpack.encode(message)
        context.gossip.datagram_received(data, ('10.0.0.1', 1))


@behave.when(
    '{count:d} messages of others arrive, each of {engines:d} engines'
)
def receive_some(context, count, engines):
    assert engines == len(context.state.endpoints)
    build = context.gossip._build_digests
    context.built = mock.Mock(side_effect=build)
    context.gossip._build_digests = context.built
    receive(context, count)


@behave.when('an engine comes and another {count:d} messages arrive')
def receive_more(context, count):
    engine = next(iter(context.state.endpoints.values()))
    put(context, attrs.evolve(engine, name='new'))
    receive(context, count)


@behave.then('the names were listed {count}')
def check_built(context, count):
    expected = {'once': 1, 'twice': 2}[count]
    assert context.built.call_count == expected, context.built.call_count


@behave.given('a request that waits there')
def add_waiter(context):
    context.woken = mock.Mock()
    patched = mock.patch.object(type(context.state), 'wake_all', context.woken)
    patched.start()
    context.add_cleanup(patched.stop)


def receive_use(context, sender, tokens):
    names = list(context.state.endpoints)[:10]
    uses = [(gossipmessages.digest(name), 3, 1, tokens) for name in names]
    message = gossipmessages.Message(sender, 1, uses, [], [], [], [])
    data = msgspec.msgpack.encode(message)
    context.gossip.datagram_received(data, ('10.0.0.1', 1))


@behave.when('{count:d} entries tell that they use more than before')
def report_higher_use(context, count):
    for tokens in (40, 50):
        for index in range(count):
            receive_use(context, f'e{index}', tokens)


@behave.when('one of them tells that it uses less')
def report_lower_use(context):
    receive_use(context, 'e0', 30)


@behave.when('one of them falls silent for {seconds:d} s')
def expire_uses(context, seconds):
    context.woken.reset_mock()
    later = context.state.now + seconds
    if context.state.occupancy.expire(later):
        context.state.wake_all()


@behave.then('the request is not woken')
def check_asleep(context):
    context.woken.assert_not_called()


@behave.then('the request is woken')
def check_woken(context):
    context.woken.assert_called()
