"""Steps for unexpected errors in long-lived threads and actors."""

import subprocess
import sys
import threading
import time

import behave
from dunlintide_core import configuration as core_configuration
from dunlintide_core import settings
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import placement
from dunlintide_daemon.entry import roster
import result

WAIT_SECONDS = 30.0
KEY = 'Bearer very-secret-key'
SCRIPT = f"""
import threading
from dunlintide_adapters import logs
from dunlintide_daemon.entry import threads

def fail():
    raise ValueError('Authorization: {KEY}')

logs.configure('e', 'entry', 'a')
threads.install_excepthook()
thread = threading.Thread(target=fail, name='NAME')
thread.start()
thread.join()
print('went on')
"""


class Leaders:
    """Leaderships that cannot be gained; the first read raises."""

    def __init__(self):
        self.reads = 0

    def read(self, model):
        self.reads += 1
        if self.reads == 1:
            raise ZeroDivisionError('made by a test')
        return result.Err('away')


class Fleet:
    """A fleet without agents."""

    def list_usable(self):
        return []

    list_agents = list_usable

    def touch(self, names):
        assert not list(names)


@behave.given('a placement whose store of leaders breaks unexpectedly once')
def start_placement(context):
    holder = configuration.Holder()
    model = core_configuration.Model('copy', 24)
    holder.adopt(1, core_configuration.Configuration(models=(model,)))
    mine = settings.Settings(
        role='entry',
        name='entry',
        failure_domain='a',
        admin_listen='127.0.0.1:0',
        link_listen='127.0.0.1:0',
        store_url='http://127.0.0.1:1',
        host_list_url='http://127.0.0.1:1',
    )
    context.leaders = Leaders()
    placing = placement.Placement(mine, context.leaders, Fleet(), holder)
    placing.update_hosts([roster.Host('entry', 'entry', '', 'live')])
    done = threading.Event()
    ticker = threading.Thread(target=placing.run, args=(done,))
    ticker.start()
    context.stack.callback(placing.stop)
    context.stack.callback(ticker.join)
    context.stack.callback(done.set)


@behave.then('another leader takes the place of the one that failed')
def check_replaced(context):
    deadline = time.monotonic() + WAIT_SECONDS
    while context.leaders.reads < 2:
        assert time.monotonic() < deadline, 'no other leader took over'
        time.sleep(0.01)


@behave.when('a thread {name} of a process ends by an error that shows a key')
def end_thread(context, name):
    context.ended = subprocess.run(
        [sys.executable, '-c', SCRIPT.replace('NAME', name)],
        capture_output=True,
        text=True,
        timeout=WAIT_SECONDS,
    )


@behave.then('that process {ending} and its log has the error but no key')
def check_ended(context, ending):
    ended = context.ended
    assert (ended.returncode == 0) == (ending == 'went on'), ended
    assert ('went on' in ended.stdout) == (ending == 'went on'), ended
    assert 'ValueError' in ended.stderr, ended
    assert KEY.split()[1] not in ended.stderr, ended
