"""Description of a running deployment, for programs that drive it."""

from typing import Any

from dunlintide_trials import deployment

__all__ = ['describe']


def describe(running: deployment.Deployment) -> dict[str, Any]:
    """Describe the deployment as JSON data with URLs, keys and pids."""
    pids = {name: one.pid for name, one in running.started.items()}
    store = running.plan.store
    return {
        'entries': [
            {
                'name': entry.name,
                'url': entry.url,
                'admin_url': entry.admin_url,
                'pid': pids[entry.name],
                'failure_domain': entry.failure_domain,
            }
            for entry in running.plan.entries
        ],
        'agents': [
            {
                'name': agent.name,
                'admin_url': agent.admin_url,
                'pid': pids[agent.name],
                'failure_domain': agent.failure_domain,
            }
            for agent in running.plan.agents
        ],
        'endpoints': [
            {
                'name': agent.endpoint.standin.name,
                'kind': agent.endpoint.kind,
                'url': agent.endpoint.standin.url,
                'pid': pids[agent.endpoint.standin.name],
                'runs_url': f'{agent.endpoint.standin.url}/runs',
            }
            for agent in running.plan.agents
        ],
        'store': {
            'url': store.url,
            'pid': pids[store.name],
            'control_url': f'{store.url}/control',
        },
        'members': [
            {'name': name, 'key': key} for name, key in running.keys.items()
        ],
        'completion_model': running.model,
        'non_idempotent_path': running.non_idempotent_path,
    }
