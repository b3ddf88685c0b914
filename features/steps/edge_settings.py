"""What steps about an entry need of its settings and parts."""

from dunlintide_adapters import decisionlog
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import counters
from dunlintide_daemon.gateway import state
from prometheus_client import registry

ADDRESS = '127.0.0.1:1'
# All that settings must name.
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


def make_state(log=None, **more):
    """Make the beliefs of an entry that has seen nothing yet."""
    log = log or decisionlog.DecisionLog('one', output=2)
    metrics = counters.Counters.from_registry(registry.CollectorRegistry())
    given = settings.EdgeSettings(**{**NEEDED, **more})
    return state.State(given, log, metrics)
