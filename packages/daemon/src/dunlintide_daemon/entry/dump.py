"""State dump of an entry for operators.

It contains no request content and no bearer keys.
"""

from typing import Any

from dunlintide_core import budget
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import history
from dunlintide_daemon.entry import sessions

__all__ = [
    'describe',
]


def describe(
    holder: configuration.Holder,
    fleet_view: fleet.Fleet,
    request_sessions: sessions.Sessions,
    retries: budget.RetryBudget,
    outcomes: history.History,
) -> dict[str, Any]:
    """Return the state as JSON-compatible values."""
    snapshot = holder.snapshot
    rules = [] if snapshot is None else snapshot.config.rules
    return {
        'configuration': {
            'revision': holder.revision,
            'rules': [rule.name for rule in rules],
        },
        'fleet': fleet_view.describe(),
        'requests': request_sessions.describe(),
        'retries': {
            'tokens': round(retries.tokens, 3),
            'spent': retries.spent,
            'denied': retries.denied,
        },
        'outcomes': dict(outcomes.totals),
    }
