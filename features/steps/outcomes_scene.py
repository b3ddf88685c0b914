"""A deployment with relays, and helpers that send it requests."""

import copy
import http.client
import json
import pathlib
import tempfile
import threading

import attrs
from dunlintide_core import settings
from dunlintide_standins import relay
from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import operators
from dunlintide_trials import plans
from dunlintide_trials import records
import urllib3
import waiting

PROMPT = 'Announce the harvest supper on Saturday'
WAIT_SECONDS = 40.0
wait_until = waiting.make_wait(WAIT_SECONDS)
ORDER_SECONDS = 4
# Shorter than the defaults, to keep the scenarios short.
TIMING = {
    'ping': 0.2,
    'silence': 1.0,
    'redial': 0.3,
    'store_timeout': 1.0,
    'configuration_poll': 1.0,
    'host_list_poll': 1.0,
    'endpoint_timeout': 0.5,
    'endpoint_silence': 0.8,
    'heartbeat': 0.5,
    'caller_silence': 2.0,
}
STAGES = ('head', 'middle', 'last')
NO_FAULT = {
    'down': False,
    'hang': False,
    'slow_seconds': 0.0,
    'drop_answers': 0,
}


# Disables the reloading of lost layer ranges: placement.feature covers it,
# and a reloaded range would complete streams that must be cut.
NO_REPLACEMENT = settings.Placement(patience=3600.0)


class Stream:
    """A request sent from its own thread."""

    def __init__(self, ask, prompt=PROMPT, max_tokens=0, team=''):
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.team = team
        self.answer = None
        self._thread = threading.Thread(target=self._run, args=(ask,))
        self._thread.daemon = True
        self._thread.start()

    def _run(self, ask):
        self.answer = ask()

    def wait(self):
        self._thread.join(WAIT_SECONDS)
        assert self.answer is not None, 'no answer in time'
        return self.answer


class Scene:
    """The deployment shared by all scenarios of the feature."""

    def __init__(self, context):
        example = context.root / launcher.EXAMPLE
        blueprint = blueprints.load_blueprint(example)
        rules = operators.load_rules(example.parent / blueprint.rules)
        rules['rules'][0]['then']['deadline_seconds'] = ORDER_SECONDS
        for rule in rules['rules']:
            # Removed because other features cover team limits.
            rule['then'].pop('concurrency', None)
        folder = tempfile.TemporaryDirectory(prefix='dunlintide-')
        enter = context.feature_stack.enter_context
        self.running = enter(
            launcher.run(
                attrs.evolve(
                    blueprints.shrink(blueprint), placement=NO_REPLACEMENT
                ),
                rules,
                pathlib.Path(enter(folder)),
                hops=plans.Hop,
                timing=TIMING,
            )
        )
        self.team = next(iter(self.running.keys))
        self.rules = copy.deepcopy(self.running.rules)
        self.agents = {a.name: a for a in self.running.plan.agents}
        self.count = 0
        self.stopping = []

    def heal(self):
        """End all faults and wait until the deployment has recovered."""
        running = self.running
        for one in running.relays.values():
            one.resume()
            one.shape()
        for process in self.stopping:
            process.wait()
        self.stopping.clear()
        for process in running.started.values():
            process.resume()
            if not process.is_running:
                running.restart(process.name)
        for name in self.list_standins():
            running.control(name, **NO_FAULT)
        for agent in self.list_engines():
            running.control(agent.endpoint.standin.name, slow_factor=1.0)
        for agent in self.list_services():
            running.control(agent.endpoint.standin.name, delay_seconds=0.0)
        if running.rules != self.rules:
            running.apply_rules(self.rules).check()
        running.wait_all_ready()
        wait_until(self.is_whole, 'the deployment is whole')

    def is_whole(self):
        count = len(self.agents)
        for entry in self.running.plan.entries:
            agents = self.running.read_state(entry.name)['fleet']['agents']
            if sum(not one['leaving'] for one in agents) != count:
                return False
        return all(
            self.make_caller(entry)
            .complete(PROMPT, model=self.running.model, max_tokens=1)
            .is_complete
            for entry in range(len(self.running.plan.entries))
        )

    def list_standins(self):
        plan = self.running.plan
        names = [agent.endpoint.standin.name for agent in plan.agents]
        return [plan.store.name, *names]

    def list_engines(self):
        return [
            agent
            for agent in self.agents.values()
            if agent.endpoint.kind == deployment.ENGINE
        ]

    def list_services(self):
        return [
            agent
            for agent in self.agents.values()
            if agent.endpoint.kind == deployment.SERVICE
        ]

    def slow(self, milliseconds, stage=None):
        for agent in self.list_engines():
            start = agent.endpoint.settings['layer_start']
            if stage is not None and start != 8 * STAGES.index(stage):
                continue
            # A stand-in engine takes 2 ms per step at factor 1.
            factor = milliseconds / 2
            name = agent.endpoint.standin.name
            self.running.control(name, slow_factor=factor)

    def make_caller(self, entry=0, **options):
        plan = self.running.plan
        url = plan.find_url(plan.entries[entry])
        key = self.running.keys[self.team]
        return client.Caller(url, key, **options)

    def name_prompt(self):
        self.count += 1
        return f'{PROMPT} {self.count}'

    def stream(self, tokens, entry=0, key=None, prompt=None):
        prompt = prompt or self.name_prompt()
        caller = self.make_caller(entry)
        return Stream(
            lambda: caller.complete(
                prompt,
                model=self.running.model,
                max_tokens=tokens,
                stream=True,
                idempotency_key=key,
            ),
            prompt,
            tokens,
            self.team,
        )

    def connect(self, entry=0):
        """Open a plain HTTP connection to an entry."""
        url = self.running.plan.find_url(self.running.plan.entries[entry])
        return http.client.HTTPConnection(
            url.removeprefix('http://'), timeout=WAIT_SECONDS
        )

    def send(self, connection, method, path, body=None):
        headers = {'Authorization': f'Bearer {self.running.keys[self.team]}'}
        connection.request(method, path, body, headers)

    def ask(self, connection, tokens, *, stream):
        """Send a completion request without reading its answer."""
        body = {
            'model': self.running.model,
            'prompt': self.name_prompt(),
            'max_tokens': tokens,
            'stream': stream,
        }
        self.send(connection, 'POST', '/v1/completions', json.dumps(body))

    def find_service(self, name):
        """Return the name of the agent that serves a service."""
        [agent] = [
            agent
            for agent in self.list_services()
            if agent.endpoint.settings['service'] == name
        ]
        return agent.name

    def read_gate(self, agent):
        return self.running.read_state(agent)['gate']

    def order(self, key, entry=0, body=b'{"screens": 12}'):
        service = self.running.plan.blueprint.services[0]
        caller = self.make_caller(entry)
        return Stream(
            lambda: caller.call_service(
                service.name,
                service.path,
                method='POST',
                body=body,
                idempotency_key=key,
            ),
            team=self.team,
        )

    def find_chain(self):
        """Wait for a running request and list its agents in stage order."""
        found = {}

        def look():
            found.clear()
            for agent in self.list_engines():
                try:
                    state = self.running.read_state(agent.name)
                except urllib3.exceptions.HTTPError:
                    continue
                if sum(state['stages'].values()):
                    start = agent.endpoint.settings['layer_start']
                    found[start] = agent.name
            return len(found) == len(STAGES)

        wait_until(look, 'a request runs at every stage')
        return [found[start] for start in sorted(found)]

    def stop(self, name):
        process = self.running.started[name]
        self.stopping.append(process)
        process.terminate()
        return process

    def find_relay(self, hop, chain):
        """Return the relay on a hop of a running request."""
        if hop is plans.Hop.ENTRY_AGENT:
            return self.running.relays[hop, chain[0]]
        return self.running.relays[hop, chain[1]]

    def check_stream(self, stream):
        answer = stream.wait()
        assert answer.is_complete, (answer.outcome, answer.error)
        asked = records.SentRequest(
            stream.team, answer, stream.prompt, stream.max_tokens
        )
        wrong = records.check_text(
            asked, model=self.running.model, layers=self.running.layers
        )
        assert not wrong, wrong
        return answer

    def list_runs(self, kind, **wanted):
        return [
            run
            for run in self.running.read_runs(kind)
            if all(run[name] == value for name, value in wanted.items())
        ]


def get_scene(context):
    if 'scene' not in context.shared:
        context.shared['scene'] = Scene(context)
    return context.shared['scene']


DIRECTIONS = {
    'both': relay.Direction.BOTH,
    'forward': relay.Direction.FORWARD,
    'backward': relay.Direction.BACKWARD,
}
