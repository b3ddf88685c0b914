"""Handle to a running deployment of real processes on loopback."""

import json
import pathlib
from typing import Any

import attrs
import urllib3

from dunlintide_core import subset
from dunlintide_standins import relay
from dunlintide_trials import client
from dunlintide_trials import operators
from dunlintide_trials import plans
from dunlintide_trials import processes

__all__ = ['AGENT', 'ENGINE', 'ENTRY', 'PLATFORM', 'SERVICE', 'Deployment']

AGENT = 'agent'
ENTRY = 'entry'
ENGINE = 'engine'
SERVICE = 'service'
PLATFORM = 'platform'
_HTTP_SECONDS = 5.0
_OK = 200


@attrs.define(eq=False)
class Deployment:
    """A running deployment.

    :ivar plan: processes of the deployment with their ports
    :ivar folder: work folder with settings and logs
    :ivar keys: bearer key of each team, by name
    :ivar rules: operators' configuration that was last applied
    :ivar relays: relays by hop and by the daemon at that hop
    :ivar started: all processes by name, in the order of their starts
    """

    plan: plans.Plan
    folder: pathlib.Path
    keys: dict[str, str]
    rules: dict[str, Any]
    relays: dict[tuple[plans.Hop, str], relay.Relay] = attrs.field(
        factory=dict
    )
    started: dict[str, processes.Process] = attrs.field(factory=dict)
    _http: urllib3.PoolManager = attrs.field(
        factory=lambda: urllib3.PoolManager(
            retries=False, timeout=_HTTP_SECONDS
        )
    )

    @property
    def model(self) -> str:
        """Model that trials request completions from."""
        return self.plan.blueprint.pipelines[0].model

    @property
    def layers(self) -> int:
        """Number of layers of ``model``."""
        return self.plan.blueprint.pipelines[0].layers

    @property
    def non_idempotent_path(self) -> str:
        """Path of a non-idempotent call."""
        service = self.plan.blueprint.services[0]
        return f'/services/{service.name}{service.path}'

    def list_processes(self, role: str) -> list[processes.Process]:
        """List the processes of a role."""
        return [one for one in self.started.values() if one.role == role]

    def get_json(self, url: str) -> Any:
        """Read a JSON document.

        :raises urllib3.exceptions.HTTPError: when no response arrives
        """
        return self._http.request('GET', url).json()

    def post_json(self, url: str, body: Any) -> Any:
        """Post a JSON document and return the JSON of the response.

        :raises urllib3.exceptions.HTTPError: when no response arrives
        """
        return self._http.request('POST', url, json=body).json()

    def control(self, standin: str, **faults: Any) -> Any:
        """Switch injected faults of a stand-in on or off.

        :param standin: name of the stand-in
        :param faults: fields of its ``/control`` request
        """
        return self.post_json(f'{self._find_url(standin)}/control', faults)

    def _find_url(self, standin: str) -> str:
        plan = self.plan
        known = [plan.store, plan.host_list, plan.weight_store]
        known += [agent.endpoint.standin for agent in plan.agents]
        return next(one.url for one in known if one.name == standin)

    def read_endpoint_runs(self, name: str) -> list[dict[str, Any]]:
        """Read the runs that an endpoint has recorded since its start."""
        found = self.get_json(f'{self._find_url(name)}/runs')
        return [run | {'endpoint': name} for run in found]

    def read_runs(self, kind: str) -> list[dict[str, Any]]:
        """Read the recorded runs of all endpoints of a kind.

        :param kind: ``engine`` or ``service``
        """
        names = [
            agent.endpoint.standin.name
            for agent in self.plan.agents
            if agent.endpoint.kind == kind
        ]
        return [run for name in names for run in self.read_endpoint_runs(name)]

    def read_state(self, daemon: str) -> dict[str, Any]:
        """Read the state dump of a daemon, by its name."""
        daemons = {one.name: one for one in self.plan.daemons}
        return self.get_json(f'{daemons[daemon].admin_url}/debug/state')

    def is_ready(self, admin_url: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        try:
            answer = self._http.request('GET', f'{admin_url}/readyz')
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _OK

    def wait_ready(self, daemon: str) -> None:
        """Wait until a daemon is ready.

        :raises processes.StartError: when it exits or the wait times out
        """
        daemons = {one.name: one for one in self.plan.daemons}
        url = daemons[daemon].admin_url
        self.started[daemon].wait_ready(lambda: self.is_ready(url))

    def restart(self, name: str) -> None:
        """Start a process that has exited and wait until it is ready."""
        process = self.started[name]
        process.start()
        if process.role in (AGENT, ENTRY):
            self.wait_ready(name)
        else:
            process.wait_ready(lambda: process.find_ready_line() is not None)

    def make_caller(self, entry: int, team: str) -> client.Caller:
        """Build a client for one team at one entry.

        :param entry: number of the entry
        """
        url = self.plan.find_url(self.plan.entries[entry])
        return client.Caller(url, self.keys[team])

    def wait_all_ready(self) -> None:
        """Wait until all daemons are ready and entries reach all agents.

        An entry becomes ready before all agents have started and then
        refuses requests that no connected agent can serve. Above the size
        of a full mesh an entry never connects to all agents.

        :raises processes.StartError: when a daemon exits or the wait times
            out
        """
        for daemon in self.plan.daemons:
            self.wait_ready(daemon.name)
        if len(self.plan.agents) > subset.FULL_MESH_AGENTS:
            return
        for entry in self.plan.entries:
            self.started[entry.name].wait_ready(
                lambda name=entry.name: self._reaches_all(name)
            )

    def _reaches_all(self, entry: str) -> bool:
        agents = self.read_state(entry)['fleet']['agents']
        usable = {one['name'] for one in agents if not one['away']}
        return usable >= {one.name for one in self.plan.agents}

    def apply_rules(self, document: dict[str, Any]) -> operators.Report:
        """Apply an operators' configuration with the command line tool."""
        self.rules = document
        path = self.folder / 'rules.jsonc'
        path.write_text(json.dumps(document, indent=2))
        return operators.apply_rules(path, self.plan.store.url)
