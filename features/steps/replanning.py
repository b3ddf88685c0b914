"""Steps of replanning.feature; the entry comes from entry.feature."""

import json
import threading
import time

import behave
from dunlintide_adapters.wire import link_pb2

_WAIT_SECONDS = 60.0
_REPORT_SECONDS = 0.1
_BATCH = 5
_PROMPT = 'the dinner specials of a diner on the interstate ' * 40


class _Reports:
    """Send load reports of fake agents until the scenario ends."""

    def __init__(self, agents):
        self.step_seconds = {agent.name: 0.01 for agent in agents}
        self._agents = agents
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopped.wait(_REPORT_SECONDS):
            for agent in self._agents:
                seconds = self.step_seconds[agent.name]
                load = link_pb2.Load(
                    running=_BATCH,
                    step_seconds=seconds,
                    tokens_per_second=_BATCH / seconds,
                )
                for link in agent.server.links():
                    link.send(link_pb2.Frame(load=load))

    def stop(self):
        self._stopped.set()
        self._thread.join()


def _read_plan(context):
    plans = context.entry.role.describe()['plans']
    return plans[0] if plans else {}


def _read_first_share(context):
    """Return the fraction of the plan that goes to the first agent."""
    shares = _read_plan(context)['shares']
    name = context.entry.engines[0].name
    return shares[name] / sum(shares.values())


def _wait_until(condition, show):
    deadline = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, show()
        time.sleep(0.05)


@behave.given(
    "the first agent's steps take {first:d} ms and the second's {second:d} ms"
)
def start_reports(context, first, second):
    engines = context.entry.engines
    context.reports = _Reports(engines)
    context.stack.callback(context.reports.stop)
    for agent, milliseconds in zip(engines, (first, second)):
        context.reports.step_seconds[agent.name] = milliseconds / 1000
    # A slowdown shows only against a known usual duration.
    _wait_until(
        lambda: _read_plan(context).get('observations', 0) >= 10,
        context.entry.role.describe,
    )


@behave.when("the first agent's steps turn ten times slower")
def slow_down(context):
    context.reports.step_seconds[context.entry.engines[0].name] = 0.1


@behave.when("the first agent's steps are fast again")
def speed_up(context):
    context.reports.step_seconds[context.entry.engines[0].name] = 0.01


@behave.then("the entry's plan gives the first agent under a quarter")
def check_small(context):
    _wait_until(
        lambda: _read_first_share(context) < 0.25, context.entry.role.describe
    )


@behave.then("the entry's plan gives the first agent over two fifths")
def check_large(context):
    _wait_until(
        lambda: _read_first_share(context) > 0.4, context.entry.role.describe
    )


@behave.then(
    'at most {most:d} of {count:d} requests are sent to the first agent'
)
def check_routing(context, most, count):
    asked = context.entry.engines[0].asked
    before = len(asked)
    for _ in range(count):
        assert context.entry.complete().status == 200
    assert len(asked) - before <= most, len(asked) - before


@behave.when('"{one}" and "{other}" each send one long prompt {count:d} times')
def send_long(context, one, other, count):
    body = {'model': 'copy', 'prompt': _PROMPT, 'max_tokens': 1}
    for team in (one, other) * count:
        answer = context.entry.request(
            'POST', '/v1/completions', json.dumps(body), team
        )
        assert answer.status == 200, answer.data
    context.teams = {one, other}


@behave.then("each team's prompts went to one agent")
def check_affinity(context):
    seen = {
        (asked.terms.team, agent.name)
        for agent in context.entry.engines
        for asked in agent.asked
    }
    assert {team for team, _ in seen} == context.teams, seen
    assert len(seen) == len(context.teams), seen


@behave.then('the agents saw a salt for each team that its name does not give')
def check_salts(context):
    salts = {
        (asked.terms.team, asked.terms.cache_salt)
        for asked in context.entry.asked()
    }
    assert len(salts) == len({salt for _, salt in salts}) == 2, salts
    assert not any(team in salt for team, salt in salts), salts
