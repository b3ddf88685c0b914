"""Settings and state of an entry for steps that start no process."""

import json

from dunlintide_adapters import decisionlog
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import counters
from dunlintide_daemon.gateway import state
from prometheus_client import registry

ADDRESS = '127.0.0.1:1'
# The required settings.
NEEDED = {
    'role': 'edge',
    'name': 'one',
    'failure_domain': 'a',
    'listen': ADDRESS,
    'ready_listen': ADDRESS,
    'admin_listen': ADDRESS,
    'metrics_listen': ADDRESS,
    'gossip_listen': ADDRESS,
    'store': ADDRESS,
}
# The cost model of a service with one kind of card.
PROFILE = dict(
    layers=80,
    layer_mb=1000.0,
    token_bytes=1000.0,
    step_ms=1.0,
    sequence_ms=0.0,
    context_ms=0.0,
    read_per_second=1000.0,
    slots=6,
    stride=1,
    activation_bytes=1.0,
    link_mbps=1.0,
    pipe_mbps=1.0,
    load_seconds=1.0,
    loads_at_once=1,
    usual_prompt=1,
    usual_answer=1,
    accelerators={'small': profiles.Accelerator('small', 40_000.0, 1.0, 1.0)},
    delays_ms={},
)


def make_profile(**more):
    """Create the cost model of a service with one kind of card."""
    return profiles.EngineProfile(**{**PROFILE, **more})


def make_state(log=None, **more):
    """Create the state of an entry that has received no reports yet."""
    log = log or decisionlog.DecisionLog('one', output=2)
    metrics = counters.Counters.from_registry(registry.CollectorRegistry())
    given = settings.EdgeSettings(**{**NEEDED, **more})
    return state.State(given, log, metrics)


def make_row(state='ready', slots=1, seq=1):
    """Return the item of a plain service in the store's form."""
    return {
        'service': 'web',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': slots,
        'state': state,
        'cold_left_ms': 0,
        'seq': seq,
    }


def encode_row(row):
    """Return an item as the bytes that an endpoint writes."""
    return json.dumps(row).encode()


class SilentLog(decisionlog.DecisionLog):
    """A decision log that writes nothing."""

    def __init__(self):
        super().__init__('one', output=2)

    def write(self, event, **fields):
        pass

    write_always = write
