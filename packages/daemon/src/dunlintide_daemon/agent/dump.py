"""State dump of an agent, without request content and without keys."""

import collections
from typing import Any

from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import works

__all__ = [
    'describe_gate',
]

MAX_LISTED = 200


def _describe_work(work: works.Work, now: float) -> dict[str, Any]:
    return {
        'request_id': work.request_id,
        'member': work.terms.team,
        'rule': work.terms.rule,
        'epoch': work.epoch,
        'phase': str(work.phase),
        'seconds_left': round(work.deadline - now, 3),
        'cost': round(work.cost, 1),
        'subscribers': len(work.subscribers),
        'non_idempotent': work.entry is not None,
        'frames': len(work.log),
    }


def describe_gate(gate: gates.Gate, now: float) -> dict[str, Any]:
    """Return the state of a gate, fit for JSON.

    :param now: monotonic time in seconds
    """
    with gate.lock:
        listed = gate.list_works()
        phases = collections.Counter(str(work.phase) for work in listed)
        return {
            'leaving': gate.leaving,
            'fault': gate.fault,
            'works': dict(phases),
            'listed': [
                _describe_work(work, now) for work in listed[:MAX_LISTED]
            ],
            'queue': {
                'length': len(gate.places.queue),
                'cost': round(gate.places.queue.cost, 1),
                'cost_per_second': round(gate.places.rate.value, 1),
                'members': gate.places.queue.count_teams(),
            },
            'in_flight': {
                'requests': gate.places.in_flight.requests,
                'tokens': gate.places.in_flight.tokens,
                'finished': gate.places.in_flight.finished,
                'cap': gate.places.cap.limit(gate.places.in_flight),
            },
            'ledger': {
                'generation': gate.ledger.generation,
                'entries': len(gate.ledger),
                'answer_bytes': gate.ledger.answer_bytes,
            },
            'drops': gate.counts.get_drops(),
            'events': gate.counts.get_events(),
        }
