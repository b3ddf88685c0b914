"""Steps for the HTTP server that callers connect to."""

import asyncio
import re
import threading

import behave
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
import hypothesis
from hypothesis import strategies

SMUGGLED = b'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'
WAIT_SECONDS = 5.0
PROPER_REQUEST = re.compile(
    rb'(\r\n)*[A-Z]+ [!-~]+ HTTP/1\.[01]\r\n'
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*\r\n)*\r\n"
)


class Scene:
    """A server on an event loop in its own thread; records its requests."""

    def __init__(self):
        self.requests = []
        self.cancelled = threading.Event()
        self.begun = threading.Event()
        # Holds the first answer until it is set, if there is one.
        self.released = None
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        bounds = callermessages.RequestLimits(2000, 5000, 0.3, 2.0)
        self.server = callerhttp.CallerServer(
            self.handle, bounds, lambda what, error: None
        )
        self.port = self.run(self.server.listen('127.0.0.1', 0))

    def run(self, work):
        """Run a coroutine on the loop."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(WAIT_SECONDS)

    async def handle(self, request, reply):
        """Record a request and answer with its target."""
        self.requests.append(request)
        if self.released is not None and not self.released.is_set():
            self.begun.set()
            await self.released.wait()
        if request.target == '/wait':
            self.begun.set()
            try:
                await asyncio.sleep(WAIT_SECONDS)
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        reply.send(callermessages.Head(200), request.target.encode())

    async def exchange(self, pieces, until=None):
        """Send pieces, then read to the end or up to ``until`` answers."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        got = b''
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                if len(pieces) > 1:
                    await asyncio.sleep(0)
            if until is None:
                writer.write_eof()
            async with asyncio.timeout(WAIT_SECONDS):
                while until is None or got.count(b'HTTP/1.1 ') < until:
                    data = await reader.read(65536)
                    if not data:
                        break
                    got += data
        except OSError:
            pass
        finally:
            writer.close()
        return got

    def ask(self, *pieces, until=1):
        """Run ``exchange`` on the loop and return the bytes received."""
        return self.run(self.exchange(pieces, until))

    def close(self):
        """Close the server and stop its loop."""
        self.loop.call_soon_threadsafe(self.server.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()


@behave.given('a server for callers that notes each request')
def make_server(context):
    context.caller_scene = Scene()
    context.stack.callback(context.caller_scene.close)


def _cut(data, places):
    marks = sorted({place % len(data) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(marks, marks[1:])]


def _write_chunks(body, size):
    chunks = [body[i : i + size] for i in range(0, len(body), size)]
    lines = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return b''.join(lines) + b'0\r\n\r\n'


@behave.then(
    'requests with a length or in chunks are read in full, however they are '
    'cut'
)
def check_cuts(context):
    scene = context.caller_scene

    @hypothesis.settings(max_examples=120, deadline=None)
    @hypothesis.given(
        strategies.binary(max_size=400),
        strategies.booleans(),
        strategies.integers(1, 50),
        strategies.lists(strategies.integers(0, 1000), max_size=8),
    )
    def check(body, chunked, size, places):
        if chunked:
            field = b'Transfer-Encoding: chunked'
            sent = _write_chunks(body, size)
        else:
            field = b'Content-Length: %d' % len(body)
            sent = body
        head = b'POST /p?q=1 HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n' % field
        scene.requests.clear()
        answer = scene.ask(*_cut(head + sent, places))
        assert answer.startswith(b'HTTP/1.1 200'), answer
        (request,) = scene.requests
        assert (request.method, request.target) == ('POST', '/p?q=1')
        assert request.body == body

    check()


@behave.when('a caller sends a request with {head} and a second one within it')
def smuggle(context, head):
    scene = context.caller_scene
    fields = head.strip().replace('\\r\\n', '\r\n').encode()
    data = b'POST /first HTTP/1.1\r\nHost: x\r\n%b\r\n\r\n' % fields
    data += b'0\r\n\r\n' + SMUGGLED
    context.got = scene.ask(data, until=2)


@behave.then('it gets status 400 and the server never reads the second one')
def check_smuggled(context):
    assert b'HTTP/1.1 400' in context.got, context.got
    targets = [one.target for one in context.caller_scene.requests]
    assert '/smuggled' not in targets, targets


@behave.then(
    'random bytes never end the server or reach it as a proper request'
)
def check_noise(context):
    scene = context.caller_scene

    @hypothesis.settings(max_examples=80, deadline=None)
    @hypothesis.given(strategies.binary(min_size=1, max_size=200))
    def check(data):
        # Hypothesis draws constants of other steps too, a request among them.
        hypothesis.assume(not PROPER_REQUEST.match(data))
        scene.run(scene.exchange((data,)))
        assert not scene.requests, scene.requests

    check()
    answer = scene.ask(b'GET /sound HTTP/1.1\r\nHost: x\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200')


_TOO_LARGE = {
    'a head that is too large': b'GET /x HTTP/1.1\r\nHost: x\r\nA: %b\r\n\r\n'
    % (b'a' * 3000),
    'a body that is too large': b'POST /x HTTP/1.1\r\nHost: x\r\n'
    b'Content-Length: 6000\r\n\r\n',
    'chunks that are too large': b'POST /x HTTP/1.1\r\nHost: x\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n' + _write_chunks(b'a' * 6000, 500),
    'half a head and then waits': b'GET /x HTTP/1.1\r\nHos',
}


@behave.when('a caller sends a {what} that is too large')
@behave.when('a caller sends chunks that are too large')
@behave.when('a caller sends half a head and then waits')
def send_too_much(context, what=None):
    name = context.active_outline['what']
    context.got = context.caller_scene.ask(_TOO_LARGE[name], until=2)


@behave.then('it gets status {status:d} and the connection closes')
def check_bound(context, status):
    assert context.got.startswith(b'HTTP/1.1 %d' % status), context.got
    assert b'Connection: close' in context.got
    assert not context.caller_scene.requests


@behave.when('a caller sends {count:d} requests at once')
def send_ahead(context, count):
    data = b''.join(
        b'GET /r%d HTTP/1.1\r\nHost: x\r\n\r\n' % n for n in range(count)
    )
    context.got = context.caller_scene.ask(data, until=count)


@behave.then('it gets {count:d} answers in order on that connection')
def check_ahead(context, count):
    places = [context.got.find(b'/r%d' % n) for n in range(count)]
    assert -1 not in places and places == sorted(places), context.got


@behave.when('a caller leaves while its request is served')
def leave_early(context):
    scene = context.caller_scene

    async def leave():
        _, writer = await asyncio.open_connection('127.0.0.1', scene.port)
        writer.write(b'GET /wait HTTP/1.1\r\nHost: x\r\n\r\n')
        await asyncio.to_thread(scene.begun.wait, WAIT_SECONDS)
        writer.close()

    scene.run(leave())


@behave.then('the request is cancelled')
def check_cancel(context):
    assert context.caller_scene.cancelled.wait(WAIT_SECONDS)


@behave.when(
    'the server stops while the first of {count:d} requests sent at once is'
    ' served'
)
def stop_with_ahead(context, count):
    scene = context.caller_scene
    data = b''.join(
        b'GET /r%d HTTP/1.1\r\nHost: x\r\n\r\n' % n for n in range(count)
    )

    async def stop():
        scene.released = asyncio.Event()
        asked = asyncio.create_task(scene.exchange((data,), count + 1))
        await asyncio.to_thread(scene.begun.wait, WAIT_SECONDS)
        scene.server.stop_keepalive()
        scene.released.set()
        return await asked

    context.got = scene.run(stop())


@behave.then('only the last one tells that the connection closes')
def check_close(context):
    *kept, last = context.got.split(b'HTTP/1.1 ')[1:]
    assert b'Connection: close' in last, context.got
    assert not any(b'Connection: close' in each for each in kept), kept
