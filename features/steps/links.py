"""Steps for links between processes, made through a relay."""

import random

import behave
from dunlintide_adapters import keepalive
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import reports
from dunlintide_standins import relay
import waiting

WAIT_SECONDS = 30.0
wait_until = waiting.make_wait(WAIT_SECONDS)
FRAME_COUNT = 3


class Side:
    """One end of a link, recording connections, losses and frames."""

    def __init__(self, name):
        self.name = name
        self.up = []
        self.lost = []
        self.frames = []

    def hello(self):
        return link_pb2.Hello(name=self.name)

    def make_handlers(self):
        return links.Handlers(
            self.up.append,
            lambda _, frames: self.frames.extend(frames),
            lambda _, reason: self.lost.append(reason),
        )


@behave.given('a link of {seconds:d} s silence through a relay')
def start_link(context, seconds):
    timing = links.LinkTiming(ping=0.2, silence=seconds, redial=0.2)
    context.sides = {name: Side(name) for name in ('dialer', 'server')}
    far, near = context.sides['server'], context.sides['dialer']
    server = linkserver.LinkServer(
        '127.0.0.1:0', far.hello, far.make_handlers(), timing
    )
    context.stack.enter_context(linkserver.serve(server))
    context.relay = relay.Relay('127.0.0.1:0', f'127.0.0.1:{server.port}')
    context.stack.callback(context.relay.stop)
    dialer = links.Dialer(
        f'127.0.0.1:{context.relay.port}',
        near.hello,
        near.make_handlers(),
        timing,
    )
    dialer.start()
    context.stack.callback(dialer.stop)
    wait_until(lambda: near.up and far.up, 'a link')


@behave.when(
    'the relay passes {rate:d} bytes a second and the {side} sends {size:d} '
    'bytes'
)
def send_large(context, rate, side, size):
    context.relay.shape(rate=rate)
    context.receiver = next(s for n, s in context.sides.items() if n != side)
    body = random.Random(1).randbytes(size)
    context.sent = [link_pb2.Call(path=str(n)) for n in range(FRAME_COUNT)]
    context.sent.insert(1, link_pb2.Call(body=body))
    link = context.sides[side].up[0]
    for call in context.sent:
        assert link.send(link_pb2.Frame(call=call))


@behave.then('the other side gets them whole, in order, over the same link')
def check_large(context):
    receiver = context.receiver
    count = len(context.sent)
    wait_until(lambda: len(receiver.frames) >= count, 'all frames')
    assert [frame.call for frame in receiver.frames] == context.sent
    for side in context.sides.values():
        assert len(side.up) == 1 and not side.lost, (side.name, side.lost)


@behave.when('the relay goes silent for the open connection')
def go_silent(context):
    context.relay.stall()


@behave.then('both sides lose the link and a new one is up')
def check_replaced(context):
    sides = context.sides.values()
    wait_until(lambda: all(len(s.up) == 2 for s in sides), 'a new link')
    wait_until(lambda: all(len(s.lost) == 1 for s in sides), 'the loss')


TICK = 0.5
EACH_SECOND = range(61)


def read_numbers(text):
    words = text.replace(',', ' ').split()
    return [int(word) for word in words if word.isdecimal()]


@behave.given(
    'the signs of life of a link with pings each {ping:d} s and {silence:d} '
    's of silence'
)
def make_keepalive(context, ping, silence):
    context.keepalive = keepalive.Keepalive(ping, silence, 0.0)


@behave.when(
    'it carries work {work} and then runs for {end:d} s, heard until '
    '{heard:d} s'
)
def run_keepalive(context, work, end, heard):
    moments = EACH_SECOND if work == 'each second' else read_numbers(work)
    context.pings = []
    context.silent = []
    sent = 0.0
    for tick in range(int(end / TICK)):
        now = tick * TICK
        if now <= heard:
            context.keepalive.note_received(now)
        if now in moments:
            context.keepalive.note_work(now)
        if context.keepalive.is_silent(now):
            context.silent.append(now)
        if context.keepalive.is_ping_due(sent, now):
            context.pings.append(now)
            sent = now


@behave.then(
    'it has sent {least:d} to {most:d} pings and counts as silent after '
    '{first:d} to {last:d} s'
)
def check_keepalive(context, least, most, first, last):
    assert least <= len(context.pings) <= most, context.pings
    assert first <= context.silent[0] <= last, context.silent[0]


@behave.given("an agent's load reports, made each second")
def make_reports(context):
    context.reports = reports.ReportFilter()


@behave.when(
    'it is idle for {before:d} s, has work for {busy:d} s and is idle for '
    '{after:d} s'
)
def run_reports(context, before, busy, after):
    running = [0] * before + [1] * busy + [0] * after
    context.sent = [
        second
        for second, count in enumerate(running)
        if context.reports.admit(link_pb2.Load(running=count), second)
    ]


@behave.then('the reports at {listed} s are sent')
def check_reports(context, listed):
    expected = read_numbers(listed)
    assert context.sent == expected, context.sent
