"""Steps about late calls to an engine."""

from http import server as http_server
import threading
from unittest import mock

import behave

from dunlintide_adapters import engine as engines
from dunlintide_daemon.agent import hedging
from dunlintide_standins.engine import server
from dunlintide_trials import processes

SECONDS = 20.0
LONGEST = 5.0


@behave.given('an engine that is well')
def start_engine(context):
    one = server.Engine.from_config(server.Config(layer_end=2))
    context.stack.callback(one.stop)
    one.start()
    context.engine = engines.Engine(f'http://127.0.0.1:{one.port}')
    context.stack.callback(context.engine.close)


@behave.when('a call to it is looked into after its time is up')
def look(context):
    now = [0.0]
    tracker = hedging.CallTracker(1.0, lambda: now[0])
    context.engine_call = tracker.begin(
        [engines.Step('late', 1, 'diner', 0)], 0.0, LONGEST
    )
    now[0] = LONGEST + 1
    hedger = hedging.Hedger(context.engine, tracker, mock.Mock(), mock.Mock())
    stopped = threading.Event()
    context.errors = []
    with mock.patch.object(threading, 'excepthook', context.errors.append):
        thread = threading.Thread(target=hedger.run, args=(stopped,))
        thread.start()
        assert processes.wait_for(
            lambda: context.engine_call.examined, SECONDS
        )
        stopped.set()
        thread.join(SECONDS)
        for each in threading.enumerate():
            if each.name == 'rescue':
                each.join(SECONDS)


@behave.then('the look ends without an error and leaves the call unsettled')
def check_look(context):
    assert not context.errors, context.errors
    assert context.engine_call.examined
    assert not context.engine_call.settled.is_set()


class LateHandler(http_server.BaseHTTPRequestHandler):
    """Answers one request and keeps the connection until it is told."""

    protocol_version = 'HTTP/1.1'
    ended = threading.Event()

    def do_GET(self):
        self.server.answered += 1
        self.send_response(200)
        self.send_header('Content-Length', '2')
        self.end_headers()
        self.wfile.write(b'{}')

    def finish(self):
        self.wfile.flush()
        self.ended.wait(SECONDS)
        super().finish()

    def log_message(self, *_arguments):
        pass


@behave.given('an engine that answers and ends connections late')
def start_late_engine(context):
    LateHandler.ended.clear()
    late = http_server.ThreadingHTTPServer(('127.0.0.1', 0), LateHandler)
    context.stack.callback(late.server_close)
    context.stack.callback(late.shutdown)
    context.stack.callback(LateHandler.ended.set)
    late.answered = 0
    threading.Thread(target=late.serve_forever, daemon=True).start()
    context.late = late
    context.engine = engines.Engine(f'http://127.0.0.1:{late.server_port}')
    context.stack.callback(context.engine.close)


@behave.when('its health is asked for twice')
def ask_twice(context):
    context.answers = [context.engine.check_health() for _ in range(2)]


@behave.then('both calls are answered, each over a connection of its own')
def check_answers(context):
    assert all(one.is_ok() for one in context.answers), context.answers
    assert context.late.answered == 2, context.late.answered
