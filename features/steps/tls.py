"""Steps of tls.feature: links and calls with TLS certificates."""

import datetime
import json
import logging
import pathlib
import threading
import time

from absl import logging as absl_logging
import behave
from dunlintide_adapters import certificates
from dunlintide_adapters import claimroutes
from dunlintide_adapters import claims as writers
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import peers
from dunlintide_adapters import tlschecks
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_adapters.wire import link_pb2_grpc
from dunlintide_core import claims
from dunlintide_core import configreplica
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import identities
from dunlintide_core import records
from dunlintide_core import settingsfile
from dunlintide_trials import authority
import result
import waiting

WAIT_SECONDS = 30.0
wait_until = waiting.make_wait(WAIT_SECONDS)
TRIES = 3
EXPIRED = datetime.timedelta(hours=-1)
LIFE = datetime.timedelta(days=1)
TIMING = links.LinkTiming(ping=0.2, silence=20.0, redial=0.05)
_NOT_CERTIFIED = ', without TLS'


class LogCollector(logging.Handler):
    """Collect formatted log lines."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        self.texts.append(record.getMessage())


class Process:
    """A process with its TLS files, at either end of links."""

    def __init__(self, context, role, name, transport):
        self.role = role
        self.name = name
        self.transport = transport
        self.hellos = 0
        self.up = []
        self.lost = []
        self.frames = []
        self.exchanges = []
        self.claims = []

    def hello(self):
        self.hellos += 1
        return link_pb2.Hello(name=self.name, role=self.role, incarnation=1)

    def make_handlers(self):
        return links.Handlers(
            self.up.append,
            lambda _, frames: self.frames.extend(frames),
            lambda _, reason: self.lost.append(reason),
        )

    def list_bodies(self):
        return [frame.WhichOneof('body') for frame in self.frames]

    def answer(self, request, limit):
        self.exchanges.append(request.sender.peer.name)
        return exchanges.Reply(
            make_record(self.name), configreplica.Offer(0, '')
        )

    def submit(self, wanted, timeout):
        self.claims.append(wanted)
        pending = writers.Pending(wanted, time.monotonic() + timeout)
        pending.settle(result.Ok(wanted))
        return pending


def make_record(name):
    endpoint = fleet.Endpoint(kind=fleet.EndpointKind.SERVICE, service='s')
    peer = fleet.Peer(
        name=name,
        role=fleet.Role.AGENT,
        incarnation=1,
        failure_domain='a',
        region='r',
        address='127.0.0.1:1',
        endpoint=endpoint,
    )
    return records.Record(peer, 1)


def get_authority(context):
    """Return the scenario's authority and folder; collect its log."""
    if not hasattr(context, 'authority'):
        context.authority = authority.Authority()
        context.other_authority = authority.Authority('another authority')
        context.folder = context.make_folder()
        context.lines = LogCollector()
        logger = absl_logging.get_absl_logger()
        level = absl_logging.get_verbosity()
        absl_logging.set_verbosity(absl_logging.INFO)
        context.stack.callback(absl_logging.set_verbosity, level)
        logger.addHandler(context.lines)
        context.stack.callback(logger.removeHandler, context.lines)
    return context.authority


def open_transport(context, role, name, fault=''):
    """Write certificate files and open a transport that uses them."""
    issuer = get_authority(context)
    if fault == _NOT_CERTIFIED:
        return transports.PLAIN
    if fault == ', certified by another authority':
        issuer = context.other_authority
    expired = fault == ', with an expired certificate'
    written = issuer.write(context.folder, role, name)
    found = {field: pathlib.Path(path) for field, path in written.items()}
    check = transports.make_identity_check(
        identities.Identity(role, name), authority.DOMAIN
    )
    paths = certificates.Paths(**found)
    files = certificates.Files.open(paths, check, check_seconds=0.0)
    if expired:
        # A process that keeps running after its certificate expires.
        certificate, key = issuer.issue(role, name, EXPIRED)
        files = certificates.Files(
            paths,
            certificates.Bundle(
                certificate, key, issuer.certificate, (), None
            ),
            None,
            lambda bundle: '',
            WAIT_SECONDS * 10,
        )
    return transports.MutualTls(files, authority.DOMAIN)


def serve(context, role, name, transport):
    process = Process(context, role, name, transport)
    server = linkserver.LinkServer(
        '127.0.0.1:0',
        process.hello,
        process.make_handlers(),
        TIMING,
        transport=transport,
    )
    peers.add_service(server.server, process.answer, transport)
    claimroutes.add_service(server.server, process, transport)
    context.stack.enter_context(linkserver.serve(server))
    context.server = process
    context.address = f'127.0.0.1:{server.port}'


def dial(context, role, name, transport):
    process = Process(context, role, name, transport)
    dialer = links.Dialer(
        context.address,
        process.hello,
        process.make_handlers(),
        TIMING,
        transport=transport,
        role=context.server.role,
    )
    dialer.start()
    context.stack.callback(dialer.stop)
    context.dialer = process


@behave.given('a process "{name}" that serves as {role:w}')
def serve_certified(context, name, role):
    serve(context, role, name, open_transport(context, role, name))


@behave.given('a process "{name}" that serves as {role:w}, {fault}')
def serve_faulty(context, name, role, fault):
    if fault.startswith('certified as '):
        shown = fault.removeprefix('certified as ').split()
        serve(context, role, name, open_transport(context, *shown))
        return
    serve(
        context, role, name, open_transport(context, role, name, f', {fault}')
    )


@behave.given('"{name}" dials it as {role:w}')
@behave.when('"{name}" dials it as {role:w}')
def dial_certified(context, name, role):
    dial(context, role, name, open_transport(context, role, name))
    context.first = getattr(context, 'first', context.dialer)


@behave.when('"{name}" dials it as {role:w}, {fault}')
def dial_faulty(context, name, role, fault):
    if fault == 'certified by the new authority':
        fault = 'certified by another authority'
    if fault.startswith('certified as '):
        shown = fault.removeprefix('certified as ').split()
        dial(context, role, name, open_transport(context, *shown))
        return
    dial(
        context, role, name, open_transport(context, role, name, f', {fault}')
    )


@behave.then('the link is up on both sides')
def check_up(context):
    dialer, server = context.dialer, context.server

    def is_up():
        names = [link.peer.name for link in server.up]
        return dialer.up and dialer.name in names

    wait_until(is_up, 'a link')
    assert dialer.up[-1].peer.name == server.name


@behave.then('neither side has a link after some tries')
def check_refused(context):
    check_last_refused(context)
    assert not context.server.up, context.server.up[0].peer


@behave.then('the last dialer has no link after some tries')
def check_last_refused(context):
    dialer = context.dialer
    wait_until(lambda: dialer.hellos > TRIES or dialer.up, 'some tries')
    assert not dialer.up, dialer.up[0].peer


@behave.then(
    'the {side:w} counts and logs a refusal for "{reason}" that names "{word}"'
)
def check_counted(context, side, reason, word):
    process = getattr(context, side)
    counts = process.transport.refusals.get_counts
    wait_until(lambda: counts().get(reason), f'a refusal for {reason}')
    told = [x for x in context.lines.texts if f'refused ({reason})' in x]
    assert any(word in line for line in told), context.lines.texts


@behave.then('the server counts a refusal for "{reason}"')
def check_server_counted(context, reason):
    counts = context.server.transport.refusals.get_counts
    wait_until(lambda: counts().get(reason), f'a refusal for {reason}')


@behave.when('the dialer says that it is {role:w} "{name}"')
def change_name(context, role, name):
    check_up(context)
    hello = link_pb2.Hello(name=name, role=role, incarnation=1)
    context.dialer.up[0].send(link_pb2.Frame(hello=hello))


@behave.then('the link ends and the server counts a refusal for "{reason}"')
def check_ended(context, reason):
    wait_until(lambda: context.server.lost, 'the end of the link')
    check_server_counted(context, reason)


@behave.when('the dialer sends {bodies}')
def send_bodies(context, bodies):
    check_up(context)
    link = context.dialer.up[0]
    for body in bodies.split(', '):
        frame = link_pb2.Frame()
        getattr(frame, body).SetInParent()
        assert link.send(frame)
    # The arrival of a later message shows that all have been handled.
    link.send(link_pb2.Frame(hello=context.dialer.hello()))


@behave.then('only {bodies} arrive at the server')
def check_bodies(context, bodies):
    server = context.server
    wait_until(lambda: 'hello' in server.list_bodies(), 'the last frame')
    found = [body for body in server.list_bodies() if body != 'hello']
    assert found == bodies.split(', '), found


@behave.when('"{name}" sends an open frame over a stream without a hello')
def send_unannounced(context, name):
    transport = open_transport(context, 'entry', name)
    channel = context.stack.enter_context(transport.dial(context.address, ()))
    envelope = link_pb2.Envelope(frames=[link_pb2.Frame(open={})])
    stub = link_pb2_grpc.LinkStub(channel)
    held = threading.Event()
    context.stack.callback(held.set)

    def send():
        yield envelope
        held.wait(WAIT_SECONDS)

    call = stub.Connect(send(), timeout=WAIT_SECONDS)
    context.stack.callback(call.cancel)


@behave.then('no frame arrives at the server')
def check_none(context):
    check_server_counted(context, 'role')
    assert not context.server.frames and not context.server.up


@behave.when(
    '"{name}" calls for anti-entropy as agent "{own}" and as "{other}"'
)
def exchange(context, name, own, other):
    client = peers.Client(WAIT_SECONDS, open_transport(context, 'agent', name))
    context.stack.callback(client.close)
    context.replies = [
        client.exchange(
            context.address,
            exchanges.Request(
                told, configreplica.Offer(0, ''), 0, members_hash=0
            ),
        )
        for told in (
            make_record(own),
            records.shorten(make_record(own)),
            make_record(other),
        )
    ]
    context.told = own


@behave.then('the first call is answered and the second is refused')
def check_exchange(context):
    first, short, second = context.replies
    assert first.is_ok() and short.is_ok(), context.replies
    assert second == result.Err('StatusCode.PERMISSION_DENIED'), second
    assert context.server.exchanges == [context.told] * 2


@behave.when('"{entry}" and "{agent}" ask it to make a claim')
def ask_claims(context, entry, agent):
    context.outcomes = []
    for role, name in (('entry', entry), ('agent', agent)):
        transport = open_transport(context, role, name)
        channel = transport.dial(context.address, ())
        context.stack.enter_context(channel)
        request = link_pb2.BindRequest(
            bindings=[claims.encode_binding(make_claim(name))],
            timeout_ms=1000,
        )
        call = link_pb2_grpc.ClaimsStub(channel).Bind.future(request)
        context.outcomes.append(call.exception(WAIT_SECONDS))


def make_claim(name):
    return claims.Binding(
        key_digest=b'k' * 32,
        fingerprint=b'f' * 32,
        executor=name,
        incarnation=1,
        attempt='a',
        generation=1,
        bound_at=1,
        retention=60,
    )


@behave.then('only the entry\'s claim is made there')
def check_claims(context):
    first, second = context.outcomes
    assert first is None, first
    assert 'PERMISSION_DENIED' in str(second.code()), second
    assert len(context.server.claims) == 1


@behave.when('the certificates of both are renewed by a new authority')
def renew(context):
    check_up(context)
    context.authority, old = context.other_authority, context.authority
    context.other_authority = old
    for process in (context.server, context.first):
        context.authority.write(context.folder, process.role, process.name)
    # Steps name authorities this way: the new one is "another".
    context.authority, context.other_authority = old, context.authority


@behave.then('the first link has lost no frame and is still open')
def check_first(context):
    first, server = context.first, context.server
    for _ in range(TRIES):
        frame = link_pb2.Frame(open={})
        assert first.up[0].send(frame)
    wait_until(lambda: len(server.frames) == TRIES, 'the frames')
    assert len(first.up) == 1 and not first.lost, first.lost
    assert not server.lost, server.lost


def bundle(context):
    both = (context.authority, context.other_authority)
    return b''.join(one.certificate for one in both)


@behave.when('its bundle of authorities gets another one beside the first')
def add_authority(context):
    path = context.folder / f'{context.server.name}.authorities.pem'
    path.write_bytes(bundle(context))


@behave.when('"{name}" with the bundle and the other authority dials it')
def dial_other(context, name):
    written = context.other_authority.write(context.folder, 'entry', name)
    paths = {field: pathlib.Path(path) for field, path in written.items()}
    paths['authorities'].write_bytes(bundle(context))
    files = certificates.Files.open(certificates.Paths(**paths))
    transport = transports.MutualTls(files, authority.DOMAIN)
    dial(context, 'entry', name, transport)


def make_content(context, field, content):
    server = context.server
    path = context.folder / f'{server.name}.{field}.pem'
    issue = context.authority.issue
    match content:
        case 'text':
            return b'not a certificate'
        case 'an expired one':
            return issue(server.role, server.name, EXPIRED)[0]
        case 'another key':
            return issue(server.role, server.name)[1]
        case 'cut short':
            return path.read_bytes()[:100]
    return None


@behave.when('its {field:w} file becomes {content}')
def replace_file(context, field, content):
    path = context.folder / f'{context.server.name}.{field}.pem'
    context.key = path.with_name(f'{context.server.name}.key.pem').read_text()
    data = make_content(context, field, content)
    if content == 'that of another agent':
        certificate, key = context.authority.issue('agent', 'agent-9')
        path.with_name(f'{context.server.name}.key.pem').write_bytes(key)
        path.write_bytes(certificate)
    elif data is None:
        path.unlink()
    else:
        path.write_bytes(data)


@behave.then('the server has logged one refusal of files with "{message}"')
def check_files(context, message):
    told = [x for x in context.lines.texts if 'new files refused' in x]
    assert len(told) == 1 and message in told[0], told
    state = context.server.transport.describe()
    assert state['reload_failures'] == 1, state


@behave.then('no line of the log holds the content of a key')
def check_no_key(context):
    secret = [x for x in context.key.splitlines() if not x.startswith('-')]
    for line in context.lines.texts:
        assert not any(part in line for part in secret), line


@behave.given('the files and settings of agent "{name}" with TLS')
def write_settings(context, name):
    issuer = get_authority(context)
    context.server = Process(context, 'agent', name, None)
    context.settings = {
        'role': 'agent',
        'name': name,
        'failure_domain': 'austin-a',
        'admin_listen': '127.0.0.1:0',
        'link_listen': '127.0.0.1:0',
        'store_url': 'http://127.0.0.1:2379',
        'host_list_url': 'http://127.0.0.1:2480/hosts',
        'endpoint': {
            'kind': 'service',
            'url': 'http://127.0.0.1:8000',
            'service': 'orders',
        },
        'tls': issuer.write(context.folder, 'agent', name),
    }
    assert load(context).is_ok(), load(context)


def load(context):
    return settingsfile.load_settings(
        json.dumps(context.settings, indent=1),
        'agent.jsonc',
        tlschecks.find_faults,
    )


@behave.when('its settings name it "{name}"')
def rename(context, name):
    context.settings['name'] = name


@behave.when('its settings have "key" for admin_tls')
def set_admin(context):
    key = context.settings['tls']['key']
    context.settings['admin_tls'] = {'certificate': key, 'key': key}


@behave.when('its settings leave out the key')
def leave_out_key(context):
    del context.settings['tls']['key']


@behave.then('the settings with TLS are refused at "{field}" with "{message}"')
def check_settings(context, field, message):
    problems = load(context).unwrap_err()
    found = [(one.path, one.message) for one in problems]
    assert len(found) == 1, found
    path, told = found[0]
    assert field in f'{path}: {told}' and message in told, found
    # The problem has a position when the field is present.
    assert 'missing' in told or problems[0].line > 1, problems
