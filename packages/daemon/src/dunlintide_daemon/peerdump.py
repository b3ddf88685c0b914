"""State dump of the fleet replica, for operators."""

from typing import Any

from dunlintide_core import records
from dunlintide_core import replicas

__all__ = ['describe']


def describe(replica: replicas.Replica) -> dict[str, Any]:
    """Return configuration and membership as JSON-serializable values."""
    config = replica.configuration
    counts: dict[str, int] = {}
    for record in replica.members.list_records():
        counts[record.state] = counts.get(record.state, 0) + 1
    return {
        'revision': config.revision,
        'store_revision': config.store_revision,
        'store_behind': config.store_behind,
        'conflicts': sorted(config.conflicts),
        'refused': config.refused,
        'watcher': replica.is_watcher,
        'neighbours': list(replica.neighbours.names),
        'members': counts,
        'not_alive': [
            {
                'name': record.peer.name,
                'state': record.state,
                'witnesses': list(record.witnesses),
            }
            for record in replica.members.list_records()
            if record.state is not records.State.ALIVE
        ],
        'refutations': replica.members.refutations,
        'deaths': replica.members.deaths,
    }
